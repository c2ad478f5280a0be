"""Define what a gateway knows of a call while it is served."""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from bramleyport.fleet import Call, Choice, EngineTraits, SoftwareVersion
from bramleyport.gateway._attempt_record import Attempts
from bramleyport.gateway._clock import read_now
from bramleyport.http1 import CallerConnection, CallerRequest, UpstreamConnection

if TYPE_CHECKING:
    from bramleyport.core import UpstreamId
    from bramleyport.gateway._outcome import FailedAttempt
    from bramleyport.gateway._rate_limits import Reservation


# Fraction of the time left that a call may wait for the end of a pause or for an
# upstream that will be back, which then has enough time to answer it.
WAIT_FRACTION: Final = 0.5
# The same for a stream that has begun: only upstreams of its version can go on with it.
BEGUN_WAIT_FRACTION: Final = 0.75
# Time before it misses its objective from which a stream asks for shares that give it
# another version than one that is away.
CHANGE_LEAD_S: Final = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class ReservedRetry:
    """Describe a retry that is assured before its attempt is given up."""

    # When the repeat was taken from the retry budget.
    taken_s: float
    choice: Choice


class VersionSource(str, Enum):
    """Represent how the software version of a stream became known."""

    NONE = ""
    # It begins at the version that the shares give it.
    SHARES = "shares"
    # The newest shares give it this version before their time, as no upstream of the
    # other one is left.
    FALLBACK = "fallback"
    # It began here, or its gateway told of it.
    RECALLED = "recalled"
    # All shares that it may have followed give it this version.
    DEDUCED = "deduced"
    # Its gateway has written it to the store.
    STORED = "stored"


class CallContext:
    """Represent one call while it is served."""

    def __init__(
        self,
        call: Call,
        request: CallerRequest,
        connection: CallerConnection,
        engine: EngineTraits | None,
        attempts: Attempts,
    ) -> None:
        self.call = call
        self.request = request
        self.connection = connection
        self.engine = engine
        self.attempts = attempts
        self.tried: set[UpstreamId] = set()
        # The connections on which the call was sent, which its retries avoid.
        self.used_connections: set[UpstreamConnection] = set()
        self.last_failure: FailedAttempt | None = None
        # When an attempt was last lost after it was sent, or upstreams were awaited.
        self.lost_s: float | None = None
        # The permit for the decode after a separate prefill that is running.
        self.reservation: Reservation | None = None
        # The call has a part that may crash its upstream, and tests whether it does.
        self.is_trial = False
        # The retry of the attempt that is being given up.
        self.reserved_retry: ReservedRetry | None = None
        # When the latest repeat was taken from the retry budget, if any was.
        self.repeat_taken_s: float | None = None
        # Where the next attempt may be sent if nothing better is found.
        self.reserved_choice: Choice | None = None
        # The software version of the upstreams that may write the events of the stream,
        # once it has any, and the only one at which it may begin.
        self.version: SoftwareVersion | None = None
        self.preferred_version: SoftwareVersion | None = None
        self.version_source = VersionSource.NONE
        # Until when the call may wait for upstreams that are away, once it has, and
        # from when on it asks for shares that give it another version.
        self._wait_end_s: float | None = None
        self._change_s: float | None = None
        self.was_held = False
        # Time to the first event, and time that a separate prefill took; 0 if none.
        self.first_event_s = 0.0
        self.prefill_elapsed_s = 0.0

    def find_wait_end(self) -> float:
        """Return until when the call may wait, from now on, for all its waits."""
        if self._wait_end_s is None:
            has_begun = self.version is not None
            fraction = BEGUN_WAIT_FRACTION if has_begun else WAIT_FRACTION
            self._wait_end_s = read_now() + fraction * self.remaining_s
        return self._wait_end_s

    def find_change_time(self) -> float:
        """Return from when on a stream asks for shares without an absent version."""
        if self._change_s is None:
            wait_s = min(WAIT_FRACTION * self.remaining_s, self.call.route.objective_s)
            self._change_s = read_now() + max(0.0, wait_s - CHANGE_LEAD_S)
        return self._change_s

    @property
    def remaining_s(self) -> float:
        """Return the seconds to the deadline of the call."""
        return self.call.deadline_s - read_now()
