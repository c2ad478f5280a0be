"""Guard calls while many upstreams crash at once: retries, refusals, prompt updates.

Fifteen of 39 engines crashed under overload. Each gateway lost calls at each of them,
spent its share of the retry budget on attempts that never reached an upstream, and
refused 1,192 calls in four seconds.
"""

from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import UpstreamId
from bramleyport.fleet import Reachability
from bramleyport.fleet._reachability import UNREACHABLE_S
from tests.gateway_fleet import PLAIN, GatewayFleet
from tests.platform_standin import UpstreamStandin

Run = Callable[[Coroutine[Any, Any, Any]], Any]
NAMES = [UpstreamId(f"e{number}") for number in range(6)]
PROMPT = {"Model": "m", "Token_Counts": "40,1", "Prompt_Prefix": "aa:30,bb:10"}


def test_upstream_that_refused_a_connection_is_avoided_for_a_while() -> None:
    known = Reachability()
    known.record_refused(NAMES[0], 1.0)
    assert known.find_unreachable(NAMES, 1.5) == {NAMES[0]}
    assert known.find_unreachable(NAMES, 1.0 + UNREACHABLE_S) == set()


def test_upstream_that_answers_is_used_again_at_once() -> None:
    known = Reachability()
    known.record_refused(NAMES[0], 1.0)
    known.record_answer(NAMES[0])
    assert known.find_unreachable(NAMES, 1.1) == set()


def test_half_of_the_upstreams_are_always_tried() -> None:
    # A gateway without a network reports all upstreams as unreachable to its peers.
    known = Reachability()
    for number, name in enumerate(NAMES):
        known.record_refused(name, 1.0 + number / 100)
    assert known.find_unreachable(NAMES, 1.1) == set(NAMES[3:])


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    fleet.plain = [UpstreamStandin(f"p{number}", service=PLAIN) for number in range(8)]
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def count_repeats(fleet: GatewayFleet, service: str) -> int:
    return len(fleet.state.find_budget(service)._repeats)


@pytest.mark.parametrize("path", ["/post/x", "/read/x"])
def test_retries_of_unsent_calls_spend_no_retry_budget(
    fleet: GatewayFleet, run: Run, path: str
) -> None:
    for upstream in fleet.plain[:4]:
        run(upstream.stop())
    for _ in range(12):
        assert run(fleet.make_caller().call(path, body=b"b")).status == 200
    assert count_repeats(fleet, PLAIN) == 0


def test_crashed_engine_is_reported_to_peers_at_once(
    fleet: GatewayFleet, run: Run
) -> None:
    run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    (used,) = [engine for engine in fleet.engines if engine.runs]
    run(used.stop())
    reported = []
    fleet.gateway._tracker.on_updates_pending = reported.append
    # The cached prefix makes the crashed engine the preferred choice.
    for _ in range(3):
        answer = run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
        assert answer.status == 200
    pending = fleet.gateway._tracker.take_pending()
    assert pending.refused == [UpstreamId(used.name)]
    assert max(reported) > 0


def test_call_is_refused_if_no_upstream_can_be_reached(
    fleet: GatewayFleet, run: Run
) -> None:
    for upstream in fleet.plain:
        run(upstream.stop())
    answer = run(fleet.make_caller().call("/post/x", body=b"b"))
    assert answer.status == 503
    assert answer.headers["retry-after"]
