"""Guard the rule that decision modules do no I/O and know no event loop."""

import ast
from pathlib import Path

import pytest

import bramleyport

ROOT = Path(bramleyport.__file__).parent
PURE = [
    "admission",
    "answers",
    "authority",
    "charts",
    "claims",
    "core",
    "estimate",
    "fleet",
    "membership",
    "planning",
    "queueing",
    "records",
    "replication",
    "retries",
    "routing",
    "settings",
    "wire",
]
FORBIDDEN = {"twisted", "asyncio", "websockets", "klein", "treq", "socket", "time"}
SHELL = {
    "agent",
    "callers",
    "control",
    "dispatch",
    "entry",
    "gateway",
    "http1",
    "keyed",
    "links",
    "objectapi",
    "platform",
    "standins",
    "transport",
    "upstreams",
}


def read_imports(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


@pytest.mark.parametrize("package", PURE)
def test_decision_package_imports_no_io(package: str) -> None:
    for path in (ROOT / package).rglob("*.py"):
        for name in read_imports(path):
            parts = name.split(".")
            assert parts[0] not in FORBIDDEN, f"{path} imports {name}"
            if parts[0] == "bramleyport" and len(parts) > 1:
                assert parts[1] not in SHELL, f"{path} imports {name}"
