"""Liveness of a connection: heartbeats and time-outs."""

from dataclasses import dataclass
from typing import Final

# Any message shows that the sender is alive, but only heartbeats contain its revision.
# One is therefore sent at least this often, even while other messages are sent.
MAX_HEARTBEAT_GAP_INTERVALS: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatPolicy:
    """Describe the heartbeat interval and the time-outs of a connection."""

    interval_s: float = 1.0
    suspect_s: float = 2.5
    timeout_s: float = 6.0


@dataclass(frozen=True, slots=True)
class Received:
    """Report that a message was received."""


@dataclass(frozen=True, slots=True)
class Sent:
    """Report that a message was sent."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Report that a poll of the session is due."""


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Request a heartbeat with a sequence number."""

    sequence: int


@dataclass(frozen=True, slots=True)
class OpenReplacement:
    """Request a second connection to a peer that has become silent."""


@dataclass(frozen=True, slots=True)
class CloseUnresponsive:
    """Request that the connection to an unresponsive peer is closed."""

    silent_s: float


SessionEvent = Received | Sent | Tick
SessionAction = SendHeartbeat | OpenReplacement | CloseUnresponsive


class Session:
    """Track the liveness of one connection."""

    def __init__(self, policy: HeartbeatPolicy, now_s: float) -> None:
        self._policy = policy
        self._last_received_s = now_s
        self._last_heartbeat_s = now_s
        self._last_sent_s = now_s
        self._sequence = 0
        self._replacing = False
        self._closed = False

    @property
    def suspect(self) -> bool:
        """Return whether the peer exceeded `suspect_s` or the connection is closed."""
        return self._replacing or self._closed

    def step(self, event: SessionEvent, now_s: float) -> list[SessionAction]:
        """Process an event and return the resulting actions."""
        if isinstance(event, Received):
            self._last_received_s = now_s
            self._replacing = False
            return []
        if isinstance(event, Sent):
            self._last_sent_s = now_s
            return []
        if self._closed:
            return []
        return self._tick(now_s)

    def _tick(self, now_s: float) -> list[SessionAction]:
        actions: list[SessionAction] = []
        silent_s = now_s - self._last_received_s
        if silent_s >= self._policy.timeout_s:
            self._closed = True
            return [CloseUnresponsive(silent_s)]
        if silent_s >= self._policy.suspect_s and not self._replacing:
            self._replacing = True
            actions.append(OpenReplacement())
        interval_s = self._policy.interval_s
        idle = now_s - self._last_sent_s >= interval_s
        if (
            idle
            or now_s - self._last_heartbeat_s
            >= MAX_HEARTBEAT_GAP_INTERVALS * interval_s
        ):
            self._last_heartbeat_s = self._last_sent_s = now_s
            self._sequence += 1
            actions.append(SendHeartbeat(self._sequence))
        return actions
