"""Represent upstreams that answer, refuse, run and fail in an order set by a seed."""

from collections import deque
from random import Random
from typing import Final

from tests.order_search._agenda import Action
from tests.order_search._network import MemoryTransport, Network
from tests.order_search._observations import CallId, CallRecord, SentAttempt
from tests.order_search._plans import CALLS, OWN_REQUESTS, PREFILLS
from tests.order_search._profiles import Profile
from tests.platform_standin import RawRequest

LINK_DELAYS_S: Final = (0.01, 0.05, 0.4, 1.0, 2.0)
FIRST_BYTES: Final = 40
# Fraction of the connections whose late bytes are lost once the connection has ended.
LOST_AFTER_END_FRACTION: Final = 0.3


class Upstream:
    """Represent one upstream, which runs what it is sent or says that it does not."""

    def __init__(
        self,
        name: str,
        address: str,
        stage: str,
        network: Network,
        calls: dict[tuple[CallId, int], CallRecord],
    ) -> None:
        self.name = name
        self.address = address
        self.stage = stage
        self.network = network
        self._calls = calls
        self._connections: list[UpstreamConnectionEnd] = []

    def accept(self, transport: MemoryTransport) -> "UpstreamConnectionEnd":
        connection = UpstreamConnectionEnd(self, transport)
        self._connections.append(connection)
        return connection

    def crash(self) -> None:
        """End all connections, and refuse new ones."""
        self.network.note(f"{self.name} crashes")
        del self.network.listeners[self.address]
        for connection in self._connections:
            connection.end(reset=True, drop=True)

    def find_call(self, request: RawRequest) -> CallRecord | None:
        """Return the call of a request; None for a request of the gateway itself."""
        call = CallId(request.headers.get("request-id", ""))
        return self._calls.get((call, int(request.headers.get("x-try", "0"))))


class UpstreamConnectionEnd:
    """Represent the upstream's end of one connection."""

    def __init__(self, upstream: Upstream, transport: MemoryTransport) -> None:
        self.upstream = upstream
        self.network = upstream.network
        self.random: Random = upstream.network.random
        # Copies of earlier refusals that are sent before or after the next answer.
        self.before_next: list[bytes] = []
        self.after_next: list[bytes] = []
        self._transport = transport
        self._attempts: deque[SentAttempt | None] = deque()
        # Bytes that have left the gateway and are still to arrive, in order.
        self._held: deque[bytes] = deque()
        self._received = b""
        self._ended = False
        links = self.network.profile.links
        (self._link,) = self.random.choices(list(links), list(links.values()))
        self._delay_s = self.random.choice(LINK_DELAYS_S)
        self._loses_after_end = self.random.random() < LOST_AFTER_END_FRACTION

    def opened(self) -> None:
        self.network.note(f"{self.upstream.name} has a connection, link {self._link}")

    def wrote(self, data: bytes) -> None:
        request = parse_request(data)
        assert request is not None, "a request is written at once"
        call = self.upstream.find_call(request)
        if call is None or request.headers.get("stage") == "prefill":
            self._attempts.append(None)
            self.network.note(f"{request.target} is written to {self.upstream.name}")
            return
        attempt = SentAttempt(self.upstream.name, self.network.agenda.turn)
        call.attempts.append(attempt)
        self._attempts.append(attempt)
        self.network.note(f"{call.call} is written to {self.upstream.name}")

    def receive(self, data: bytes) -> None:
        if self._link == "at once":
            self._take(data)
            return
        if self._link == "first bytes" and not self._held:
            self._take(data[:FIRST_BYTES])
            data = data[FIRST_BYTES:]
        self._held.append(data)
        if self._link != "never":
            self.network.add(self._delay_s, lambda: self._take(self._held.popleft()))

    def closed(self) -> None:
        self._ended = True

    def _take(self, data: bytes) -> None:
        if self._ended and self._loses_after_end:
            return
        self._received += data
        while (request := parse_request(self._received)) is not None:
            self._received = self._received[measure_request(self._received) :]
            self._serve(request)

    def _serve(self, request: RawRequest) -> None:
        exchange = UpstreamExchange(self, request, self._attempts.popleft())
        if exchange.call is None:
            plans, weights = OWN_REQUESTS, self.network.profile.own_plans
        elif request.headers.get("stage") == "prefill":
            plans, weights = PREFILLS, {}
        else:
            plans, weights = CALLS, self.network.profile.plans
        name = plans.choose(self.random, weights)
        subject = exchange.call.call if exchange.call else request.target
        self.network.note(f"{self.upstream.name} has all of {subject}: {name}")
        plans.start(name, exchange)

    def write(self, data: bytes, on_read: Action | None = None) -> None:
        """Send bytes to the gateway."""
        self._transport.deliver(data, on_read)

    def end(self, *, reset: bool, drop: bool = False) -> None:
        """End the connection."""
        self._ended = True
        self._transport.deliver_end(reset=reset, drop=drop)


class UpstreamExchange:
    """Represent a request that an upstream has received, and what it makes of it."""

    def __init__(
        self,
        connection: UpstreamConnectionEnd,
        request: RawRequest,
        attempt: SentAttempt | None,
    ) -> None:
        self.connection = connection
        self.upstream = connection.upstream
        self.random = connection.random
        self.request = request
        self.call = self.upstream.find_call(request)
        self._attempt = attempt
        self._network = connection.network
        self._before, connection.before_next = connection.before_next, []
        self._after, connection.after_next = connection.after_next, []

    @property
    def profile(self) -> Profile:
        return self._network.profile

    @property
    def is_stream(self) -> bool:
        return bool(self.upstream.stage)

    @property
    def remaining_s(self) -> float:
        """Return the time to the deadline of the call."""
        return self.call.deadline_s - self._network.now_s if self.call else 0.0

    def run(self) -> None:
        """Begin to run the call."""
        assert self.call is not None
        self.call.runs.append(self.upstream.name)
        self.note(f"runs {self.call.call}")

    def after(self, delay_s: float, action: Action) -> None:
        """Do something after a delay, whatever becomes of the connection."""
        self._network.add(delay_s, action)

    def write(self, answer: bytes) -> None:
        """Write an answer, with the repeated refusals of earlier requests around it."""
        self.connection.write(b"".join((*self._before, answer, *self._after)))
        self._before, self._after = [], []

    def refuse(self, refusal: bytes, *, named: bool) -> None:
        """Write a refusal."""
        self.connection.write(
            b"".join((*self._before, refusal, *self._after)),
            self._record_refusal if named else None,
        )
        self._before, self._after = [], []

    def _record_refusal(self) -> None:
        if self._attempt is not None and self._attempt.refused_turn is None:
            self._attempt.refused_turn = self._network.agenda.turn
        self.note("the gateway reads the refusal")

    def note(self, text: str) -> None:
        self._network.note(f"{self.upstream.name}: {text}")


def parse_request(data: bytes) -> RawRequest | None:
    """Return the request at the start of the data, or None if it is not whole."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    if len(rest) < length:
        return None
    return RawRequest(method, target, headers, rest[:length])


def measure_request(data: bytes) -> int:
    """Return the length of the whole request at the start of the data."""
    request = parse_request(data)
    assert request is not None
    return data.index(b"\r\n\r\n") + 4 + len(request.body)
