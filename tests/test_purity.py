"""Test that the packages with decision logic do no I/O and use no event loop."""

import ast
from pathlib import Path

import pytest

import bramleyport

ROOT = Path(bramleyport.__file__).parent
PURE_PACKAGES = [
    "admission",
    "answers",
    "authority",
    "charts",
    "claims",
    "core",
    "duties",
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
# The shells of a package that is pure otherwise.
SHELL_MODULES = {"duties/_reporter.py", "duties/_sender.py"}
FORBIDDEN_MODULES = {
    "twisted",
    "asyncio",
    "websockets",
    "klein",
    "treq",
    "socket",
    "time",
}
IO_PACKAGES = {
    "agent",
    "callers",
    "control",
    "dispatch",
    "entry",
    "gateway",
    "http1",
    "keyed",
    "links",
    "listening",
    "objectapi",
    "platform",
    "standins",
    "supervision",
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


@pytest.mark.parametrize("package", PURE_PACKAGES)
def test_pure_package_imports_no_io(package: str) -> None:
    for path in (ROOT / package).rglob("*.py"):
        if str(path.relative_to(ROOT)) in SHELL_MODULES:
            continue
        for name in read_imports(path):
            parts = name.split(".")
            assert parts[0] not in FORBIDDEN_MODULES, f"{path} imports {name}"
            if parts[0] == "bramleyport" and len(parts) > 1:
                assert parts[1] not in IO_PACKAGES, f"{path} imports {name}"
