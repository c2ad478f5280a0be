"""Convert record documents between schema versions without loss.

Fields that the other version can't express are kept under `carried_v1` or `carried_v2`
and restored by the conversion back.
"""

import copy
from collections.abc import Mapping
from typing import Any, Final

Document = dict[str, Any]
FieldPath = tuple[str, ...]

RANK_PLACEHOLDER: Final = "<rank>"
CARRIED_V1: Final = "carried_v1"
CARRIED_V2: Final = "carried_v2"

# Each pair is the path of one field in version 1 and in version 2.
FIELD_PATHS: Final[tuple[tuple[FieldPath, FieldPath], ...]] = (
    (("name",), ("name",)),
    (("model",), ("model", "name")),
    (("versions",), ("model", "versions")),
    (("adapters",), ("model", "adapters")),
    (("repeatable",), ("plain", "repeatable_methods")),
    (("unkeyed",), ("plain", "allow_unkeyed")),
    (("wait_s", RANK_PLACEHOLDER), ("ranks", RANK_PLACEHOLDER, "answer_s")),
    (
        ("price", RANK_PLACEHOLDER),
        ("ranks", RANK_PLACEHOLDER, "price_per_million_tokens"),
    ),
    (("share", RANK_PLACEHOLDER), ("ranks", RANK_PLACEHOLDER, "guaranteed_share")),
    (("upstreams",), ("upstreams",)),
    (("checks_fencing",), ("checks_fencing",)),
)


def convert_to_v2(document: Mapping[str, Any]) -> Document:
    """Convert a version 1 document to version 2."""
    pairs = [(old, new) for old, new in FIELD_PATHS]
    return _convert_document(
        document, pairs, "v2", restore_key=CARRIED_V2, carry_key=CARRIED_V1
    )


def convert_to_v1(document: Mapping[str, Any]) -> Document:
    """Convert a version 2 document to version 1."""
    pairs = [(new, old) for old, new in FIELD_PATHS]
    return _convert_document(
        document, pairs, "v1", restore_key=CARRIED_V1, carry_key=CARRIED_V2
    )


def convert_path_to_v1(path: FieldPath) -> FieldPath:
    """Convert the path of a version 2 field to version 1."""
    for old, new in FIELD_PATHS:
        rank_key = _match_path(new, path)
        if rank_key is not None:
            return tuple(rank_key if step == RANK_PLACEHOLDER else step for step in old)
    return path


def _convert_document(
    document: Mapping[str, Any],
    pairs: list[tuple[FieldPath, FieldPath]],
    schema: str,
    *,
    restore_key: str,
    carry_key: str,
) -> Document:
    remaining = copy.deepcopy(dict(document))
    remaining.pop("schema", None)
    carried_fields = remaining.pop(restore_key, {})
    result: Document = {"schema": schema}
    for source, target in pairs:
        for rank_key, value in _pop_matching(remaining, source):
            target_path = tuple(
                rank_key if step == RANK_PLACEHOLDER else step for step in target
            )
            _insert_field(result, target_path, value)
    if isinstance(carried_fields, dict):
        _merge(result, carried_fields)
    if remaining:
        result[carry_key] = remaining
    return result


def _pop_matching(remaining: Document, path: FieldPath) -> list[tuple[str, Any]]:
    if RANK_PLACEHOLDER not in path:
        found = _pop_field(remaining, path)
        return [] if found is None else [("", found[0])]
    position = path.index(RANK_PLACEHOLDER)
    container: Any = remaining
    for step in path[:position]:
        container = container.get(step) if isinstance(container, dict) else None
    if not isinstance(container, dict):
        return []
    found_values = []
    for rank in list(container):
        rank_path = tuple(rank if step == RANK_PLACEHOLDER else step for step in path)
        found = _pop_field(remaining, rank_path)
        if found is not None:
            found_values.append((rank, found[0]))
    return found_values


def _pop_field(remaining: Document, path: FieldPath) -> tuple[Any] | None:
    containers: list[Document] = [remaining]
    for step in path[:-1]:
        child = containers[-1].get(step)
        if not isinstance(child, dict):
            return None
        containers.append(child)
    if path[-1] not in containers[-1]:
        return None
    value = containers[-1].pop(path[-1])
    for index in range(len(path) - 1, 0, -1):
        if containers[index]:
            break
        del containers[index - 1][path[index - 1]]
    return (value,)


def _insert_field(result: Document, path: FieldPath, value: Any) -> None:
    for step in path[:-1]:
        result = result.setdefault(step, {})
    result[path[-1]] = value


def _merge(result: Document, carried_fields: Document) -> None:
    for key, value in carried_fields.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            _merge(result[key], value)
        else:
            result[key] = value


def _match_path(pattern: FieldPath, path: FieldPath) -> str | None:
    if len(pattern) != len(path):
        return None
    rank_key = ""
    for expected, step in zip(pattern, path, strict=True):
        if expected == RANK_PLACEHOLDER:
            rank_key = step
        elif expected != step:
            return None
    return rank_key
