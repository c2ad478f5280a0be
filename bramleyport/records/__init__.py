"""Service records: documents, conversion, validation and status."""

from bramleyport.records._conversion import convert_to_v1, convert_to_v2
from bramleyport.records._counts import CountBook, add_ranks
from bramleyport.records._document import SCHEMAS, parse_record
from bramleyport.records._record import ModelSpec, PlainSpec, RankSpec, ServiceRecord
from bramleyport.records._reports import (
    CASES_KEPT,
    CaseBuffer,
    merge_cases,
    read_cases,
    write_cases,
)
from bramleyport.records._status import (
    LAGGING_SHOWN,
    Condition,
    ConditionType,
    RankCounts,
    RecordStatus,
    digest_spec,
    find_spec_revision,
    make_conditions,
    read_status,
    write_status,
)

__all__ = [
    "CASES_KEPT",
    "LAGGING_SHOWN",
    "SCHEMAS",
    "CaseBuffer",
    "Condition",
    "ConditionType",
    "CountBook",
    "ModelSpec",
    "PlainSpec",
    "RankCounts",
    "RankSpec",
    "RecordStatus",
    "ServiceRecord",
    "add_ranks",
    "convert_to_v1",
    "convert_to_v2",
    "digest_spec",
    "find_spec_revision",
    "make_conditions",
    "merge_cases",
    "parse_record",
    "read_cases",
    "read_status",
    "write_cases",
    "write_status",
]
