"""Parse settings files and report every invalid field."""

from dataclasses import replace
from typing import TypeVar

from cattrs import BaseValidationError
from result import Err, Ok, Result

from bramleyport.core import Problem, list_problems, make_strict_converter, read_yaml

SettingsType = TypeVar("SettingsType")

_converter = make_strict_converter(forbid_extra_keys=True)


def load_settings(
    raw: bytes, settings_type: type[SettingsType]
) -> Result[SettingsType, list[Problem]]:
    """Parse YAML settings; return them, or a problem for each invalid field."""
    document = read_yaml(raw)
    if isinstance(document, Err):
        return document
    value = document.ok_value.value
    if not isinstance(value, dict):
        return Err([Problem(reason="expected a mapping of fields")])
    try:
        return Ok(_converter.structure(value, settings_type))
    except BaseValidationError as error:
        return Err(
            [
                replace(problem, line=document.ok_value.find_line(problem.path))
                for problem in list_problems(error)
            ]
        )
