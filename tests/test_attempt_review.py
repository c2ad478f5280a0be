"""Guard calls against faults found while the records of attempts were reviewed."""

import asyncio
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
from result import Err

from bramleyport.authority import Lease, LeaseFailed, LeaseInDoubt, WriteLease
from bramleyport.core import Explanation, FencingNumber, ProcessId, RequestId
from bramleyport.gateway._attempt_record import AttemptRecord
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._lease import OrderLease
from bramleyport.gateway._retries import RetryDecider
from bramleyport.http1 import HttpClient, HttpRequest, UpstreamConnection, _pool
from bramleyport.platform import StoreClient, StoreError, StoreFailure
from bramleyport.platform._store_eras import StoreEras
from tests.gateway_fleet import PLAIN, GatewayFleet, make_config, make_route
from tests.platform_standin import (
    LOOPBACK,
    RawRequest,
    UpstreamStandin,
    answer_normally,
    lose_answer,
    make_stamp_headers,
    render_response,
    script_first_request,
)
from tests.ports import find_port

Run = Callable[[Coroutine[Any, Any, Any]], Any]
PATHS = ["/post/x", "/once/x"]
REFUSALS = (408, 421, 429, 503)
# What random upstreams do, and how many calls they get.
REFUSED_FRACTION = 0.45
LOST_FRACTION = 0.1
UNNAMED_FRACTION = 0.3
CUT_FRACTION = 0.2
REPEATED_FRACTION = 0.5
BATCHES = 25
BATCH_CALLS = 12
MANY_ATTEMPTS_ROUTE = make_route("many", "/many/", "idempotent", max_attempts=4)
# A stall of the loop in which the refusal of a connection arrives.
BLOCKED_LOOP_S = 0.05
RECEIVE_TIMEOUT_S = 0.5
EARLY_REFUSAL = render_response(503, b"full", Not_Run="1", Connection="close")


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


@pytest.fixture
def large_fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    """Start enough upstreams that one of them may be ejected."""
    fleet = GatewayFleet(tmp_path)
    fleet.plain += [UpstreamStandin(f"p{n}", service=PLAIN) for n in range(2, 8)]
    run(fleet.start())
    yield fleet
    run(fleet.stop())


@pytest.fixture
def kept_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reuse connections however slowly the test runs."""
    monkeypatch.setattr(_pool, "MAX_FRESH_IDLE_S", 60.0)
    monkeypatch.setattr(_pool, "DEFAULT_MAX_IDLE_S", 60.0)


def delay_opening(monkeypatch: pytest.MonkeyPatch, port: int, delay_s: float) -> None:
    """Let connections to a port, or to all if it is 0, open late."""
    open_connection = HttpClient.open

    async def open_late(self: HttpClient, connection: Any, timeout_s: float) -> None:
        if port in (0, connection.peer.port):
            await asyncio.sleep(delay_s)
        await open_connection(self, connection, timeout_s)

    monkeypatch.setattr(HttpClient, "open", open_late)


class EarlyRefusal(threading.Thread):
    """Refuse each connection as it opens, before any request was read."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.received = b""
        self._server = socket.create_server((LOOPBACK, find_port()))
        self.port = self._server.getsockname()[1]

    def run(self) -> None:
        while True:
            try:
                client, _ = self._server.accept()
            except OSError:
                return
            with client:
                client.sendall(EARLY_REFUSAL)
                client.settimeout(RECEIVE_TIMEOUT_S)
                try:
                    self.received += client.recv(1024)
                except OSError:
                    continue

    def stop(self) -> None:
        self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()
        self.join()


def targets_of(fleet: GatewayFleet, path: str) -> list[UpstreamStandin]:
    return fleet.engines if path == "/once/x" else fleet.plain


