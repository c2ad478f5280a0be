"""Guard that the platform's names stay in one package, and decisions out of it."""

import ast
import re
from pathlib import Path

import pytest

import bramleyport
from tests.test_purity import read_imports

ROOT = Path(bramleyport.__file__).parent
ADAPTER = ROOT / "platform"
# Names on the wire that have no meaning of their own in the project.
WIRE_NAMES = re.compile(
    r"BRAMLEYPORT_NODE_FILE|Kv-(Source|Move|Hold|Backup|Fetch)|Server-Stamp"
    r"|Prompt-Prefix|Token-Counts|Expect-Instance|Deadline-Ms|Not-Run|/-/"
    r"|kv_handle|route_kind|cold_left_ms|budget_extra_tries|platform_store"
    r"|[\"']born[\"']|[\"']slo_ms[\"']|[\"']fence[\"']",
    re.IGNORECASE,
)


def list_sources(folder: Path) -> list[Path]:
    return sorted(folder.rglob("*.py"))


def test_wire_names_stand_in_the_adapter_alone() -> None:
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in list_sources(ROOT)
        if ADAPTER not in path.parents
        for match in [WIRE_NAMES.search(path.read_text())]
        if match
    ]
    assert found == []


def test_wire_names_are_found_where_they_belong() -> None:
    texts = [path.read_text() for path in list_sources(ADAPTER)]
    assert any(WIRE_NAMES.search(text) for text in texts)


@pytest.mark.parametrize("path", list_sources(ADAPTER), ids=lambda path: path.name)
def test_adapter_decides_nothing(path: Path) -> None:
    # It may use the types of the decisions, not the decisions.
    deciding = {"Chooser", "StagePlanner", "Membership", "LoadTracker", "admit"}
    names = {
        alias.name
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    }
    assert not names & deciding
    assert not any(
        name.startswith("bramleyport.gateway") for name in read_imports(path)
    )


def test_adapter_does_not_hide_the_standard_library() -> None:
    # A package called platform on the path would hide the standard library's module.
    import platform

    assert "bramleyport" not in str(platform.__file__)
