"""Strict conversion between plain data and dataclasses."""

from enum import Enum
from typing import TYPE_CHECKING, Any

from bramleyport.core._parsing import is_encodable

if TYPE_CHECKING:
    from cattrs import Converter


def _check_int(value: object, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected a whole number, got {value!r}")
    return value


def _check_float(value: object, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, got {value!r}")
    return float(value)


def _check_str(value: object, target: type) -> object:
    if not isinstance(value, str):
        raise TypeError(f"expected text, got {value!r}")
    if not is_encodable(value):
        raise TypeError(f"expected text that can be encoded, got {value!r}")
    # cattrs also uses the hook of a class for its subclasses, here string enumerations.
    if isinstance(target, type) and issubclass(target, Enum):
        return target(value)
    return value


def _check_bool(value: object, _: type) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, got {value!r}")
    return value


def _check_bytes(value: object, _: type) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError(f"expected bytes, got {value!r}")
    return value


def make_strict_converter(*, forbid_extra_keys: bool = False) -> "Converter":
    """Create a converter that does not coerce one scalar type to another."""
    # Imported on first use, so that a gateway starts without it.
    from cattrs import Converter

    converter = Converter(forbid_extra_keys=forbid_extra_keys)
    checks: dict[type, Any] = {
        int: _check_int,
        float: _check_float,
        str: _check_str,
        bool: _check_bool,
        bytes: _check_bytes,
    }
    for kind, check in checks.items():
        converter.register_structure_hook(kind, check)
    converter.register_unstructure_hook(bytes, lambda value: value)
    converter.register_unstructure_hook(Enum, lambda value: value.value)
    return converter
