"""Guard the event catalogue, the number of metric labels and the log rate limit."""

import ast
from pathlib import Path

import bramleyport
from bramleyport.core import AccountId
from bramleyport.telemetry import EVENTS, BoundedLabels, EventThrottle
from bramleyport.telemetry._catalogue import render_catalogue

ROOT = Path(bramleyport.__file__).parent
CATALOGUE = ROOT.parent / "docs" / "events.md"


def test_catalogue_page_is_up_to_date() -> None:
    assert CATALOGUE.read_text() == render_catalogue()


def test_every_event_is_logged_somewhere() -> None:
    defined: set[str] = set()
    for path in (ROOT / "telemetry").glob("*events.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.AnnAssign) and isinstance(node.value, ast.Call):
                assert isinstance(node.target, ast.Name)
                defined.add(node.target.id)
    used: set[str] = set()
    for path in ROOT.rglob("*.py"):
        if path.parent.name != "telemetry":
            used.update(
                node.attr
                for node in ast.walk(ast.parse(path.read_text()))
                if isinstance(node, ast.Attribute)
            )
    assert len(defined) == len(EVENTS)
    assert defined - used == set()


def test_metric_labels_are_bounded_with_many_accounts() -> None:
    labels = BoundedLabels()
    chosen = {labels.choose(AccountId(f"account-{n}")) for n in range(41_000)}
    assert len(chosen) <= 66


def test_label_of_an_account_never_changes() -> None:
    labels = BoundedLabels(max_own_labels=2)
    first = [labels.choose(AccountId(f"a{n}")) for n in range(10)]
    assert first == [labels.choose(AccountId(f"a{n}")) for n in range(10)]


def test_repeating_event_is_limited_and_counted() -> None:
    throttle = EventThrottle(max_per_window=3, window_s=10.0)
    passed = [throttle.check(1401, now_s=1.0) for _ in range(10)]
    assert passed == [0, 0, 0] + [None] * 7
    assert throttle.check(1401, now_s=12.0) == 7
    assert throttle.check(1402, now_s=12.0) == 0
