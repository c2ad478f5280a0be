"""Read settings files and name every wrong field."""

from typing import Any, TypeVar

import yaml
from cattrs import BaseValidationError, transform_error
from result import Err, Ok, Result

from bramleyport.core import make_strict_converter

S = TypeVar("S")

_converter = make_strict_converter(forbid_extra_keys=True)


def load_settings(text: str, kind: type[S]) -> Result[S, list[str]]:
    """Return the settings in a YAML text or a reason for each wrong field."""
    try:
        document: Any = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Err([f"not YAML: {error}"])
    try:
        return Ok(_converter.structure(document, kind))
    except BaseValidationError as error:
        return Err(transform_error(error))
