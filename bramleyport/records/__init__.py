"""Service records: parsing, schema conversion, request counts and status."""

from bramleyport.records._conversion import convert_to_v1, convert_to_v2
from bramleyport.records._document_parser import SCHEMAS, parse_record
from bramleyport.records._outcome_counts import CountTracker, add_ranks
from bramleyport.records._record import ModelSpec, PlainSpec, RankSpec, ServiceRecord
from bramleyport.records._request_cases import (
    MAX_CASES_PER_KIND,
    CaseBuffer,
    merge_cases,
    read_cases,
    write_cases,
)
from bramleyport.records._status import (
    MAX_LAGGING_IN_STATUS,
    Condition,
    ConditionType,
    RankCounts,
    RecordStatus,
    compute_spec_digest,
    get_spec_revision,
    make_conditions,
    read_status,
    write_status,
)

__all__ = [
    "MAX_CASES_PER_KIND",
    "MAX_LAGGING_IN_STATUS",
    "SCHEMAS",
    "CaseBuffer",
    "Condition",
    "ConditionType",
    "CountTracker",
    "ModelSpec",
    "PlainSpec",
    "RankCounts",
    "RankSpec",
    "RecordStatus",
    "ServiceRecord",
    "add_ranks",
    "compute_spec_digest",
    "convert_to_v1",
    "convert_to_v2",
    "get_spec_revision",
    "make_conditions",
    "merge_cases",
    "parse_record",
    "read_cases",
    "read_status",
    "write_cases",
    "write_status",
]
