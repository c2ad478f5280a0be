"""Enumerations shared by all packages."""

from enum import Enum


class Rank(str, Enum):
    """Order the classes of work from most to least urgent."""

    URGENT = "urgent"
    STANDARD = "standard"
    BATCH = "batch"

    @property
    def priority(self) -> int:
        """Return 0 for the most urgent rank and rise from there."""
        return _PRIORITIES[self]


_PRIORITIES = {Rank.URGENT: 0, Rank.STANDARD: 1, Rank.BATCH: 2}


class Execution(str, Enum):
    """State whether a request that ended without an answer was run."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class EngineRole(str, Enum):
    """Name the phases of work that an engine takes."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class UpstreamState(str, Enum):
    """Name the availability of an upstream."""

    LIVE = "live"
    LEAVING = "leaving"
    CHANGING = "changing"
    SUSPECT = "suspect"
    GONE = "gone"


class ServiceKind(str, Enum):
    """Tell model-backed services from plain ones."""

    LANGUAGE = "language"
    PLAIN = "plain"
