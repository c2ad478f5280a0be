"""Validation errors of a document, by field."""

import difflib
import re
from dataclasses import dataclass, fields, is_dataclass
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from cattrs import BaseValidationError
    from cattrs.errors import ForbiddenExtraKeysError

_PATH_ELEMENT: Final = re.compile(r"\.([^.\[]+)|\['([^']*)'\]|\[(\d+)\]")


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Describe an invalid field, what is wrong with it and an example."""

    reason: str
    path: tuple[str, ...] = ()
    example: str = ""
    line: int | None = None

    def describe(self, source: str = "") -> str:
        """Return the problem as one line of text."""
        location = ":".join(part for part in (source, _format_line(self.line)) if part)
        field = ".".join(self.path)
        example = f" (for example: {self.example})" if self.example else ""
        parts = [part for part in (location, field) if part]
        return ": ".join([*parts, self.reason]) + example


def list_problems(error: "BaseValidationError") -> list[Problem]:
    """Return the problems of a failed conversion with their paths."""
    # Imported on first use, so that a gateway starts without it.
    from cattrs import transform_error

    texts = transform_error(error, format_exception=_format_exception)
    return [_parse(text) for text in texts]


def _parse(text: str) -> Problem:
    reason, _, path = text.rpartition(" @ ")
    elements = tuple(
        next(part for part in match if part) for match in _PATH_ELEMENT.findall(path)
    )
    return Problem(reason=reason, path=elements)


def _format_exception(error: BaseException, kind: type | None) -> str:
    from cattrs.errors import ForbiddenExtraKeysError

    if isinstance(error, ForbiddenExtraKeysError):
        return _describe_unknown_fields(error)
    if isinstance(error, KeyError):
        return "the field is missing"
    if isinstance(error, TypeError) and error.args and not is_dataclass(kind):
        return str(error.args[0])
    name = getattr(kind, "__name__", str(kind))
    return f"not a valid {name}: {error}"


def _describe_unknown_fields(error: "ForbiddenExtraKeysError") -> str:
    known = _list_names(error.cl)
    parts = []
    for name in sorted(error.extra_fields):
        nearest = difflib.get_close_matches(str(name), known, 1)
        hint = f"; did you mean {nearest[0]}?" if nearest else ""
        parts.append(f"unknown field {name!r}{hint}")
    return ", ".join(parts)


def _list_names(kind: Any) -> list[str]:
    return [field.name for field in fields(kind)] if is_dataclass(kind) else []


def _format_line(line: int | None) -> str:
    return "" if line is None else str(line)