@pytest.mark.parametrize("path", PATHS)
def test_refusal_that_arrives_before_the_request_is_written(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    # Its connection was closed at once, but the call counted as sent on it, and got 502
    # though no byte had reached an upstream.
    connection_made = UpstreamConnection.connectionMade

    def block_loop(connection: UpstreamConnection) -> None:
        connection_made(connection)
        time.sleep(BLOCKED_LOOP_S)

    monkeypatch.setattr(UpstreamConnection, "connectionMade", block_loop)
    early = EarlyRefusal()
    early.start()
    for upstream in targets_of(fleet, path):
        upstream.register(fleet.store, addr=f"{LOOPBACK}:{early.port}")

    def has_moved() -> bool:
        ports = [item.address.port for item in fleet.state.members.list_all()]
        return ports.count(early.port) == 2

    run(fleet.wait_for(has_moved))
    answer = run(fleet.make_caller().call(path, body=b"b"))
    early.stop()
    assert early.received == b""
    assert answer.status == 503


# Opens within the time limit for connections, but later than the shortest time limit of
# an attempt.
SLOW_OPENING_S = 0.3


def test_call_is_answered_by_upstreams_whose_connections_open_slowly(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each attempt was given up while its connection opened, without regard to whether
    # another upstream could answer, until the call was refused as unreachable.
    delay_opening(monkeypatch, 0, SLOW_OPENING_S)
    assert run(fleet.make_caller().call("/read/x", body=b"b")).status == 200


def test_upstream_whose_connections_do_not_open_in_time_is_ejected(
    large_fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Attempts that were given up while their connection opened counted as declined, so
    # calls began there again and again.
    fleet = large_fleet
    lost = fleet.plain[0]
    delay_opening(monkeypatch, lost.port, 60.0)

    async def call_until_ejected() -> None:
        for _ in range(100):
            assert (await fleet.make_caller().call("/read/x")).status == 200
            if lost.name in fleet.state.list_ejected(PLAIN, read_now()):
                return
            fleet.state.declined_until_s.clear()
        raise AssertionError("never ejected")

    run(call_until_ejected())


class RepeatedForNamesake:
    """Refuse a call once on each connection, and repeat that before the next one."""

    def __init__(self) -> None:
        self._refused_on: set[asyncio.StreamWriter] = set()
        self._names: set[str] = set()

    async def __call__(
        self,
        upstream: UpstreamStandin,
        request: RawRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = request.headers["request-id"]
        refusal = render_response(400, Not_Run="1", Request_Id=name)
        if name not in self._names:
            self._names.add(name)
            self._refused_on.add(writer)
            writer.write(refusal)
            return
        if writer in self._refused_on:
            writer.write(refusal)
        await answer_normally(upstream, request, writer)


@pytest.mark.usefixtures("kept_connections")
def test_refusal_is_not_taken_for_a_later_call_of_the_same_name(
    fleet: GatewayFleet, run: Run
) -> None:
    # It ran after its caller had been told that it had not, or ran twice.
    script = RepeatedForNamesake()
    for upstream in fleet.plain:
        upstream.script = script

    async def call() -> list[int]:
        statuses = []
        for _ in range(4):
            answer = await fleet.make_caller().call("/post/x", Request_Id="r")
            statuses.append(answer.status)
            # Calls come to the upstream that has refused one.
            fleet.state.declined_until_s.clear()
        return statuses

    statuses = run(call())
    assert set(statuses) == {200}
    assert len(fleet.list_runs()) == len(statuses)


STALL_S = 2.0


@pytest.mark.parametrize("path", PATHS)
def test_refusal_counts_before_its_body_ends(
    fleet: GatewayFleet, run: Run, path: str
) -> None:
    # A plain call waited for the body until its deadline, and got no retry.
    async def refuse_slowly(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        name = request.headers["request-id"]
        refusal = render_response(503, b"refused", Not_Run="1", Request_Id=name)
        writer.write(refusal[:-1])
        await asyncio.sleep(STALL_S)

    script_first_request(targets_of(fleet, path), refuse_slowly)
    answer = run(fleet.make_caller().call(path, body=b"b", Deadline_Ms="1000"))
    assert answer.status == 200


@pytest.mark.parametrize("status", [200, 204, 302, 404, 500, 504])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("method", ["POST", "HEAD", "GET"])
def test_odd_refusal_is_one(
    fleet: GatewayFleet, run: Run, path: str, method: str, status: int
) -> None:
    # The statement counts, whatever the status beside it.
    async def refuse(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        headers = make_stamp_headers(upstream, request) | {"Not_Run": "1"}
        body = b"" if method == "HEAD" or status == 204 else b"refused"
        writer.write(render_response(status, body, **headers))

    script_first_request(targets_of(fleet, path), refuse)
    answer = run(fleet.make_caller().call(path, method=method))
    assert answer.status == 200
    assert len(fleet.list_runs()) == 1


@pytest.mark.parametrize("path", PATHS)
def test_interim_answer_and_trailer_refuse_nothing(
    fleet: GatewayFleet, run: Run, path: str
) -> None:
    # The call would be sent again after it ran.
    async def refuse_around(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.record_run(request)
        name = request.headers["request-id"]
        writer.write(
            f"HTTP/1.1 103 X\r\nNot-Run: 1\r\nRequest-Id: {name}\r\n\r\n".encode()
        )
        writer.write(
            "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\nTrailer: Not-Run\r\n"
            f"Request-Id: {name}\r\n\r\n0\r\nNot-Run: 1\r\n\r\n".encode()
        )

    for upstream in targets_of(fleet, path):
        upstream.script = refuse_around
    assert run(fleet.make_caller().call(path, body=b"b")).status == 502
    assert len(fleet.list_runs()) == 1


class StoreWithLostMeaning:
    """Represent a store whose answers to writes fail in one way."""

    def __init__(self, failure: StoreFailure) -> None:
        self.eras = StoreEras()
        self._error = StoreError(failure=failure, step="replace", reason="test")

    async def create(self, *_: Any) -> Err[StoreError]:
        """Return the failure."""
        return Err(self._error)


@pytest.mark.parametrize(
    ("failure", "is_certain"),
    [
        (StoreFailure.REFUSED, True),
        (StoreFailure.INVALID, True),
        (StoreFailure.UNKNOWN, False),
        (StoreFailure.MALFORMED, False),
        (StoreFailure.OUTDATED, False),
    ],
)
def test_lease_write_has_failed_only_if_the_store_says_so(
    run: Run, failure: StoreFailure, is_certain: bool
) -> None:
    # A lease that the store had written counted as not written, since its answer could
    # not be decoded or was of an earlier era.
    store = cast("StoreClient", StoreWithLostMeaning(failure))
    lease = OrderLease(ProcessId("g"), store, 1.0, first_start=True)
    wanted = Lease(holder="g", fencing=FencingNumber(1), token="t")
    event = run(lease._write(WriteLease(op=1, expected=None, lease=wanted)))
    assert isinstance(event, LeaseFailed if is_certain else LeaseInDoubt)


class RandomUpstream:
    """Refuse, run, lose, repeat and delay calls at random, near their deadlines."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._last_refusal: dict[asyncio.StreamWriter, bytes] = {}

    async def __call__(
        self,
        upstream: UpstreamStandin,
        request: RawRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        random = self._random
        writer.write(self._last_refusal.pop(writer, b""))
        await asyncio.sleep(random.choice((0.0, 0.0, 0.0, random.uniform(0.0, 0.06))))
        action = random.random()
        if action < REFUSED_FRACTION:
            self._refuse(request, writer)
        elif action < REFUSED_FRACTION + LOST_FRACTION:
            await lose_answer(upstream, request, writer)
        else:
            await answer_normally(upstream, request, writer)

    def _refuse(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        random = self._random
        names = {"Request_Id": request.headers["request-id"]}
        if random.random() < UNNAMED_FRACTION:
            names = {}
        status = random.choice((400, 421, 429, 503, 200, 204, 500))
        body = b"" if status == 204 else b"refused"
        refusal = render_response(status, body, Not_Run="1", **names)
        if random.random() < CUT_FRACTION:
            writer.write(refusal[: -random.randint(1, 10)])
            writer.close()
            return
        writer.write(refusal)
        if random.random() < REPEATED_FRACTION:
            self._last_refusal[writer] = refusal


async def call_at_random(
    fleet: GatewayFleet, random: Random, name: str
) -> tuple[str, int]:
    """Send a call with a short deadline; return its name and status, 0 if cut off."""
    caller = fleet.make_caller()
    path = random.choice(PATHS)
    deadline_ms = str(random.choice((1, 5, 20, 40, 60, 200)))
    body = b"b" * random.choice((0, 1, 60_000))
    sending = caller.call(path, body=body, Request_Id=name, Deadline_Ms=deadline_ms)
    leaves_s = random.choice((None, None, None, random.uniform(0.0, 0.06)))
    try:
        async with asyncio.timeout(leaves_s):
            answer = await sending
    except TimeoutError:
        caller.close()
        return name, 0
    except (ConnectionError, asyncio.IncompleteReadError):
        return name, 0
    return name, answer.status


@pytest.mark.usefixtures("kept_connections")
@pytest.mark.parametrize("seed", range(3))
def test_calls_run_once_beside_deadlines_cancels_and_refusals(
    fleet: GatewayFleet, run: Run, seed: int
) -> None:
    # A call ran twice, or ran and was refused, if several things happened in one turn
    # of the event loop.
    random = Random(seed)
    for upstream in (*fleet.plain, *fleet.engines):
        upstream.script = RandomUpstream(random)
        upstream.arrivals.clear()

    async def play() -> dict[str, int]:
        statuses: dict[str, int] = {}
        for batch in range(BATCHES):
            names = [f"f{batch}-{n}" for n in range(BATCH_CALLS)]
            calls = [call_at_random(fleet, random, name) for name in names]
            statuses |= dict(await asyncio.gather(*calls))
        # What was refused may still run.
        await asyncio.sleep(0.5)
        return statuses

    statuses = run(play())
    runs = Counter(name for _, name in fleet.list_runs())
    arrived = set(fleet.list_arrivals())
    assert set(runs.values()) == {1}
    refused = {name for name, status in statuses.items() if status in REFUSALS}
    assert not refused & set(runs)
    # The request of a call that is cut off at its deadline may have been sent in part.
    failed = {name for name, status in statuses.items() if status == 502}
    assert failed <= arrived


def test_unsent_attempt_leaves_no_repeat_reserved(
    large_fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The retry of an attempt that was not sent takes no repeat, so one that had been
    # reserved for it made the next silent attempt count as assured of its retry.
    fleet = large_fleet
    fleet.store.put("config", "main", make_config(2, routes=[MANY_ATTEMPTS_ROUTE]))
    decide = RetryDecider.decide
    left: list[bool] = []

    def record_left(self: RetryDecider, context: CallContext) -> Explanation:
        decision = decide(self, context)
        left.append(context.reserved_retry is not None)
        if len(left) == 1:
            # The first attempt was lost; the connection of the second one stays shut.
            delay_opening(monkeypatch, 0, 60.0)
        return decision

    async def call() -> int:
        await fleet.wait_for(lambda: fleet.state.routes.find("calls.example", "/many/"))
        monkeypatch.setattr(RetryDecider, "decide", record_left)
        for upstream in fleet.plain:
            upstream.script = lose_answer
        return (await fleet.make_caller().call("/many/x", Deadline_Ms="600")).status

    assert run(call()) in (502, 504)
    assert len(left) > 1
    assert not any(left)


@pytest.mark.usefixtures("kept_connections")
def test_answer_to_a_call_is_not_taken_for_one_to_an_order(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The repeated refusal of a call counted as the answer to an order that the engine
    # had taken.
    engine = fleet.engines[0]
    refusal = render_response(503, Not_Run="1", Request_Id="q1")
    serve_one = engine._serve_one

    async def repeat_refusal(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(refusal)
        if request.path == "/-/order":
            await serve_one(request, writer)

    monkeypatch.setattr(engine, "_serve_one", repeat_refusal)
    exchanger = fleet.gateway._exchanger
    (target,) = [
        item for item in fleet.state.members.list_all() if item.upstream == engine.name
    ]
    order = HttpRequest(
        method=b"POST", target=b"/-/order", headers=[], body=b'{"op": "stage"}'
    )

    async def play() -> list[int]:
        connections = engine.connection_count
        call = HttpRequest(method=b"POST", target=b"/once/x", headers=[])
        async with exchanger.open(
            target,
            call,
            RequestId("q1"),
            fresh=True,
            used_connections=set(),
            record=AttemptRecord(),
        ) as opened:
            await opened.connection.read_body()
        answer = await exchanger.call(target, order)
        assert engine.connection_count == connections + 1
        return [opened.answer.status, answer.status]

    assert run(play()) == [503, 202]
    assert engine.accepted_orders == 1
