"""Opening and accepting of connections, with their handshake."""

import os
from collections.abc import Callable
from typing import Final, TypeVar

from result import Err
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from bramleyport.core import Revision, StepError
from bramleyport.telemetry import events, log_event
from bramleyport.transport._connection import (
    Connection,
    Handler,
    Identity,
    WebSocket,
    refuse_handshake,
)
from bramleyport.transport._running_timeout import limit_running_time
from bramleyport.wire import (
    MAX_FRAME_BYTES,
    NONCE_BYTES,
    PROTOCOL_MAX,
    PROTOCOL_MIN,
    Hello,
    Message,
    Proof,
    Welcome,
    choose_version,
    decode,
    encode,
    match_proof,
    sign_client,
    sign_server,
)

HANDSHAKE_TIMEOUT_S: Final = 3.0
# Handshake messages take about 200 bytes. The limit bounds the memory that a peer can
# use before it is authenticated.
MAX_HANDSHAKE_BYTES: Final = 4096

M = TypeVar("M", bound=Message)
OnConnected = Callable[[Connection], None]
ReadRevision = Callable[[], Revision]


async def open_connection(
    uri: str, identity: Identity, read_revision: ReadRevision
) -> Connection:
    """Connect to a peer and authenticate both sides."""
    try:
        async with limit_running_time(HANDSHAKE_TIMEOUT_S):
            socket = await connect(
                _make_tls_uri(uri) if identity.tls else uri,
                ssl=identity.tls.client if identity.tls else None,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                proxy=None,
                close_timeout=1,
            )
            try:
                return await _start_handshake(socket, uri, identity, read_revision)
            except BaseException:
                await socket.close()
                raise
    except (OSError, TimeoutError, WebSocketException) as error:
        raise StepError("connect", uri, repr(error)) from error


async def _start_handshake(
    socket: WebSocket, uri: str, identity: Identity, read_revision: ReadRevision
) -> Connection:
    hello = Hello(
        process=identity.process,
        zone=identity.zone,
        region=identity.region,
        version_min=PROTOCOL_MIN,
        version_max=PROTOCOL_MAX,
        nonce=os.urandom(NONCE_BYTES),
        incarnation=identity.incarnation,
    )
    await socket.send(encode(hello))
    welcome = await _receive(socket, uri, Welcome)
    expected = sign_server(identity.secret, hello, welcome.nonce)
    if not match_proof(expected, welcome.proof):
        raise refuse_handshake("welcome", uri, "the server's proof does not match")
    if not PROTOCOL_MIN <= welcome.version <= PROTOCOL_MAX:
        raise refuse_handshake(
            "welcome", uri, f"version {welcome.version} was not offered"
        )
    await socket.send(encode(Proof(proof=sign_client(identity.secret, hello, welcome))))
    log_event(events.CONNECTION_OPENED, peer=welcome.process)
    return Connection(
        socket,
        welcome.process,
        identity.heartbeats,
        read_revision,
        welcome.incarnation,
        welcome.version,
    )


def _make_tls_uri(uri: str) -> str:
    return "wss://" + uri.removeprefix("ws://")


async def listen(
    host: str,
    port: int,
    identity: Identity,
    read_revision: ReadRevision,
    on_connected: OnConnected,
    handler: Handler,
    on_closed: OnConnected | None = None,
) -> Server:
    """Accept connections from peers until the returned server is closed.

    Raise StepError if the port can't be used.
    """

    async def accept(socket: ServerConnection) -> None:
        try:
            async with limit_running_time(HANDSHAKE_TIMEOUT_S):
                connection = await _answer_handshake(socket, identity, read_revision)
        except TimeoutError:
            refuse_handshake("handshake", str(socket.remote_address), "timed out")
            return
        except (StepError, WebSocketException):
            return
        on_connected(connection)
        try:
            await connection.run(handler)
        finally:
            if on_closed is not None:
                on_closed(connection)

    try:
        return await serve(
            accept,
            host,
            port,
            ssl=identity.tls.server if identity.tls else None,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=None,
            close_timeout=1,
        )
    except OSError as error:
        reason = error.strerror or repr(error)
        raise StepError("listen", f"{host}:{port}", reason) from error


async def _answer_handshake(
    socket: ServerConnection, identity: Identity, read_revision: ReadRevision
) -> Connection:
    address = str(socket.remote_address)
    hello = await _receive(socket, address, Hello)
    version = choose_version(hello)
    if isinstance(version, Err):
        raise refuse_handshake("hello", address, version.err_value)
    nonce = os.urandom(NONCE_BYTES)
    welcome = Welcome(
        process=identity.process,
        zone=identity.zone,
        region=identity.region,
        version=version.ok_value,
        nonce=nonce,
        proof=sign_server(identity.secret, hello, nonce),
        incarnation=identity.incarnation,
    )
    await socket.send(encode(welcome))
    proof = await _receive(socket, address, Proof)
    if not match_proof(sign_client(identity.secret, hello, welcome), proof.proof):
        raise refuse_handshake("proof", address, "the client's proof does not match")
    log_event(events.CONNECTION_OPENED, peer=hello.process)
    return Connection(
        socket,
        hello.process,
        identity.heartbeats,
        read_revision,
        hello.incarnation,
        version.ok_value,
    )


async def _receive(socket: WebSocket, peer: str, kind: type[M]) -> M:
    data = await socket.recv()
    if len(data) > MAX_HANDSHAKE_BYTES:
        raise refuse_handshake(
            "handshake", peer, f"got {len(data)} bytes before the proof"
        )
    result = decode(data if isinstance(data, bytes) else data.encode())
    if isinstance(result, Err):
        raise refuse_handshake("handshake", peer, result.err_value)
    received = result.ok_value
    if not isinstance(received, kind):
        raise refuse_handshake(
            "handshake", peer, f"expected {kind.tag}, got {received.tag}"
        )
    return received
