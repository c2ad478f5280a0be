"""Test connections between processes with faulty peers over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import cbor2
import pytest
from loguru import logger
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server
from websockets.exceptions import ConnectionClosed

from bramleyport.composition import build_identity
from bramleyport.core import ProcessId, RegionName, Revision, StepError, ZoneName
from bramleyport.links._persistent_connection import PersistentConnection
from bramleyport.settings import HeartbeatSettings, ProcessSettings, TlsSettings
from bramleyport.telemetry import events
from bramleyport.transport import (
    Connection,
    Identity,
    build_tls,
    listen,
    open_connection,
)
from bramleyport.wire import (
    MAX_FRAME_BYTES,
    PROTOCOL_MAX,
    PROTOCOL_MIN,
    Heartbeat,
    HeartbeatPolicy,
    Hello,
    Message,
    Proof,
    Welcome,
    decode,
    encode,
    sign_client,
)
from tests.relay import Relay

Run = Callable[[Coroutine[Any, Any, Any]], Any]
SECRET = b"secret"
FAST = HeartbeatPolicy(interval_s=0.05, suspect_s=0.15, timeout_s=0.6)
CERTIFICATES = Path(__file__).parent / "certificates"


def make_identity(name: str, secret: bytes = SECRET) -> Identity:
    return Identity(
        process=ProcessId(name),
        zone=ZoneName("z"),
        region=RegionName("r"),
        secret=secret,
        heartbeats=FAST,
        incarnation=7,
    )


def no_revision() -> Revision:
    return Revision(0)


class Endpoint:
    """Accept connections and record them and their messages."""

    def __init__(self) -> None:
        self.connections: list[Connection] = []
        self.closed: list[Connection] = []
        self.received: list[Message] = []
        self.server: Server | None = None

    async def start(self, identity: Identity) -> None:
        self.server = await listen(
            "127.0.0.1",
            0,
            identity,
            no_revision,
            self.connections.append,
            lambda _, message: self.received.append(message),
            self.closed.append,
        )

    @property
    def uri(self) -> str:
        assert self.server is not None
        port = next(iter(self.server.sockets)).getsockname()[1]
        return f"ws://127.0.0.1:{port}"


@asynccontextmanager
async def serving(identity: Identity | None = None) -> Any:
    endpoint = Endpoint()
    await endpoint.start(identity or make_identity("server"))
    try:
        yield endpoint
    finally:
        assert endpoint.server is not None
        endpoint.server.close()
        await endpoint.server.wait_closed()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def handshake(
    socket: ClientConnection, low: int = 1, high: int = 1, secret: bytes = SECRET
) -> Welcome:
    hello = Hello(
        process=ProcessId("raw"),
        zone=ZoneName("z"),
        region=RegionName("r"),
        version_min=low,
        version_max=high,
        nonce=b"n" * 16,
    )
    await socket.send(encode(hello))
    welcome = decode(bytes(await socket.recv())).unwrap()  # type: ignore[arg-type]
    assert isinstance(welcome, Welcome)
    await socket.send(encode(Proof(proof=sign_client(secret, hello, welcome))))
    return welcome


async def send_first(socket: ClientConnection, data: bytes) -> None:
    await socket.send(data)


async def send_after_handshake(socket: ClientConnection, data: bytes) -> None:
    await handshake(socket)
    await socket.send(data)


DEEP = b"\x81" * 5000 + b"\x80"
FAULTS: dict[str, Callable[[ClientConnection], Awaitable[Any]]] = {
    "garbage hello": lambda s: send_first(s, b"\xff\x00garbage"),
    "text hello": lambda s: s.send("hello"),
    "hello of another kind": lambda s: send_first(s, encode(Heartbeat(sequence=1))),
    "large hello": lambda s: send_first(s, cbor2.dumps(["hello", {"x": b"0" * 9000}])),
    "wrong secret": lambda s: handshake(s, secret=b"other"),
    "newer versions only": lambda s: handshake(s, PROTOCOL_MAX + 1, PROTOCOL_MAX + 2),
    "older versions only": lambda s: handshake(s, 0, 0),
    "unknown tag": lambda s: send_after_handshake(s, cbor2.dumps(["news", {}])),
    "garbage": lambda s: send_after_handshake(s, b"\xff\x00garbage"),
    "deep nesting": lambda s: send_after_handshake(s, DEEP),
    "claimed length": lambda s: send_after_handshake(s, b"\x9b" + b"\x7f" * 8),
    "oversize": lambda s: send_after_handshake(s, b"0" * (MAX_FRAME_BYTES + 1)),
    "silent before hello": lambda s: asyncio.sleep(0),
    "silent after handshake": handshake,
}
LOGGED = {
    events.CONNECTION_REFUSED.number,
    events.CONNECTION_TIMED_OUT.number,
    events.MESSAGE_MALFORMED.number,
}


@pytest.fixture
def refusals() -> Iterator[list[dict[str, Any]]]:
    """Collect the fields of the log events that end a connection."""
    found: list[dict[str, Any]] = []

    def collect(message: Any) -> None:
        extra = message.record["extra"]
        if extra.get("event") in LOGGED:
            found.append(extra["fields"])

    sink = logger.add(collect)
    yield found
    logger.remove(sink)


@pytest.mark.parametrize("case", FAULTS)
def test_faulty_peer_loses_its_own_connection_only(
    case: str, run: Run, refusals: list[dict[str, Any]]
) -> None:
    async def check() -> None:
        async with serving() as endpoint:
            good = await open_connection(
                endpoint.uri, make_identity("good"), no_revision
            )
            running = asyncio.ensure_future(good.run(lambda *_: None))
            socket = await connect(
                endpoint.uri, compression=None, max_size=None, ping_interval=None
            )
            try:
                await FAULTS[case](socket)
                while True:
                    async with asyncio.timeout(20):
                        await socket.recv()
            except ConnectionClosed:
                pass
            good.post(Heartbeat(sequence=99))
            await wait_until(lambda: Heartbeat(sequence=99) in endpoint.received)
            assert not good.closed.is_set()
            await good.close("done")
            await running

    run(check())
    assert len(refusals) == 1
    assert refusals[0]["step"] and refusals[0]["peer"]


def test_half_open_connection_is_replaced_before_it_is_closed(run: Run) -> None:
    """An open connection stays silent while new ones work."""

    async def check() -> None:
        async with serving() as endpoint:
            relay = Relay(int(endpoint.uri.rsplit(":", 1)[1]))
            uri = await relay.start()
            opened: list[Connection] = []
            old_was_open: list[bool] = []

            def record_opened(connection: Connection) -> None:
                if opened:
                    old_was_open.append(not opened[-1].closed.is_set())
                opened.append(connection)

            persistent = PersistentConnection(
                uri,
                ProcessId("server"),
                make_identity("client"),
                no_revision,
                record_opened,
                lambda _: None,
                lambda *_: None,
            )
            await wait_until(lambda: len(opened) == 1)
            relay.frozen.add(0)
            await wait_until(lambda: len(opened) == 2)
            assert old_was_open == [True]
            assert persistent.current is opened[1]
            await wait_until(opened[0].closed.is_set)
            assert not opened[1].closed.is_set()
            await persistent.close()
            assert relay.listener is not None
            relay.listener.close()

    run(check())


def test_connection_to_an_unexpected_process_is_closed(run: Run) -> None:
    async def check() -> None:
        async with serving() as endpoint:
            opened: list[Connection] = []
            persistent = PersistentConnection(
                endpoint.uri,
                ProcessId("somebody-else"),
                make_identity("client"),
                no_revision,
                opened.append,
                lambda _: None,
                lambda *_: None,
            )
            await wait_until(lambda: len(endpoint.closed) > 0)
            assert opened == []
            await persistent.close()

    run(check())


def test_server_without_the_secret_is_refused(run: Run) -> None:
    async def check() -> None:
        async with serving(make_identity("server", b"other")) as endpoint:
            with pytest.raises(StepError) as caught:
                await open_connection(endpoint.uri, make_identity("c"), no_revision)
            assert caught.value.step == "welcome"
            assert caught.value.peer == endpoint.uri

    run(check())


def test_older_and_newer_processes_work_side_by_side(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """During a rolling update, processes support different ranges of versions."""
    from bramleyport.transport import _endpoint

    async def check() -> None:
        async with serving() as endpoint:
            monkeypatch.setattr(_endpoint, "PROTOCOL_MAX", PROTOCOL_MAX + 1)
            newer = await open_connection(
                endpoint.uri, make_identity("newer"), no_revision
            )
            monkeypatch.setattr(_endpoint, "PROTOCOL_MAX", PROTOCOL_MIN)
            older = await open_connection(
                endpoint.uri, make_identity("older"), no_revision
            )
            monkeypatch.undo()
            tasks = [
                asyncio.ensure_future(connection.run(lambda *_: None))
                for connection in (newer, older)
            ]
            # A field that the server does not know must not end the connection.
            extra = cbor2.dumps(["heartbeat", {"sequence": 1, "added_later": True}])
            await newer._socket.send(extra)
            older.post(Heartbeat(sequence=2))
            await wait_until(lambda: Heartbeat(sequence=1) in endpoint.received)
            await wait_until(lambda: Heartbeat(sequence=2) in endpoint.received)
            assert (newer.version, older.version) == (PROTOCOL_MAX, PROTOCOL_MIN)
            assert {c.peer for c in endpoint.connections} == {"newer", "older"}
            for connection in (newer, older):
                await connection.close("done")
            await asyncio.gather(*tasks)

    run(check())


def make_tls(name: str, ca: str) -> Any:
    files = (f"{name}.pem", f"{name}.key", f"{ca}.pem")
    return build_tls(*(str(CERTIFICATES / file) for file in files))


@pytest.mark.parametrize(
    ("client", "accepted"),
    [("peer", True), ("stranger", False), (None, False)],
    ids=["same CA", "other CA", "no TLS"],
)
def test_mutual_tls_admits_certificates_of_the_ca_only(
    client: str | None, accepted: bool, run: Run
) -> None:
    async def check() -> None:
        server = replace(make_identity("server", b""), tls=make_tls("peer", "ca"))
        tls = make_tls(client, "ca") if client else None
        async with serving(server) as endpoint:
            identity = replace(make_identity("client", b""), tls=tls)
            try:
                connection = await open_connection(endpoint.uri, identity, no_revision)
            except StepError:
                assert not accepted
                return
            running = asyncio.ensure_future(connection.run(lambda *_: None))
            connection.post(Heartbeat(sequence=5))
            await wait_until(lambda: Heartbeat(sequence=5) in endpoint.received)
            assert accepted
            await connection.close("done")
            await running

    run(check())


def make_process(address: str, **values: Any) -> ProcessSettings:
    return ProcessSettings(
        process="p",
        zone="z",
        region="r",
        address=address,
        peer_port=0,
        object_api="",
        **values,
    )


def test_start_without_secret_or_tls_needs_loopback(tmp_path: Path) -> None:
    with pytest.raises(ValueError, match="not loopback"):
        build_identity(make_process("10.0.0.1"))
    secret = tmp_path / "secret"
    secret.write_bytes(b"s\n")
    files = TlsSettings(
        certificate_file=str(CERTIFICATES / "peer.pem"),
        key_file=str(CERTIFICATES / "peer.key"),
        ca_file=str(CERTIFICATES / "ca.pem"),
    )
    assert build_identity(make_process("127.0.0.1")).secret == b""
    assert build_identity(make_process("10.0.0.1", secret_file=str(secret))).secret
    assert build_identity(make_process("10.0.0.1", tls=files)).tls is not None


@pytest.mark.parametrize(
    "heartbeat_settings",
    [
        HeartbeatSettings(interval_s=0.0),
        HeartbeatSettings(missed_suspect=0.5),
        HeartbeatSettings(missed_suspect=6.0, missed_silent=3.0),
    ],
)
def test_heartbeat_settings_that_suspect_live_peers_are_refused(
    heartbeat_settings: HeartbeatSettings,
) -> None:
    with pytest.raises(ValueError, match="heartbeats need"):
        build_identity(make_process("127.0.0.1", heartbeats=heartbeat_settings))


def test_empty_secret_file_is_no_secret(tmp_path: Path) -> None:
    secret = tmp_path / "secret"
    secret.write_bytes(b"\n")
    with pytest.raises(ValueError, match="not loopback"):
        build_identity(make_process("10.0.0.1", secret_file=str(secret)))
