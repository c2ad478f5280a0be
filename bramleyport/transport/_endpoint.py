"""Open and accept connections between processes."""

import asyncio
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
    fail_step,
)
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

M = TypeVar("M", bound=Message)
OnConnected = Callable[[Connection], None]
ReadRevision = Callable[[], Revision]


async def open_connection(
    uri: str, identity: Identity, read_revision: ReadRevision
) -> Connection:
    """Connect to a peer and prove both sides' identity."""
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            socket = await connect(
                uri,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                proxy=None,
                close_timeout=1,
            )
            try:
                return await _greet(socket, uri, identity, read_revision)
            except BaseException:
                await socket.close()
                raise
    except (OSError, TimeoutError, WebSocketException) as error:
        raise StepError("connect", uri, repr(error)) from error


async def _greet(
    socket: WebSocket, uri: str, identity: Identity, read_revision: ReadRevision
) -> Connection:
    hello = Hello(
        process=identity.process,
        zone=identity.zone,
        region=identity.region,
        version_min=PROTOCOL_MIN,
        version_max=PROTOCOL_MAX,
        nonce=os.urandom(NONCE_BYTES),
    )
    await socket.send(encode(hello))
    welcome = await _expect(socket, uri, Welcome)
    expected = sign_server(identity.secret, hello, welcome.nonce)
    if not match_proof(expected, welcome.proof):
        raise fail_step("welcome", uri, "the server's proof does not match")
    await socket.send(encode(Proof(proof=sign_client(identity.secret, hello, welcome))))
    log_event(events.CONNECTION_OPENED, peer=welcome.process)
    return Connection(socket, welcome.process, identity.heartbeats, read_revision)


async def listen(
    host: str,
    port: int,
    identity: Identity,
    read_revision: ReadRevision,
    on_connected: OnConnected,
    handler: Handler,
) -> Server:
    """Accept connections from peers until the server is closed."""

    async def accept(socket: ServerConnection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                connection = await _answer(socket, identity, read_revision)
        except (StepError, TimeoutError, WebSocketException):
            return
        on_connected(connection)
        await connection.run(handler)

    return await serve(
        accept,
        host,
        port,
        max_size=MAX_FRAME_BYTES,
        compression=None,
        ping_interval=None,
        close_timeout=1,
    )


async def _answer(
    socket: ServerConnection, identity: Identity, read_revision: ReadRevision
) -> Connection:
    address = str(socket.remote_address)
    hello = await _expect(socket, address, Hello)
    version = choose_version(hello)
    if isinstance(version, Err):
        raise fail_step("hello", address, version.err_value)
    nonce = os.urandom(NONCE_BYTES)
    welcome = Welcome(
        process=identity.process,
        zone=identity.zone,
        region=identity.region,
        version=version.ok_value,
        nonce=nonce,
        proof=sign_server(identity.secret, hello, nonce),
    )
    await socket.send(encode(welcome))
    proof = await _expect(socket, address, Proof)
    if not match_proof(sign_client(identity.secret, hello, welcome), proof.proof):
        raise fail_step("proof", address, "the client's proof does not match")
    log_event(events.CONNECTION_OPENED, peer=hello.process)
    return Connection(socket, hello.process, identity.heartbeats, read_revision)


async def _expect(socket: WebSocket, peer: str, kind: type[M]) -> M:
    data = await socket.recv()
    result = decode(data if isinstance(data, bytes) else data.encode())
    if isinstance(result, Err):
        raise fail_step("handshake", peer, result.err_value)
    received = result.ok_value
    if not isinstance(received, kind):
        raise fail_step("handshake", peer, f"expected {kind.tag}, got {received.tag}")
    return received
