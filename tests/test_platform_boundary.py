"""Guard that only the platform package has wire names and that it decides nothing."""

import ast
import re
from pathlib import Path

import pytest

import bramleyport
from tests.test_purity import read_imports

ROOT = Path(bramleyport.__file__).parent
ADAPTER = ROOT / "platform"
# Wire names that the project uses for nothing else.
WIRE_NAMES = re.compile(
    r"BRAMLEYPORT_NODE_FILE|Kv-(Source|Move|Hold|Backup|Fetch)|Server-Stamp"
    r"|Prompt-Prefix|Token-Counts|Expect-Instance|Deadline-Ms|Not-Run|/-/"
    r"|Duty-Holder|Fence-Token|duties_per_s|window_id|fence_checked|thaw_ms"
    r"|kv_handle|route_kind|cold_left_ms|budget_extra_tries|platform_store"
    r"|[\"']born[\"']|[\"']slo_ms[\"']|[\"']fence[\"']",
    re.IGNORECASE,
)


def list_sources(folder: Path) -> list[Path]:
    return sorted(folder.rglob("*.py"))


def test_wire_names_occur_in_the_adapter_only() -> None:
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in list_sources(ROOT)
        if ADAPTER not in path.parents
        for match in [WIRE_NAMES.search(path.read_text())]
        if match
    ]
    assert found == []


def test_pattern_of_wire_names_matches_the_adapter() -> None:
    texts = [path.read_text() for path in list_sources(ADAPTER)]
    assert any(WIRE_NAMES.search(text) for text in texts)


@pytest.mark.parametrize("path", list_sources(ADAPTER), ids=lambda path: path.name)
def test_adapter_imports_no_decisions(path: Path) -> None:
    # It may import the types that decisions use, but not the code that decides.
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


def test_adapter_does_not_shadow_the_standard_library() -> None:
    # A directory on sys.path with a package named platform would shadow the module.
    import platform

    assert "bramleyport" not in str(platform.__file__)
