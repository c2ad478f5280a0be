"""Describe upstream processes that seem to have ended."""

from dataclasses import dataclass

from bramleyport.core import UpstreamId


@dataclass(frozen=True, slots=True)
class EndedProcess:
    """Identify a process of an upstream that seems to have ended."""

    upstream: UpstreamId
    # Start of the process in Unix milliseconds.
    started_ms: int
    # Until when it counts as ended unless it registers again.
    until_s: float
