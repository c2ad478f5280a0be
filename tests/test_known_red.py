"""Guard that only the tests listed in KNOWN-RED.txt may fail."""

import os
from pathlib import Path

import pytest

from tests.known_red import load_entries, read_entries

TESTS = """
def test_listed():
    assert False


def test_other():
    assert False
"""
ENTRY = "test_x.py::test_listed | make test | fails | 1"


def test_only_the_listed_test_may_fail(
    pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.conftest.load_entries", lambda: read_entries(ENTRY))
    pytester.makepyfile(test_x=TESTS)
    plugin = __import__("tests.conftest", fromlist=["conftest"])
    result = pytester.inline_run(plugins=[plugin])
    _, skipped, failed = result.listoutcomes()
    assert [report.nodeid for report in failed] == ["test_x.py::test_other"]
    assert [report.nodeid for report in skipped] == ["test_x.py::test_listed"]


GROUPED_TESTS = """
import pytest


@pytest.mark.xdist_group("processes")
def test_listed():
    assert False


@pytest.mark.xdist_group("processes")
def test_other():
    assert False
"""
HOOKS = """
from pathlib import Path

from tests import known_red

known_red.LIST_PATH = Path(__file__).parent / "KNOWN-RED.txt"

from tests.conftest import pytest_collection_modifyitems, pytest_terminal_summary
"""


# Guards against a listed test that fails the run because its group is part of its
# name, and against a list that each process prints.
def test_only_the_listed_test_may_fail_in_several_processes(
    pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch
) -> None:
    root = Path(__file__).parent.parent
    monkeypatch.setenv("PYTHONPATH", os.fspath(root))
    pytester.makefile(".txt", **{"KNOWN-RED": ENTRY})
    pytester.makeconftest(HOOKS)
    pytester.makepyfile(test_x=GROUPED_TESTS)
    result = pytester.runpytest_subprocess("-n", "2", "--dist", "loadgroup")
    result.assert_outcomes(xfailed=1, failed=1)
    lines = [line for line in result.outlines if line.startswith("known failure:")]
    assert lines == ["known failure: test_x.py::test_listed: fails"]


def test_entry_without_an_issue_is_an_error() -> None:
    with pytest.raises(ValueError, match="KNOWN-RED"):
        read_entries("test_x.py::test_listed | make test | fails |")


def test_listed_tests_exist() -> None:
    # An entry with the name of no test is out of date, and nothing else shows it.
    from tests.known_red import LIST_PATH

    for entry in load_entries():
        path, _, name = entry.test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (LIST_PATH.parent / path).read_text()
