"""Service records: documents, validation and the form the system works with."""

from bramleyport.records._document import parse_record
from bramleyport.records._record import ModelSpec, PlainSpec, ServiceRecord

__all__ = ["ModelSpec", "PlainSpec", "ServiceRecord", "parse_record"]
