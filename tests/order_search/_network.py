"""Connect a gateway with callers and upstreams in memory, in place of sockets."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from twisted.internet import error
from twisted.internet.base import BaseConnector
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure

from tests.order_search._agenda import Action, Agenda
from tests.order_search._profiles import Profile


class Peer(Protocol):
    """Define what the far end of a connection of the gateway sees."""

    def opened(self) -> None:
        """Note that the gateway has the connection."""

    def wrote(self, data: bytes) -> None:
        """Note what the gateway hands to its transport, at that moment."""

    def receive(self, data: bytes) -> None:
        """Take bytes that have left the gateway."""

    def closed(self) -> None:
        """Note that the gateway has closed the connection, or ended."""


class Listener(Protocol):
    """Define what accepts the connections of the gateway at one address."""

    def accept(self, transport: "MemoryTransport") -> Peer:
        """Return the far end of a new connection."""


class _Socket:
    """Represent a socket whose peer acknowledges everything at once."""

    def setsockopt(self, *options: int) -> None:
        """Ignore an option, since no kernel is involved."""

    def getsockopt(self, *options: int) -> int:
        return 0

    def fileno(self) -> int:
        raise OSError("no kernel is involved")


@dataclass(slots=True)
class _Arrival:
    data: bytes
    on_read: Action | None


class MemoryTransport:
    """Represent the gateway's end of a connection, as Twisted's TCP transports are.

    Bytes leave and arrive in later turns of the loop, with one read in each. Nothing is
    read after a close or an abort, and the protocol hears of its own abort one turn
    later.
    """

    def __init__(self, network: "Network") -> None:
        self.network = network
        self.protocol: Any = None
        self.peer: Peer | None = None
        self.connected = False
        self.ended = False
        self._reading = True
        self._closing = False
        self._aborting = False
        # Whether the gateway's side is to end after what was written, and has ended.
        self._write_ending = False
        self._write_ended = False
        self._unsent = bytearray()
        # Twisted's transports send from an offset, and queue more behind the buffer.
        self.offset = 0
        self._tempDataLen = 0
        self._arrivals: deque[_Arrival] = deque()
        self._end: Exception | None = None

    @property
    def dataBuffer(self) -> bytes:  # noqa: N802
        """Return what was written and has not left yet, as Twisted's transports do."""
        return bytes(self._unsent)

    def getHandle(self) -> _Socket:  # noqa: N802
        return _Socket()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Never pause the producer, since the far end reads everything at once."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Do nothing, as no producer is paused."""

    def write(self, data: bytes) -> None:
        if not self.connected or self._write_ended:
            return
        assert self.peer is not None
        self.peer.wrote(data)
        self._unsent += data
        self.network.add(0.0, self._flush)

    def loseConnection(self) -> None:  # noqa: N802
        if self.connected and self._write_ended:
            self.lose(error.ConnectionDone())
        elif self.connected and not self._closing:
            self._closing = True
            self._reading = False
            self.network.add(0.0, self._flush)

    def loseWriteConnection(self) -> None:  # noqa: N802
        self._write_ending = True
        self.network.add(0.0, self._flush)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self.lose(reason.value)

    def abortConnection(self) -> None:  # noqa: N802
        if self.ended or self._aborting:
            return
        self._aborting = True
        loop = self.network.agenda.loop
        loop.call_later(0, self.lose, error.ConnectionAborted())

    def pauseProducing(self) -> None:  # noqa: N802
        self._reading = False

    def resumeProducing(self) -> None:  # noqa: N802
        if self.connected and not self._closing:
            self._reading = True
            self.network.add(0.0, self.doRead)

    def doRead(self) -> None:  # noqa: N802
        """Read what has arrived; the end of the connection is read in a later turn."""
        if not self.connected or not self._reading or self._aborting:
            return
        if not self._arrivals:
            if self._end is not None:
                self._read_end(self._end)
            return
        arrivals = list(self._arrivals)
        self._arrivals.clear()
        self.network.add(0.0, self.doRead)
        for arrival in arrivals:
            if arrival.on_read is not None:
                arrival.on_read()
        self.protocol.dataReceived(b"".join(arrival.data for arrival in arrivals))

    def _read_end(self, reason: Exception) -> None:
        half_closeable = IHalfCloseableProtocol(self.protocol, None)
        if isinstance(reason, error.ConnectionDone) and half_closeable is not None:
            half_closeable.readConnectionLost()
        else:
            self.lose(reason)

    def deliver(self, data: bytes, on_read: Action | None = None) -> None:
        """Take bytes from the far end."""
        if not self.ended and self._end is None:
            self._arrivals.append(_Arrival(data, on_read))
            self.network.add(0.0, self.doRead)

    def deliver_end(self, *, reset: bool = False, drop: bool = False) -> None:
        """Take the end of the connection; a reset may drop what was not read."""
        if self.ended or self._end is not None:
            return
        if drop:
            self._arrivals.clear()
        self._end = error.ConnectionLost() if reset else error.ConnectionDone()
        self.network.add(0.0, self.doRead)

    def lose(self, reason: Exception) -> None:
        """End the connection and tell the protocol."""
        if self.ended:
            return
        was_connected = self.connected
        self.end()
        if was_connected:
            self.protocol.connectionLost(Failure(reason))

    def end(self) -> None:
        """End the connection without telling the protocol."""
        if self.ended:
            return
        self.ended = True
        self.connected = False
        if self.peer is not None:
            self.peer.closed()

    def start(self, protocol: Any, peer: Peer) -> None:
        """Give an open connection to its protocol."""
        self.protocol = protocol
        self.peer = peer
        self.connected = True
        peer.opened()
        protocol.makeConnection(self)
        self.network.add(0.0, self.doRead)

    def _flush(self) -> None:
        if self.ended or self._aborting:
            return
        assert self.peer is not None
        data = bytes(self._unsent)
        self._unsent.clear()
        if data:
            self.peer.receive(data)
        if self._closing:
            self.lose(error.ConnectionDone())
        elif self._write_ending and not self._write_ended:
            self._write_ended = True
            half_closeable = IHalfCloseableProtocol(self.protocol, None)
            if half_closeable is not None:
                half_closeable.writeConnectionLost()


