"""Guard what is told of a call against what is known of its attempts."""

import asyncio
import socket
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bramleyport.gateway._attempt_record import (
    Attempts,
    AttemptState,
    InvalidTransitionError,
    NotRunBasis,
    NotRunProof,
    Refusal,
)
from bramleyport.gateway._exchange import Exchanger
from bramleyport.http1 import ExchangeError, ExchangeFailure
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import (
    LOOPBACK,
    RawRequest,
    UpstreamStandin,
    hang,
    render_response,
    script_first_request,
)
from tests.ports import find_port

Run = Callable[[Coroutine[Any, Any, Any]], Any]
# Shorter than the time limit of a connection that does not open.
SHORT_DEADLINE_MS = "200"
GRACE_S = 4.0
# Late enough in the grace time that calls are still accepted.
SEND_AFTER_S = 1.0
PATHS = ["/post/x", "/once/x"]


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


@pytest.fixture
def full_port() -> Iterator[int]:
    """Return a port on which new connections neither open nor fail."""
    with socket.socket() as server:
        server.bind((LOOPBACK, find_port()))
        server.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for client in waiting:
            client.setblocking(False)
            client.connect_ex(server.getsockname())
        yield server.getsockname()[1]
        for client in waiting:
            client.close()


def move_upstreams(fleet: GatewayFleet, run: Run, port: int) -> None:
    """Register all upstreams at one port."""
    upstreams = (*fleet.plain, *fleet.engines)
    for upstream in upstreams:
        upstream.register(fleet.store, addr=f"{LOOPBACK}:{port}")

    def has_moved() -> bool:
        return all(item.address.port == port for item in fleet.state.members.list_all())

    run(fleet.wait_for(has_moved))


REFUSAL = Refusal(status=503, instance=None, named=True, exchanges=1)


def test_attempt_that_was_sent_never_counts_as_unsent() -> None:
    # Whatever ends it, a call that may have run would be sent again.
    attempts = Attempts()
    record = attempts.begin()
    record.record_sent()
    with pytest.raises(InvalidTransitionError):
        record.record_sent()
    assert attempts.may_have_run
    record.record_end()
    assert record.state is AttemptState.LOST
    with pytest.raises(InvalidTransitionError):
        record.record_refusal(REFUSAL)
    assert attempts.close_unless_run() is None
    with pytest.raises(InvalidTransitionError):
        NotRunProof(attempts)


def test_refusal_counts_for_its_own_attempt_only() -> None:
    # A call that was lost at one upstream was refused, since another one refused it.
    attempts = Attempts()
    lost, refused = attempts.begin(), attempts.begin()
    with pytest.raises(InvalidTransitionError):
        refused.record_refusal(REFUSAL)
    lost.record_sent()
    refused.record_sent()
    refused.record_refusal(REFUSAL)
    assert (attempts.sends, attempts.runs, attempts.may_have_run) == (2, 0, True)
    assert attempts.close_unless_run() is None


def test_nothing_is_sent_after_a_refusal() -> None:
    # The call would run after its caller was told that it never will.
    attempts = Attempts()
    record = attempts.begin()
    proof = attempts.close_unless_run()
    assert proof is not None
    assert proof.basis is NotRunBasis.NOTHING_SENT
    with pytest.raises(InvalidTransitionError):
        attempts.begin()
    with pytest.raises(InvalidTransitionError):
        record.record_sent()


@pytest.mark.parametrize("path", PATHS)
def test_call_that_was_not_sent_by_its_deadline_is_refused(
    fleet: GatewayFleet, run: Run, full_port: int, path: str
) -> None:
    # It was answered 504, as if it might have run, so it could not be sent again.
    move_upstreams(fleet, run, full_port)
    call = fleet.make_caller().call(path, body=b"b", Deadline_Ms=SHORT_DEADLINE_MS)
    answer = run(call)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


@pytest.mark.parametrize("path", PATHS)
def test_call_that_was_not_sent_by_the_end_of_a_stop_is_refused(
    fleet: GatewayFleet, run: Run, full_port: int, path: str
) -> None:
    # It was answered 502, as if it might have run.
    move_upstreams(fleet, run, full_port)

    async def stop() -> Any:
        fleet.state.settings = replace(fleet.state.settings, grace_s=GRACE_S)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(SEND_AFTER_S)
        calls = [
            fleet.make_caller().call(path, body=b"b", Deadline_Ms=str(deadline_ms))
            for deadline_ms in range(2200, 2900, 100)
        ]
        answers = await asyncio.gather(*calls)
        await stopping
        return [answer.status for answer in answers]

    assert set(run(stop())) == {503}


@pytest.mark.parametrize("path", PATHS)
def test_refusal_that_names_its_call_counts_although_its_body_is_cut(
    fleet: GatewayFleet, run: Run, path: str
) -> None:
    # A plain call was answered 502, although its upstream had said that it did not run.
    async def refuse(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        name = request.headers["request-id"]
        refusal = render_response(503, b"refused", Not_Run="1", Request_Id=name)
        writer.write(refusal[:-3])
        await writer.drain()
        writer.transport.abort()

    targets = fleet.engines if path == "/once/x" else fleet.plain
    script_first_request(targets, refuse)
    assert run(fleet.make_caller().call(path, body=b"b")).status == 200
    assert len(fleet.list_runs()) == 1


@pytest.mark.parametrize("failure", [ExchangeFailure.NOT_SENT, ExchangeFailure.REFUSED])
@pytest.mark.parametrize("path", PATHS)
def test_error_of_another_exchange_does_not_make_a_call_unsent(
    fleet: GatewayFleet,
    run: Run,
    monkeypatch: pytest.MonkeyPatch,
    path: str,
    failure: ExchangeFailure,
) -> None:
    # It counted as unsent after it had run, and was sent again.
    record_head = Exchanger._record_head

    def fail_once(self: Exchanger, *args: Any) -> Any:
        monkeypatch.setattr(Exchanger, "_record_head", record_head)
        raise ExchangeError(failure, "connect", "another peer", "not open")

    monkeypatch.setattr(Exchanger, "_record_head", fail_once)
    assert run(fleet.make_caller().call(path, body=b"b")).status == 502
    assert len(fleet.list_runs()) == 1


@pytest.mark.parametrize("path", PATHS)
def test_call_that_was_sent_is_in_doubt_at_its_deadline(
    fleet: GatewayFleet, run: Run, path: str
) -> None:
    # The refusal of a call that may still run would be sent again by its caller.
    for upstream in (*fleet.plain, *fleet.engines):
        upstream.script = hang
    call = fleet.make_caller().call(path, body=b"b", Deadline_Ms=SHORT_DEADLINE_MS)
    assert run(call).status == 504
    assert len(fleet.list_runs()) == 1
