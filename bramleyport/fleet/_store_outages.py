"""Tell outages of the store from calls, channels and paths that fail."""

import math
from typing import Final

# Registrations expire after several missed renewals. A call that fails at once is
# repeated three times within this time, one that gets no connection in time once.
MIN_OUTAGE_S: Final = 0.8
# Upstreams whose registrations expired during an outage register again within this
# time of its end.
RENEWAL_S: Final = 2.0


class StoreOutages:
    """Track when registrations may be missing because the store was away.

    The end of a channel, a failed call or the loss of one gateway's path is no outage:
    it takes a time in which the store answered no gateway that is known here. What
    is removed while the store answers has left. What was removed while this gateway
    missed changes for a shorter time may have left or lapsed, so that it is kept, but
    for no longer than one that has left may be used.
    """

    def __init__(self) -> None:
        self._answered_s = -math.inf
        # Since when nothing is answered, if calls fail.
        self._failing_since_s: float | None = None
        self._ended_s = -math.inf
        # Until when what the last answer lacks is kept.
        self._missed_until_s = -math.inf

    def record_failure(self, since_s: float) -> None:
        """Record that calls fail, and since when nothing was answered."""
        if self._failing_since_s is None:
            self._failing_since_s = max(since_s, self._answered_s)

    def record_answer(self, answered_s: float) -> None:
        """Record an answer of the store, to this gateway or another one."""
        self._answered_s = max(self._answered_s, answered_s)
        since_s = self._failing_since_s
        if since_s is None or answered_s < since_s:
            return
        self._failing_since_s = None
        if answered_s - since_s >= MIN_OUTAGE_S:
            self._ended_s = max(self._ended_s, answered_s)

    def record_missed(self, until_s: float) -> None:
        """Record until when to keep what is missing in the answer that is applied."""
        self._missed_until_s = until_s

    def record_restored(self, now_s: float) -> None:
        """Record that the store came back from a copy, however long it was away."""
        self._failing_since_s = None
        self._ended_s = now_s

    def find_renewal_end(self, now_s: float) -> float | None:
        """Return until when a registration may be renewed that is missing now.

        None if no outage explains that it is missing.
        """
        since_s = self._failing_since_s
        if since_s is not None and now_s - since_s >= MIN_OUTAGE_S:
            return now_s + RENEWAL_S
        end_s = max(self._ended_s + RENEWAL_S, self._missed_until_s)
        return end_s if now_s < end_s else None
