"""Forward counts and request cases from every entry to the reporter.

Each entry sends its counts to the collector of its zone, and the collector sends the
sums to the reporter, over the connections that also carry the records. Counts are sent
at most once: those in flight when a connection or an entry fails are lost, and none is
counted twice.
"""

import asyncio
import time
from typing import TYPE_CHECKING, Final

from bramleyport.core import LaggingProcess, ProcessId, Revision
from bramleyport.telemetry import log_event, operator_events
from bramleyport.wire import Counts, ServiceCounts

if TYPE_CHECKING:
    from bramleyport.entry._outcome_counter import OutcomeCounter
    from bramleyport.links._hub import PeerHub

POLL_INTERVAL_S: Final = 1.0
MIN_INTERVAL_S: Final = 2.0
# The interval grows with the number of entries in the zone, so that a collector
# receives one message every 2 s, of 2.5 to 5 kB at 60 records, in a zone of any size.
INTERVAL_PER_ENTRY_S: Final = 2.0
COLLECTOR_INTERVAL_S: Final = 20.0
MAX_CASES_SENT: Final = 4
MAX_CASES_FORWARDED: Final = 8
MAX_LAGGING_SENT: Final = 4
MAX_LAGGING_FORWARDED: Final = 16
MAX_LAGGING: Final = 64
# A peer lags if it has not reached a revision that was in effect here this long ago.
# Longer than the interval at which a peer's revision is received: every third heartbeat
# has it, and on a busy connection there is one heartbeat every 5 s.
LAGGING_AFTER_S: Final = 20.0
# A process that was reported as lagging is removed if it is not reported again within
# the intervals of an entry and its collector plus this margin.
LAGGING_MARGIN_S: Final = 10.0


class CountRelay:
    """Represent the path of an entry's counts to the reporter."""

    def __init__(
        self, process: ProcessId, hub: "PeerHub", outcomes: "OutcomeCounter"
    ) -> None:
        self._process = process
        self._hub = hub
        self._outcomes = outcomes
        self._lagging: dict[ProcessId, tuple[Revision, float]] = {}
        # Revisions in effect here at two times; peers must have reached the older one.
        self._older_revision = Revision(0)
        self._newer_revision = Revision(0)
        self._newer_read_s = time.monotonic()
        self._last_sent_s = time.monotonic()
        hub.on_counts = self.receive

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now_s = time.monotonic()
            if now_s - self._last_sent_s >= self.get_interval():
                self._last_sent_s = now_s
                self.send(now_s)

    def get_interval(self) -> float:
        """Return the interval between two messages of this entry."""
        interval_s = self._compute_entry_interval()
        topology = self._hub.topology
        if topology is not None and topology.collector == self._process:
            return min(interval_s, COLLECTOR_INTERVAL_S)
        return interval_s

    def receive(self, message: Counts) -> None:
        """Add the counts of a peer to those that this entry forwards."""
        now_s = time.monotonic()
        for service in message.services:
            self._outcomes.pending.add_packed(service.name, service.numbers)
        for case in message.cases:
            self._outcomes.cases.add(case)
        for item in message.lagging:
            self._record_lagging(item, now_s)

    def send(self, now_s: float) -> None:
        """Send pending counts and cases to the next process, if one is connected."""
        self._compare_peers(now_s)
        if self._hub.is_reporter():
            return
        target = self._find_target()
        if target is None:
            if self._outcomes.pending:
                log_event(operator_events.COUNTS_NOT_SENT)
            return
        message = self._build()
        if message.services or message.cases or message.lagging:
            self._hub.post(target, message)

    def list_lagging(self, now_s: float) -> dict[ProcessId, Revision]:
        """Return the processes that this entry or a peer has found lagging."""
        lifetime_s = (
            self._compute_entry_interval() + COLLECTOR_INTERVAL_S + LAGGING_MARGIN_S
        )
        self._lagging = {
            process: (revision, recorded_s)
            for process, (revision, recorded_s) in self._lagging.items()
            if now_s - recorded_s < lifetime_s
        }
        return {process: revision for process, (revision, _) in self._lagging.items()}

    def _compute_entry_interval(self) -> float:
        topology = self._hub.topology
        entries = 1 if topology is None else topology.zone_entries
        return max(MIN_INTERVAL_S, entries * INTERVAL_PER_ENTRY_S)

    def _build(self) -> Counts:
        topology = self._hub.topology
        is_collector = topology is not None and topology.collector == self._process
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
                MAX_CASES_FORWARDED if is_collector else MAX_CASES_SENT
            ),
            lagging=tuple(
                lagging[: MAX_LAGGING_FORWARDED if is_collector else MAX_LAGGING_SENT]
            ),
        )

    def _find_target(self) -> ProcessId | None:
        topology = self._hub.topology
        if topology is None:
            return None
        candidates = [topology.reporter, topology.collector]
        if self._hub.leaving:
            # The pending counts would be lost when this entry stops. Any other entry
            # can forward them.
            candidates += sorted(topology.links)
        others = (process for process in candidates if process != self._process)
        return next((name for name in others if self._hub.is_connected(name)), None)

    def _compare_peers(self, now_s: float) -> None:
        """Record peers that have not reached a revision in effect here a while ago."""
        if now_s - self._newer_read_s >= LAGGING_AFTER_S:
            self._older_revision, self._newer_revision = (
                self._newer_revision,
                self._hub.read_revision(),
            )
            self._newer_read_s = now_s
        for process, revision in self._hub.replica.get_peer_revisions().items():
            if revision < self._older_revision:
                self._record_lagging(
                    LaggingProcess(process=process, revision=revision), now_s
                )
            elif process in self._lagging:
                del self._lagging[process]

    def _record_lagging(self, item: LaggingProcess, now_s: float) -> None:
        known = item.process in self._lagging
        if known or len(self._lagging) < MAX_LAGGING:
            self._lagging[item.process] = (item.revision, now_s)
