"""Check which fraction of the streams that are taken up again goes on."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

# Least number of streams taken up for which the fraction that goes on is checked.
MIN_TAKEN_UP: Final = 12
# Least number of engines of a stream's version, in any stage, for it to count.
MIN_SERVING: Final = 2
# Least ratio of that fraction to the fraction of new streams that begin.
MIN_RATIO: Final = 0.5
SHOWN_REQUESTS: Final = 3


@dataclass(slots=True)
class TakenUpStreams:
    """Track the streams of one version that were taken up, and those that went on."""

    taken_up: set[str] = field(default_factory=set)
    gone_on: set[str] = field(default_factory=set)


class LostStreams:
    """Track new streams and those that are taken up at gateways in touch."""

    def __init__(self) -> None:
        self.new = 0
        self.begun = 0
        self.versions: defaultdict[str, TakenUpStreams] = defaultdict(TakenUpStreams)

    def record_new(self, *, begun: bool) -> None:
        """Record whether a stream began."""
        self.new += 1
        self.begun += begun

    def record_taken_up(self, request: str, version: str, *, goes_on: bool) -> None:
        """Record whether a stream went on; once is enough of several tries."""
        streams = self.versions[version]
        streams.taken_up.add(request)
        if goes_on:
            streams.gone_on.add(request)

    def list_violations(self) -> list[str]:
        """Return which streams were lost too often, of each version and of all."""
        everything = TakenUpStreams()
        for streams in self.versions.values():
            everything.taken_up |= streams.taken_up
            everything.gone_on |= streams.gone_on
        groups = {**self.versions, "all versions": everything}
        return [
            self._describe(name, streams)
            for name, streams in sorted(groups.items())
            if self._is_lost(streams)
        ]

    def _is_lost(self, streams: TakenUpStreams) -> bool:
        taken_up, gone_on = len(streams.taken_up), len(streams.gone_on)
        # Multiplied out, as no new stream may have been sent.
        lost = gone_on * self.new < MIN_RATIO * taken_up * self.begun
        return taken_up >= MIN_TAKEN_UP and lost

    def _describe(self, name: str, streams: TakenUpStreams) -> str:
        shown = sorted(streams.taken_up - streams.gone_on)[:SHOWN_REQUESTS]
        counts = f"{len(streams.gone_on)} of {len(streams.taken_up)}"
        return (
            f"LOST: {counts} streams of {name} that were taken up went on, "
            f"{self.begun} of {self.new} new ones began; lost: {', '.join(shown)}"
        )
