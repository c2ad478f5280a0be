"""Parse service records from documents of any schema version."""

import re
from collections.abc import Mapping
from dataclasses import fields, replace
from typing import Any, Final

from cattrs import BaseValidationError
from result import Err, Ok, Result

from bramleyport.core import Problem, list_problems, make_strict_converter
from bramleyport.records._conversion import (
    CARRIED_V1,
    CARRIED_V2,
    FIELD_PATHS,
    convert_path_to_v1,
    convert_to_v2,
)
from bramleyport.records._record import RecordSpec, ServiceRecord

SCHEMAS: Final = ("v1", "v2")
NAME_PATTERN: Final = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")

FIELD_EXAMPLES: Final = {
    "name": "inspections",
    "ranks": "{urgent: {answer_s: 20}}",
    "answer_s": "20",
    "first_token_s": "0.6",
    "between_tokens_s": "0.06",
    "price_per_million_tokens": "12",
    "guaranteed_share": "0.5",
    "repeatable_methods": "[GET, HEAD]",
    "versions": '["3"]',
    "adapters": "[helmets]",
    "model": "{name: inspector-8b}",
    "wait_s": "{urgent: 20}",
    "schema": "v2",
}

_strict = make_strict_converter(forbid_extra_keys=True)
_tolerant = make_strict_converter()


def parse_record(
    document: Mapping[str, Any], *, strict: bool = False
) -> Result[ServiceRecord, list[Problem]]:
    """Return the record of a document, or a problem for each invalid field.

    Processes ignore unknown fields, which a newer version may have written. The command
    line rejects them with `strict`, because there they are spelling errors.
    """
    try:
        return _parse_any_schema(document, strict=strict)
    except RecursionError:
        return Err([_make_problem((), "the document nests too deeply")])


def _parse_any_schema(
    document: Mapping[str, Any], *, strict: bool
) -> Result[ServiceRecord, list[Problem]]:
    schema = document.get("schema", "v2")
    if schema not in SCHEMAS:
        reason = f"expected one of {', '.join(SCHEMAS)}, got {str(schema)[:40]!r}"
        return Err([_make_problem(("schema",), reason)])
    unknown = _find_unknown_v1(document) if strict and schema == "v1" else []
    newest_document = convert_to_v2(document) if schema == "v1" else dict(document)
    newest_document.pop(CARRIED_V1, None)
    newest_document.pop(CARRIED_V2, None)
    result = _parse_newest_schema(newest_document, strict=strict)
    problems = unknown
    if isinstance(result, Err):
        problems = unknown + result.err_value
    if not problems:
        return result
    if schema == "v1":
        problems = [replace(p, path=convert_path_to_v1(p.path)) for p in problems]
    return Err([_make_problem(p.path, p.reason) for p in problems])


def _parse_newest_schema(
    document: Mapping[str, Any], *, strict: bool
) -> Result[ServiceRecord, list[Problem]]:
    converter = _strict if strict else _tolerant
    try:
        spec = converter.structure(document, RecordSpec)
    except BaseValidationError as error:
        return Err(list_problems(error))
    problems = _check_values(spec)
    if problems:
        return Err(problems)
    return Ok(
        ServiceRecord(
            name=spec.name,
            ranks={rank: item.to_targets() for rank, item in spec.ranks.items()},
            model=spec.model,
            plain=spec.plain,
            upstreams=spec.upstreams,
            checks_fencing=spec.checks_fencing,
        )
    )


def _check_values(spec: RecordSpec) -> list[Problem]:
    problems = []
    if not NAME_PATTERN.fullmatch(spec.name):
        reason = "expected 1 to 63 of a-z, 0-9, '.', '_' and '-', ends without them"
        problems.append(_make_problem(("name",), reason))
    if (spec.model is None) == (spec.plain is None):
        reason = "expected exactly one of model and plain"
        problems.append(_make_problem(("model",), reason))
    if not spec.ranks:
        problems.append(_make_problem(("ranks",), "expected at least one rank"))
    for rank, item in spec.ranks.items():
        problems += _check_rank(("ranks", rank.value), item)
    total = sum(item.guaranteed_share for item in spec.ranks.values())
    if total > 1.0 + 1e-9:
        reason = f"the guaranteed shares add up to {total:g}, expected at most 1"
        problems.append(_make_problem(("ranks",), reason))
    return problems


def _check_rank(path: tuple[str, ...], item: Any) -> list[Problem]:
    problems = []
    for field in fields(item):
        value = getattr(item, field.name)
        field_path = (*path, field.name)
        if value is None:
            continue
        if not value < float("inf"):
            problems.append(_make_problem(field_path, "expected a finite number"))
        elif field.name.endswith("_s") and value <= 0:
            problems.append(_make_problem(field_path, "expected seconds above 0"))
        elif field.name == "guaranteed_share" and not 0 <= value <= 1:
            problems.append(_make_problem(field_path, "expected a share from 0 to 1"))
        elif value < 0:
            problems.append(_make_problem(field_path, "expected a price of 0 or more"))
    return problems


def _find_unknown_v1(document: Mapping[str, Any]) -> list[Problem]:
    known = {old[0] for old, _ in FIELD_PATHS} | {"schema", CARRIED_V2}
    return [
        _make_problem((str(name),), "unknown field in version 1")
        for name in document
        if name not in known
    ]


def _make_problem(path: tuple[str, ...], reason: str) -> Problem:
    example = FIELD_EXAMPLES.get(path[-1], "") if path else ""
    return Problem(path=path, reason=reason, example=example)
