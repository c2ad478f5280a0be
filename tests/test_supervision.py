"""Test that background jobs of entries and agents outlive an unexpected error."""

from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest

from bramleyport.entry import _count_relay, _status_reporter
from tests.fleet import Fleet

Run = Callable[[Coroutine[Any, Any, Any]], Any]
INTERVAL_S = 0.05


@pytest.fixture
def fleet(run: Run, monkeypatch: pytest.MonkeyPatch) -> Iterator[Fleet]:
    monkeypatch.setattr(_status_reporter, "REPORT_INTERVAL_S", INTERVAL_S)
    monkeypatch.setattr(_count_relay, "POLL_INTERVAL_S", INTERVAL_S)
    fleet = Fleet()
    run(fleet.start())
    yield fleet
    run(fleet.stop())


JOBS: dict[str, tuple[Callable[[Fleet], Any], str]] = {
    "ticks of an entry": (lambda fleet: fleet.entries[0]._hub, "update_topology"),
    "ticks of an agent": (lambda fleet: fleet.agents[0]._hub, "update_topology"),
    "refusals of late work": (lambda fleet: fleet.agents[0], "_refuse_late"),
    "status of records": (lambda fleet: fleet.entries[0]._status, "report"),
    "counts": (lambda fleet: fleet.entries[0]._relay, "get_interval"),
    "reports of requests": (lambda fleet: fleet.entries[0]._reports, "_is_reporter"),
    "store": (lambda fleet: fleet.entries[0]._client, "watch"),
}


@pytest.mark.parametrize("job", JOBS)
def test_job_goes_on_after_an_unexpected_error(
    fleet: Fleet, run: Run, monkeypatch: pytest.MonkeyPatch, job: str
) -> None:
    """Guards against a process that serves on without one of its jobs, unnoticed."""
    find_owner, name = JOBS[job]
    owner = find_owner(fleet)
    method = getattr(owner, name)
    # The first argument of each call; two watches of the store run beside each other.
    calls: list[Any] = []

    def fail_first(*args: Any, **kwargs: Any) -> Any:
        calls.append(args[:1])
        if len(calls) == 1:
            raise RuntimeError("injected fault")
        return method(*args, **kwargs)

    async def scenario() -> None:
        if job == "reports of requests":
            owner._written_s = -1e9
        monkeypatch.setattr(owner, name, fail_first)
        await fleet.wait(lambda: bool(calls) and calls.count(calls[0]) >= 2)

    run(scenario())
