"""Enumerations shared by all packages."""

from enum import Enum


class Rank(str, Enum):
    """Rank requests from most to least urgent."""

    URGENT = "urgent"
    STANDARD = "standard"
    BATCH = "batch"

    @property
    def priority(self) -> int:
        """Return the priority, where 0 is the most urgent."""
        return _PRIORITIES[self]


_PRIORITIES = {Rank.URGENT: 0, Rank.STANDARD: 1, Rank.BATCH: 2}


class Execution(str, Enum):
    """State whether a request that ended without an answer was run."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class EngineRole(str, Enum):
    """Classify engines by the phases of a request that they execute."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class UpstreamState(str, Enum):
    """Describe the availability of an upstream."""

    LIVE = "live"
    LEAVING = "leaving"
    CHANGING = "changing"
    SUSPECT = "suspect"
    GONE = "gone"


class ServiceKind(str, Enum):
    """Distinguish language model services from plain ones."""

    LANGUAGE = "language"
    PLAIN = "plain"
