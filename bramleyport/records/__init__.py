"""Service records: documents, conversion, validation and status."""

from bramleyport.records._conversion import convert_to_v1, convert_to_v2
from bramleyport.records._document import SCHEMAS, parse_record
from bramleyport.records._record import ModelSpec, PlainSpec, RankSpec, ServiceRecord
from bramleyport.records._status import (
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
    "SCHEMAS",
    "Condition",
    "ConditionType",
    "ModelSpec",
    "PlainSpec",
    "RankCounts",
    "RankSpec",
    "RecordStatus",
    "ServiceRecord",
    "convert_to_v1",
    "convert_to_v2",
    "digest_spec",
    "find_spec_revision",
    "make_conditions",
    "parse_record",
    "read_status",
    "write_status",
]
