"""Represent callers, which send calls whole, in pieces or partly, or disconnect."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from tests.order_search._network import MemoryTransport, Network
from tests.order_search._observations import PROMISES, CallRecord

# How a caller sends its request, by weight.
SENDINGS: Final = {"whole": 85, "in pieces": 10, "partly": 5}
PIECE_DELAYS_S: Final = (0.0, 0.01, 0.1, 0.3)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """Describe the request of a call."""

    record: CallRecord
    at_s: float
    limit_s: float
    headers: dict[str, str]
    body: bytes = b"body"

    def render(self) -> bytes:
        """Return the bytes of the request."""
        lines = [f"POST {self.record.path} HTTP/1.1", "Host: calls.example"]
        lines += [f"Request-Id: {self.record.call}", f"X-Try: {self.record.number}"]
        lines += [f"Deadline-Ms: {round(self.limit_s * 1000)}"]
        lines += [f"Content-Length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class Caller:
    """Represent a caller with one call on one connection.

    It is told when its call is refused, since it may send the call again then.
    """

    def __init__(
        self,
        network: Network,
        factory: Any,
        request: CallRequest,
        on_refused: Callable[[CallRequest, float], None],
    ) -> None:
        self._network = network
        self._factory = factory
        self._request = request
        self._on_refused = on_refused
        self._random: Random = network.random
        self._transport: MemoryTransport | None = None
        self._written = b""
        self._ended = False

    def start(self) -> None:
        """Connect and send the request when its time has come."""
        self._network.add(self._request.at_s, self._connect)

    def _connect(self) -> None:
        if not self._network.alive:
            return
        self._transport = self._network.accept(self._factory, self)
        data = self._request.render()
        (sending,) = self._random.choices(list(SENDINGS), list(SENDINGS.values()))
        record = self._request.record
        self._network.note(f"caller sends {record.call} {record.path} {sending}")
        if sending == "whole":
            self._transport.deliver(data)
        else:
            cut = self._random.randrange(1, len(data))
            self._transport.deliver(data[:cut])
            if sending == "in pieces":
                delay_s = self._random.choice(PIECE_DELAYS_S)
                self._network.add(delay_s, lambda: self._send(data[cut:]))
        if self._random.random() < self._network.profile.disconnecting_fraction:
            hundredths = round(self._request.limit_s * 100)
            delay_s = self._random.randint(0, hundredths) / 100
            self._network.add(delay_s, self._disconnect)

    def _send(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.deliver(data)

    def _disconnect(self) -> None:
        if self._ended:
            return
        assert self._transport is not None
        self._network.note(f"the caller of {self._request.record.call} disconnects")
        self._transport.deliver_end(reset=self._random.random() < 0.5)

    def opened(self) -> None:
        """Do nothing, since the caller opened the connection."""

    def wrote(self, data: bytes) -> None:
        self._written += data
        record = self._request.record
        if record.answered_turn is None and (status := read_status(self._written)):
            record.answered_turn = self._network.agenda.turn
            self._network.note(f"the gateway answers {record.call} with {status}")

    def receive(self, data: bytes) -> None:
        # What the process had written may be lost when its end comes first.
        record = self._request.record
        known = record.status
        record.status = read_status(self._written)
        record.is_stamped = b"\r\nserver-stamp:" in self._written.lower()
        if known is None and record.status in PROMISES:
            self._on_refused(self._request, read_retry_after(self._written))

    def closed(self) -> None:
        self._ended = True


def read_retry_after(answer: bytes) -> float:
    """Return how long a refused caller is asked to wait; 0 if it is not asked."""
    found = re.search(rb"\r\nretry-after: ([0-9.]+)\r\n", answer.lower())
    return float(found.group(1)) if found else 0.0


def read_status(answer: bytes) -> int | None:
    """Return the status of the answer, if its status line is there."""
    line, separator, _ = answer.partition(b"\r\n")
    if not separator:
        return None
    status = int(line.split(b" ")[1])
    assert status >= 200, "no interim answer was asked for"
    return status
