"""Parse untrusted YAML text."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any, Final

import yaml
from result import Err, Ok, Result

from bramleyport.core._problems import Problem

MAX_TEXT_BYTES: Final = 1_000_000
MAX_DEPTH: Final = 20

Path = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class YamlDocument:
    """Represent the value of a YAML document and the line of each field."""

    value: Any
    lines: dict[Path, int]

    def find_line(self, path: Path) -> int | None:
        """Return the line of a field, or of the nearest enclosing field."""
        while path not in self.lines and path:
            path = path[:-1]
        return self.lines.get(path)


class _StrictLoader(yaml.SafeLoader):
    """Load plain data and reject anchors and aliases."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        event = self.peek_event()  # type: ignore[no-untyped-call]
        # With aliases a small text can expand to an enormous value.
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            raise yaml.constructor.ConstructorError(
                None, None, "anchors and aliases are not allowed", event.start_mark
            )
        return super().compose_node(parent, index)


def read_yaml(raw: bytes) -> Result[YamlDocument, list[Problem]]:
    """Return the document in a YAML text, or the problems found."""
    if len(raw) > MAX_TEXT_BYTES:
        return Err([Problem(reason=f"the text exceeds {MAX_TEXT_BYTES} bytes")])
    try:
        loader = _StrictLoader(raw.decode("utf-8"))
    except UnicodeDecodeError as error:
        return Err([Problem(reason=f"the text is not UTF-8 at byte {error.start}")])
    except yaml.YAMLError as error:
        return Err([_describe(error)])
    try:
        node = loader.get_single_node()
        if node is None:
            return Err([Problem(reason="the text is empty")])
        lines: dict[Path, int] = {}
        problems = _check_node(node, (), lines)
        if problems:
            return Err(problems)
        return Ok(YamlDocument(loader.construct_document(node), lines))
    except yaml.YAMLError as error:
        return Err([_describe(error)])
    except (ValueError, RecursionError) as error:
        return Err([Problem(reason=f"not valid YAML: {type(error).__name__}")])
    finally:
        loader.dispose()


def _check_node(node: Any, path: Path, lines: dict[Path, int]) -> list[Problem]:
    line = node.start_mark.line + 1
    lines.setdefault(path, line)
    if len(path) > MAX_DEPTH:
        return [Problem(path=path, reason=f"nested deeper than {MAX_DEPTH}", line=line)]
    problems: list[Problem] = []
    if isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            problems += _check_node(child, (*path, str(index)), lines)
    elif isinstance(node, yaml.MappingNode):
        seen: set[Hashable] = set()
        for key, child in node.value:
            name = (*path, str(key.value))
            key_line = key.start_mark.line + 1
            lines[name] = key_line
            if not isinstance(key, yaml.ScalarNode):
                reason = "a key must be plain text"
                problems.append(Problem(path=path, reason=reason, line=key_line))
                continue
            if key.value in seen:
                reason = "the key appears twice"
                problems.append(Problem(path=name, reason=reason, line=key_line))
            seen.add(key.value)
            problems += _check_node(child, name, lines)
    return problems


def _describe(error: yaml.YAMLError) -> Problem:
    mark = getattr(error, "problem_mark", None)
    names = ("context", "problem", "reason")
    parts = [str(getattr(error, name, None) or "") for name in names]
    reason = ", ".join(part for part in parts if part) or "not valid YAML"
    return Problem(reason=reason, line=mark.line + 1 if mark else None)
