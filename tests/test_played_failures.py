"""Guard that the gateway's log explains calls that failed by injected faults."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from bramleyport.cli._main import main
from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet import Work
from bramleyport.telemetry import _logging, configure_logging
from bramleyport.telemetry._throttle import EventThrottle
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import hang, lose_answer, script_first_request

Run = Callable[[Coroutine[Any, Any, Any]], Any]
PROMPT = {"Model": "m", "Token_Counts": "4000,10", "Prompt_Prefix": "aa:3000,bb:1000"}
STORE_UNAVAILABLE_EVENT = '"event": 2627'


class Log:
    """Represent the log that a gateway writes to standard output."""

    def __init__(self, capture: pytest.CaptureFixture[str]) -> None:
        self._capture = capture
        self._text = ""

    def read(self) -> str:
        self._text += self._capture.readouterr().out
        return self._text

    def explain(self, request: str) -> str:
        result = CliRunner().invoke(main, ["explain", request], input=self.read())
        assert result.exit_code == 0, result.output
        return result.output


@pytest.fixture
def log(
    capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> Iterator[Log]:
    # Other tests of this process may have used up what is logged of an event in 10 s.
    monkeypatch.setattr(_logging, "_throttle", EventThrottle())
    configure_logging(json_lines=True, level="INFO", process="g1")
    yield Log(capfd)
    configure_logging(json_lines=False, level="INFO", process="")


@pytest.fixture
def fleet(log: Log, run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def test_call_refused_under_load(fleet: GatewayFleet, log: Log, run: Run) -> None:
    for engine in fleet.engines:
        name = UpstreamId(engine.name)
        now_s = asyncio.get_event_loop().time()
        work = Work(
            request=RequestId("w"),
            upstream=name,
            priority=0,
            prefill_s=9.0,
            started_s=now_s,
        )
        fleet.state.loads.of(name).add(work)
    caller = fleet.make_caller()
    answer = run(caller.call("/stream/x", body=b"p", Request_Id="mine", **PROMPT))
    assert answer.status == 503
    explanation = log.explain("mine")
    assert "cause: too_late" in explanation
    assert "sends=0" in explanation
    # The refusal must show its forecast and the time that remained.
    assert "wait_s=" in explanation
    assert "left_s=" in explanation


def test_call_lost_with_its_upstream(fleet: GatewayFleet, log: Log, run: Run) -> None:
    script_first_request(fleet.plain, lose_answer)
    answer = run(fleet.make_caller().call("/post/x", body=b"b", Request_Id="mine"))
    assert answer.status == 502
    [(upstream, _)] = fleet.list_runs()
    explanation = log.explain("mine")
    assert "cause: not_repeatable" in explanation
    assert f"upstream={upstream} end=lost" in explanation


def test_call_that_timed_out_in_an_outage_of_the_store(
    fleet: GatewayFleet, log: Log, run: Run
) -> None:
    async def call_in_outage() -> int:
        fleet.store.refusal_status = 503
        fleet.store.reset_connections()
        await fleet.wait_for(lambda: STORE_UNAVAILABLE_EVENT in log.read())
        script_first_request(fleet.plain, hang)
        caller = fleet.make_caller()
        answer = await caller.call(
            "/post/x", body=b"b", Request_Id="mine", Deadline_Ms="400"
        )
        return int(answer.status)

    assert run(call_in_outage()) == 504
    explanation = log.explain("mine")
    assert "cause: deadline" in explanation
    state_log, _, request_log = explanation.partition("events of the request")
    assert "[2627]" in state_log
    assert "status=504" in request_log


def test_call_refused_over_the_limits_of_its_upstreams(
    fleet: GatewayFleet, log: Log, run: Run
) -> None:
    async def call_until_refused() -> int:
        for upstream in fleet.plain:
            upstream.limit = "0.5"
        caller = fleet.make_caller()
        for number in range(50):
            request = f"mine-{number}"
            answer = await caller.call("/post/x", body=b"b", Request_Id=request)
            if answer.status != 200:
                assert answer.status == 503
                assert float(answer.headers["retry-after"]) > 0
                return number
        raise AssertionError("no call was refused")

    number = run(call_until_refused())
    explanation = log.explain(f"mine-{number}")
    assert "cause: over_limit" in explanation
    assert "sends=0" in explanation
    # The limit, its age, and the share that refused the call.
    assert "limit_per_s=0.5" in explanation
    assert "limit_age_s=" in explanation
    assert "share_per_s=0.5" in explanation
    # When the limit became known, and from whom.
    assert "[2644]" in explanation
    assert f"mine-{number}" not in {request for _, request in fleet.list_runs()}
