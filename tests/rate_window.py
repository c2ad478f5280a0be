"""Check the requests at an upstream against the rate limit that it has named."""

from collections.abc import Iterable

WINDOW_S = 4.0
# Factor and number by which the requests in a window may exceed the limit.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# The limit binds once it has been named for this long.
SETTLE_S = 3.0


def count_allowed(rate: float) -> float:
    """Return how many requests a window may contain."""
    return ALLOWED_FACTOR * rate * WINDOW_S + ALLOWED_EXTRA


def count_most_limited(times_s: Iterable[float], named_s: float) -> int:
    """Return the largest number of requests in a window that the limit binds.

    Such a window ends after the limit has settled; requests from before half a second
    after it was named do not count, as no gateway could know of it.
    """
    known_s = named_s + 0.5
    settled_s = named_s + SETTLE_S
    counted = [time_s for time_s in sorted(times_s) if time_s >= known_s]
    ends = [time_s for time_s in counted if time_s >= settled_s]
    return max(
        (
            sum(end_s - WINDOW_S < time_s <= end_s for time_s in counted)
            for end_s in ends
        ),
        default=0,
    )
