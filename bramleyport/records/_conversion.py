"""Convert record documents between schema versions without loss.

A field that the other version can't express is carried along under `carried_v1` or
`carried_v2` and restored by the conversion back.
"""

import copy
from collections.abc import Mapping
from typing import Any, Final

Document = dict[str, Any]
FieldPath = tuple[str, ...]

RANK: Final = "<rank>"
CARRIED_V1: Final = "carried_v1"
CARRIED_V2: Final = "carried_v2"

# Each pair names one field in version 1 and in version 2.
FIELDS: Final[tuple[tuple[FieldPath, FieldPath], ...]] = (
    (("name",), ("name",)),
    (("model",), ("model", "name")),
    (("versions",), ("model", "versions")),
    (("adapters",), ("model", "adapters")),
    (("repeatable",), ("plain", "repeatable_methods")),
    (("unkeyed",), ("plain", "allow_unkeyed")),
    (("wait_s", RANK), ("ranks", RANK, "answer_s")),
    (("price", RANK), ("ranks", RANK, "price_per_million_tokens")),
    (("share", RANK), ("ranks", RANK, "guaranteed_share")),
    (("upstreams",), ("upstreams",)),
    (("checks_fencing",), ("checks_fencing",)),
)


def convert_to_v2(document: Mapping[str, Any]) -> Document:
    """Return a version 1 document as version 2."""
    pairs = [(old, new) for old, new in FIELDS]
    return _convert(document, pairs, "v2", carried=CARRIED_V2, left_over=CARRIED_V1)


def convert_to_v1(document: Mapping[str, Any]) -> Document:
    """Return a version 2 document as version 1."""
    pairs = [(new, old) for old, new in FIELDS]
    return _convert(document, pairs, "v1", carried=CARRIED_V1, left_over=CARRIED_V2)


def translate_path(path: FieldPath) -> FieldPath:
    """Return the version 1 path of a version 2 field."""
    for old, new in FIELDS:
        bound = _match(new, path)
        if bound is not None:
            return tuple(bound if step == RANK else step for step in old)
    return path


def _convert(
    document: Mapping[str, Any],
    pairs: list[tuple[FieldPath, FieldPath]],
    schema: str,
    *,
    carried: str,
    left_over: str,
) -> Document:
    rest = copy.deepcopy(dict(document))
    rest.pop("schema", None)
    restored = rest.pop(carried, {})
    result: Document = {"schema": schema}
    for source, target in pairs:
        for bound, value in _extract(rest, source):
            place = tuple(bound if step == RANK else step for step in target)
            _insert(result, place, value)
    if isinstance(restored, dict):
        _merge(result, restored)
    if rest:
        result[left_over] = rest
    return result


def _extract(rest: Document, path: FieldPath) -> list[tuple[str, Any]]:
    if RANK not in path:
        found = _pop(rest, path)
        return [] if found is None else [("", found[0])]
    position = path.index(RANK)
    container: Any = rest
    for step in path[:position]:
        container = container.get(step) if isinstance(container, dict) else None
    if not isinstance(container, dict):
        return []
    extracted = []
    for rank in list(container):
        bound = tuple(rank if step == RANK else step for step in path)
        found = _pop(rest, bound)
        if found is not None:
            extracted.append((rank, found[0]))
    return extracted


def _pop(rest: Document, path: FieldPath) -> tuple[Any] | None:
    containers: list[Document] = [rest]
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


def _insert(result: Document, path: FieldPath, value: Any) -> None:
    for step in path[:-1]:
        result = result.setdefault(step, {})
    result[path[-1]] = value


def _merge(result: Document, restored: Document) -> None:
    for key, value in restored.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            _merge(result[key], value)
        else:
            result[key] = value


def _match(pattern: FieldPath, path: FieldPath) -> str | None:
    if len(pattern) != len(path):
        return None
    bound = ""
    for expected, step in zip(pattern, path, strict=True):
        if expected == RANK:
            bound = step
        elif expected != step:
            return None
    return bound
