"""Decide when to send heartbeats and when a connection has gone silent."""

from dataclasses import dataclass
from typing import Final

# Other messages show that the sender is alive, but the revision in force travels in
# heartbeats, so one is sent at least every so many intervals.
HEARTBEAT_EVERY: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatPolicy:
    """Hold the heartbeat interval and the silence that closes a connection."""

    interval_s: float = 1.0
    suspect_s: float = 2.5
    silence_s: float = 6.0


@dataclass(frozen=True, slots=True)
class Received:
    """Report that any message arrived."""


@dataclass(frozen=True, slots=True)
class Sent:
    """Report that any message was sent."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Report that time has passed."""


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Ask the transport to send a heartbeat."""

    sequence: int


@dataclass(frozen=True, slots=True)
class OpenReplacement:
    """Ask the transport to open a second connection to the peer."""


@dataclass(frozen=True, slots=True)
class CloseSilent:
    """Ask the transport to close a connection that has gone silent."""

    silent_s: float


SessionEvent = Received | Sent | Tick
SessionAction = SendHeartbeat | OpenReplacement | CloseSilent


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
        """Return whether the peer has been silent for too long."""
        return self._replacing or self._closed

    def step(self, event: SessionEvent, now_s: float) -> list[SessionAction]:
        """Apply an event and return what the transport has to do."""
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
        if silent_s >= self._policy.silence_s:
            self._closed = True
            return [CloseSilent(silent_s)]
        if silent_s >= self._policy.suspect_s and not self._replacing:
            self._replacing = True
            actions.append(OpenReplacement())
        interval_s = self._policy.interval_s
        quiet = now_s - self._last_sent_s >= interval_s
        if quiet or now_s - self._last_heartbeat_s >= HEARTBEAT_EVERY * interval_s:
            self._last_heartbeat_s = self._last_sent_s = now_s
            self._sequence += 1
            actions.append(SendHeartbeat(self._sequence))
        return actions
