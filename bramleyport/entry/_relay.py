"""Pass counts and explained requests from every entry to the reporter.

An entry hands what it has counted to the collector of its zone, and the collector hands
the sum to the reporter, over connections that exist for the records anyway. Counts are
handed on once: those on their way when a connection or an entry breaks are lost, and
none is counted twice.
"""

import asyncio
import time
from typing import TYPE_CHECKING, Final

from bramleyport.core import LaggingProcess, ProcessId, Revision
from bramleyport.telemetry import log_event, operator_events
from bramleyport.wire import Counts, ServiceCounts

if TYPE_CHECKING:
    from bramleyport.entry._outcomes import OutcomeCounter
    from bramleyport.links._hub import PeerHub

TICK_S: Final = 1.0
MIN_INTERVAL_S: Final = 2.0
# The interval of an entry grows with its zone, so that a collector receives a message
# every 2 s, of 2.5 to 5 kB at 60 records, whatever the size of the zone.
INTERVAL_PER_ENTRY_S: Final = 2.0
COLLECTOR_INTERVAL_S: Final = 20.0
CASES_SENT: Final = 4
CASES_FORWARDED: Final = 8
LAGGING_SENT: Final = 4
LAGGING_FORWARDED: Final = 16
LAGGING_HELD: Final = 64
# Longer than it takes to hear of a peer's revision: every third heartbeat carries it,
# and on a busy connection there is one heartbeat in 5 s.
LAGGING_AFTER_S: Final = 20.0
# Beyond the intervals of an entry and its collector, after which it is reported anew.
LAGGING_MARGIN_S: Final = 10.0


class CountRelay:
    """Send what this entry has counted towards the reporter."""

    def __init__(
        self, process: ProcessId, hub: "PeerHub", outcomes: "OutcomeCounter"
    ) -> None:
        self._process = process
        self._hub = hub
        self._outcomes = outcomes
        self._lagging: dict[ProcessId, tuple[Revision, float]] = {}
        # What was in force here at two moments; the older one is what peers must have.
        self._older = Revision(0)
        self._newer = Revision(0)
        self._newer_s = time.monotonic()
        self._sent_s = time.monotonic()
        hub.on_counts = self.receive

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            if now_s - self._sent_s >= self.find_interval():
                self._sent_s = now_s
                self.send(now_s)

    def find_interval(self) -> float:
        """Return the seconds between two messages of this entry."""
        interval_s = self._find_entry_interval()
        topology = self._hub.topology
        if topology is not None and topology.collector == self._process:
            return min(interval_s, COLLECTOR_INTERVAL_S)
        return interval_s

    def receive(self, message: Counts) -> None:
        """Add what a peer has counted to what this entry passes on."""
        now_s = time.monotonic()
        for service in message.services:
            self._outcomes.pending.add_packed(service.name, service.numbers)
        for case in message.cases:
            self._outcomes.cases.add(case)
        for item in message.lagging:
            self._note_lagging(item, now_s)

    def send(self, now_s: float) -> None:
        """Hand everything to the next process on the way, if it can be reached."""
        self._compare_peers(now_s)
        if self._hub.is_reporter():
            return
        target = self._find_target()
        if target is None:
            if self._outcomes.pending:
                log_event(operator_events.COUNTS_HELD)
            return
        message = self._build()
        if message.services or message.cases or message.lagging:
            self._hub.post(target, message)

    def list_lagging(self, now_s: float) -> dict[ProcessId, Revision]:
        """Return the processes that this entry or a peer has found to lag."""
        kept_s = self._find_entry_interval() + COLLECTOR_INTERVAL_S + LAGGING_MARGIN_S
        self._lagging = {
            process: (revision, seen_s)
            for process, (revision, seen_s) in self._lagging.items()
            if now_s - seen_s < kept_s
        }
        return {process: revision for process, (revision, _) in self._lagging.items()}

    def _find_entry_interval(self) -> float:
        topology = self._hub.topology
        entries = 1 if topology is None else topology.zone_entries
        return max(MIN_INTERVAL_S, entries * INTERVAL_PER_ENTRY_S)

    def _build(self) -> Counts:
        topology = self._hub.topology
        collects = topology is not None and topology.collector == self._process
        lagging = [
            LaggingProcess(process=process, revision=revision)
            for process, (revision, _) in self._lagging.items()
        ]
        self._lagging = {}
        return Counts(
            services=tuple(
                ServiceCounts(name=name, numbers=numbers)
                for name, numbers in self._outcomes.pending.take_packed()
            ),
            cases=self._outcomes.cases.take(
                CASES_FORWARDED if collects else CASES_SENT
            ),
            lagging=tuple(lagging[: LAGGING_FORWARDED if collects else LAGGING_SENT]),
        )

    def _find_target(self) -> ProcessId | None:
        topology = self._hub.topology
        if topology is None:
            return None
        candidates = [topology.reporter, topology.collector]
        if self._hub.leaving:
            # What it holds would end with it; any other entry passes it on.
            candidates += sorted(topology.links)
        others = (process for process in candidates if process != self._process)
        return next((name for name in others if self._hub.is_connected(name)), None)

    def _compare_peers(self, now_s: float) -> None:
        """Note peers that have not reached what was in force here some time ago."""
        if now_s - self._newer_s >= LAGGING_AFTER_S:
            self._older, self._newer = self._newer, self._hub.read_revision()
            self._newer_s = now_s
        for process, revision in self._hub.replica.read_peers().items():
            if revision < self._older:
                self._note_lagging(
                    LaggingProcess(process=process, revision=revision), now_s
                )
            elif process in self._lagging:
                del self._lagging[process]

    def _note_lagging(self, item: LaggingProcess, now_s: float) -> None:
        known = item.process in self._lagging
        if known or len(self._lagging) < LAGGING_HELD:
            self._lagging[item.process] = (item.revision, now_s)
