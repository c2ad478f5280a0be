"""Read service records from documents."""

from collections.abc import Mapping
from typing import Any

from cattrs import BaseValidationError, transform_error
from result import Err, Ok, Result

from bramleyport.core import make_strict_converter
from bramleyport.records._record import ServiceRecord

_converter = make_strict_converter(forbid_extra_keys=True)


def parse_record(document: Mapping[str, Any]) -> Result[ServiceRecord, list[str]]:
    """Return the record of a document or a reason for each wrong field."""
    fields = {key: value for key, value in document.items() if key != "schema"}
    try:
        record = _converter.structure(fields, ServiceRecord)
    except BaseValidationError as error:
        return Err(transform_error(error))
    if (record.model is None) == (record.plain is None):
        return Err(["expected exactly one of model and plain @ $"])
    return Ok(record)