class ClientTransport(MemoryTransport):
    """Represent the gateway's end of a connection that it opens itself."""

    def __init__(self, network: "Network", connector: BaseConnector) -> None:
        super().__init__(network)
        self._connector: BaseConnector | None = connector

    def failIfNotConnected(self, reason: Exception) -> None:  # noqa: N802
        if self.connected or self.ended or self._connector is None:
            return
        self.ended = True
        connector, self._connector = self._connector, None
        connector.connectionFailed(Failure(reason))

    def open(self, listener: Listener) -> None:
        """Complete the connection, unless the gateway has given it up."""
        if self.ended or self._connector is None:
            return
        protocol = self._connector.buildProtocol(None)  # type: ignore[arg-type]
        self.start(protocol, listener.accept(self))

    def lose(self, reason: Exception) -> None:
        if self.ended or self._connector is None:
            return
        super().lose(reason)
        self._connector.connectionLost(Failure(reason))


class _Connector(BaseConnector):
    network: "Network"

    def _makeTransport(self) -> Any:  # noqa: N802
        return ClientTransport(self.network, self)


class _DelayedCall:
    def __init__(self, handle: asyncio.TimerHandle) -> None:
        self._handle = handle

    def cancel(self) -> None:
        self._handle.cancel()


class MemoryReactor:
    """Represent the part of Twisted's reactor that the gateway's connections use."""

    def __init__(self, network: "Network") -> None:
        self._network = network

    def callLater(  # noqa: N802
        self, delay_s: float, action: Callable[..., Any], *arguments: Any
    ) -> _DelayedCall:
        loop = self._network.agenda.loop
        return _DelayedCall(loop.call_later(delay_s, action, *arguments))

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float,
        bindAddress: Any = None,  # noqa: N803
    ) -> BaseConnector:
        connector = _Connector(factory, timeout, self)  # type: ignore[arg-type]
        connector.network = self._network
        connector.connect()
        transport = connector.transport
        assert isinstance(transport, ClientTransport)
        self._network.connect(f"{host}:{port}", transport)
        return connector


class Network:
    """Represent all connections of one gateway process."""

    def __init__(self, random: Random, agenda: Agenda, profile: Profile) -> None:
        self.random = random
        self.agenda = agenda
        self.profile = profile
        self.listeners: dict[str, Listener] = {}
        self.reactor = MemoryReactor(self)
        self.trace: list[str] = []
        self.alive = True
        self._transports: list[MemoryTransport] = []

    @property
    def now_s(self) -> float:
        return self.agenda.now_s

    def add(self, delay_s: float, action: Action) -> None:
        """Let something happen after a delay."""
        self.agenda.add(delay_s, action)

    def note(self, text: str) -> None:
        """Add a line to the trace of the run."""
        self.trace.append(f"{self.now_s:8.4f} turn {self.agenda.turn:5d}  {text}")

    def connect(self, address: str, transport: ClientTransport) -> None:
        """Decide how a connection that the gateway opens comes about."""
        self._transports.append(transport)
        if not self.alive:
            return
        listener = self.listeners.get(address)
        results = self.profile.connects
        (result,) = self.random.choices(list(results), list(results.values()))
        delay_s = self.random.choice(self.profile.connect_delays_s)
        if listener is None or result == "refuse":
            self.note(f"connect to {address} is refused after {delay_s} s")
            refusal = error.ConnectionRefusedError()
            self.add(delay_s, lambda: transport.failIfNotConnected(refusal))
            return
        if result == "silence":
            self.note(f"connect to {address} is not answered")
            return
        self.add(delay_s, lambda: transport.open(listener))
        if result == "reset":
            self.note(f"connection to {address} is reset after {delay_s} s")
            self.add(delay_s, lambda: transport.deliver_end(reset=True, drop=True))

    def accept(self, factory: Any, peer: Peer) -> MemoryTransport:
        """Give the connection of a caller to the gateway."""
        transport = MemoryTransport(self)
        self._transports.append(transport)
        transport.start(factory.buildProtocol(None), peer)
        return transport

    def end_process(self) -> None:
        """End the gateway's process: it hears and sends nothing more."""
        self.note("the process of the gateway ends")
        self.alive = False
        for transport in self._transports:
            transport.end()
