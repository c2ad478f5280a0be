"""Search orders of events in which calls run twice, or run though they were refused.

Upstreams, callers, deadlines and stops act in orders set by a seed, many of them in one
turn of the event loop. More seeds by hand: `python -m tests.order_search --seeds 5000`.
"""

import pytest

from tests.order_search import Rule, search_seed
from tests.order_search._mutations import (
    MUTATIONS,
    VERSION_MUTATIONS,
    outlive_calls,
    raise_in_attempts,
)
from tests.order_search._profiles import ENDING, NAMED_PROFILES, Profile
from tests.order_search._version_search import search_versions

SEEDS = range(100)
NAMED_SEEDS = range(60)
VERSION_SEEDS = range(12)
PROMISED = (Rule.TWICE, Rule.REFUSED)


def test_no_call_runs_twice_or_after_a_refusal() -> None:
    """Guard against orders of events in which a call that may run counts as not run."""
    found = []
    statuses = set()
    for seed in SEEDS:
        result = search_seed(seed)
        found += [(seed, item.rule, item.call) for item in result.list_broken(PROMISED)]
        assert result.errors == []
        statuses |= {call.status for call in result.calls}
    assert found == []
    # The seeds reach all kinds of ends.
    assert {None, 200, 408, 500, 502, 503, 504} <= statuses


@pytest.mark.parametrize("name", MUTATIONS)
def test_search_finds_a_fault(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a search that would pass whatever the gateway does."""
    mutation = MUTATIONS[name]
    mutation.apply(monkeypatch)
    seeds = SEEDS if mutation.profile is None else NAMED_SEEDS
    for seed in seeds:
        result = search_seed(seed, mutation.profile)
        # The mutation fits the code that it changes.
        assert result.errors == []
        if result.list_broken(PROMISED):
            return
    pytest.fail(f"not found by {len(seeds)} seeds")


@pytest.mark.parametrize("profile", NAMED_PROFILES.values(), ids=NAMED_PROFILES)
def test_no_call_runs_twice_or_after_a_refusal_in_a_profile(profile: Profile) -> None:
    """Guard against refusals that count for a caller's next try, or come too early."""
    found = []
    for seed in NAMED_SEEDS:
        result = search_seed(seed, profile)
        found += [(seed, item.rule, item.call) for item in result.list_broken(PROMISED)]
        assert result.errors == []
    assert found == []


def test_error_of_another_exchange_hides_no_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a call that counts as unsent by what failed beside it."""
    raise_in_attempts(monkeypatch)
    assert not any(search_seed(seed).list_broken(PROMISED) for seed in SEEDS)


def test_call_that_outlives_its_refusal_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a record that permits to send a call after its refusal."""
    outlive_calls(monkeypatch)
    results = [search_seed(seed, ENDING) for seed in NAMED_SEEDS]
    assert not any(result.list_broken(PROMISED) for result in results)


def test_no_streams_of_a_version_are_lost() -> None:
    """Guard against take-ups that are refused while their engines are soon back."""
    runs = [search_versions(seed) for seed in VERSION_SEEDS]
    assert [run.errors for run in runs if run.errors] == []
    found = [(run.seed, run.lost_streams.list_violations()) for run in runs]
    assert [item for item in found if item[1]] == []


@pytest.mark.parametrize("name", VERSION_MUTATIONS)
def test_search_finds_lost_streams(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a search that would pass however stages are planned."""
    VERSION_MUTATIONS[name](monkeypatch)
    runs = [search_versions(seed) for seed in VERSION_SEEDS]
    assert [run.errors for run in runs if run.errors] == []
    assert any(run.lost_streams.list_violations() for run in runs)


def test_same_seed_gives_the_same_run() -> None:
    """Guard against seeds whose traces can't be repeated."""
    assert search_seed(7).trace == search_seed(7).trace
