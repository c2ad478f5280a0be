"""Read the fields of messages between gateways, and check their bounds."""

import math
import time
from typing import Any, Final

from bramleyport.core import read_amount

# The bounds are far beyond what gateways send: within them, a value of another writer
# costs no more than the work or the limit that it describes.
MAX_NAME_CHARS: Final = 1024
MAX_COUNT: Final = 10**18
MAX_RATE: Final = 1e12
MAX_COST: Final = 1e18
MAX_WORK_S: Final = 3600.0
MAX_TRANSFER_S: Final = 60.0
MAX_CHANGE_S: Final = 600.0
MAX_AGE_S: Final = 366 * 86_400.0
# How far the clock of another host may be ahead. A later time would hide all that
# follows it, as newer starts replace older ones.
MAX_CLOCK_AHEAD_MS: Final = 86_400_000


class PeerMessageError(ValueError):
    """Report a datagram, or an item of one, that is not valid."""


def read_list(value: Any) -> list[Any]:
    """Return a list of any length."""
    if not isinstance(value, list):
        raise PeerMessageError(f"not a list: {_describe(value)}")
    return value


def read_row(value: Any, least: int, most: int | None = None) -> list[Any]:
    """Return a list if the number of its values is within bounds; exact by default."""
    read_list(value)
    if not least <= len(value) <= (least if most is None else most):
        raise PeerMessageError(f"a list of {len(value)} values")
    return list(value)


def read_name(value: Any) -> str:
    """Return a name that is not empty."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise PeerMessageError(f"not a name: {_describe(value)}")
    return value


def read_flag(value: Any) -> bool:
    """Return a truth value."""
    if not isinstance(value, bool):
        raise PeerMessageError(f"not true or false: {_describe(value)}")
    return value


def read_integer(value: Any) -> int:
    """Return a whole number of any sign."""
    if isinstance(value, bool) or not isinstance(value, int) or abs(value) > MAX_COUNT:
        raise PeerMessageError(f"not a whole number in bounds: {_describe(value)}")
    return value


def read_count(value: Any, most: int = MAX_COUNT) -> int:
    """Return a whole number from 0."""
    if not 0 <= read_integer(value) <= most:
        raise PeerMessageError(f"not a count up to {most}")
    return int(value)


def read_duration(value: Any, most_s: float) -> float:
    """Return seconds; a time that has passed already counts as none."""
    if isinstance(value, float) and math.isfinite(value) and value < 0:
        return 0.0
    return read_amount(value, most_s)


def read_start_ms(value: Any) -> int:
    """Return the start of a process in Unix milliseconds, unless it is to come."""
    started_ms = read_count(value)
    if started_ms > time.time_ns() // 1_000_000 + MAX_CLOCK_AHEAD_MS:
        raise PeerMessageError("a start in the future")
    return started_ms


def _describe(value: Any) -> str:
    """Return the type of a value, whose text may be endless or raise an error."""
    return type(value).__name__
