"""Requests of callers, and the limits on them."""

from dataclasses import dataclass

from bramleyport.http1._messages import Headers


class CallerDisconnectedError(ConnectionError):
    """Report that the caller closed its connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Describe the limits on the size and time of callers' requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Describe one complete request of a caller."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # When its first byte was read, and when it was complete.
    began_s: float
    received_s: float
