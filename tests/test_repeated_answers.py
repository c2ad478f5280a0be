"""Guard calls against upstreams that repeat an earlier refusal on a connection."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest

from bramleyport.http1 import _pool
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import (
    RawRequest,
    UpstreamStandin,
    answer_normally,
    render_response,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]
CALL_COUNT = 6
PROMPT = {
    "Model": "m",
    "Token_Counts": "4000,10",
    "Prompt_Prefix": "aa:3000,bb:1000",
}
POST = ("/post/x", {})
ONCE = ("/once/x", PROMPT)


@pytest.fixture
def fleet(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[GatewayFleet]:
    # Connections are reused however slowly the test runs.
    monkeypatch.setattr(_pool, "MAX_FRESH_IDLE_S", 60.0)
    monkeypatch.setattr(_pool, "DEFAULT_MAX_IDLE_S", 60.0)
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def render_refusal(status: int, **headers: str) -> bytes:
    return render_response(status, Not_Run="1", **headers)


class RepeatedRefusal:
    """Write a refusal before each answer on a connection that carried a request."""

    def __init__(self, refusal: bytes) -> None:
        self._refusal = refusal
        self._seen: set[asyncio.StreamWriter] = set()
        self.repeats = 0

    async def __call__(
        self,
        upstream: UpstreamStandin,
        request: RawRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if writer in self._seen:
            self.repeats += 1
            writer.write(self._refusal)
        self._seen.add(writer)
        await answer_normally(upstream, request, writer)


@pytest.mark.parametrize("stamp", [{}, {"Server_Stamp": "s"}], ids=["bare", "stamped"])
@pytest.mark.parametrize("status", [400, 421, 429, 503])
@pytest.mark.parametrize(("path", "headers"), [POST, ONCE], ids=["plain", "stream"])
def test_repeated_refusal_without_id_is_no_answer(
    fleet: GatewayFleet,
    run: Run,
    path: str,
    headers: dict[str, str],
    status: int,
    stamp: dict[str, str],
) -> None:
    # It was taken as the answer to the call, which then also ran at a second upstream.
    script = RepeatedRefusal(render_refusal(status, **stamp))
    for upstream in (*fleet.plain, *fleet.engines):
        upstream.script = script
    caller = fleet.make_caller()
    answers = [run(caller.call(path, body=b"b", **headers)) for _ in range(CALL_COUNT)]
    assert script.repeats > 0
    runs = Counter(request for _, request in fleet.list_runs())
    assert set(runs.values()) == {1}
    assert len(runs) == CALL_COUNT
    assert {answer.status for answer in answers} == {200, 502}


def test_refusal_without_id_on_a_new_connection_is_believed(
    fleet: GatewayFleet, run: Run
) -> None:
    async def refuse(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(render_refusal(503))

    for upstream in fleet.plain:
        upstream.script = refuse
    caller = fleet.make_caller()
    for _ in range(CALL_COUNT):
        assert run(caller.call("/post/x", body=b"b")).status == 503
    assert fleet.list_runs() == []
