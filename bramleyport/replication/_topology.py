"""Which entries watch the store and which peers an entry connects to."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from bramleyport.core import ProcessId, ZoneName
from bramleyport.membership import Host, HostState, ProcessRole, choose, rank


@dataclass(frozen=True, slots=True, kw_only=True)
class TopologyPolicy:
    """Hold how many watchers a zone has and when another entry steps in."""

    watchers: int = 2
    others: int = 2
    # Two missed answers of a watch that waits 2 s at most.
    stall_s: float = 4.0


def choose_watchers(
    zone: ZoneName,
    names: Iterable[ProcessId],
    suspects: Iterable[ProcessId] = (),
    count: int = 2,
) -> list[ProcessId]:
    """Return which of a zone's entries watch the store."""
    doubted = set(suspects)
    trusted = [name for name in names if name not in doubted]
    return choose(f"watch:{zone}", trusted, count)


def choose_reporter(entries: Iterable[ProcessId]) -> ProcessId:
    """Return which of the live entries writes the status of the records."""
    return choose("status", entries, 1)[0]


def choose_links(
    own: ProcessId,
    zone: ZoneName,
    entries: Iterable[Host],
    watchers: Iterable[ProcessId],
    count: int,
    reporter: ProcessId | None = None,
) -> set[ProcessId]:
    """Return the peers an entry connects to: its zone's watchers and a few others.

    With a reporter, one of the others is the reporter.
    """
    linked = set(watchers) - {own}
    if reporter is not None and reporter != own and reporter not in linked:
        linked.add(reporter)
        count -= 1
    others = [host for host in entries if host.process != own]
    # Peers of other zones bring records when the whole zone can't reach the store.
    far = [host.process for host in others if host.zone != zone]
    near = [host.process for host in others if host.zone == zone]
    ranked = rank(f"links:{own}", far) + rank(f"links:{own}", near)
    fresh = [process for process in ranked if process not in linked]
    return linked | set(fresh[:count])


class Topology:
    """Follow the progress of watchers and decide who watches and who connects."""

    def __init__(
        self, own: ProcessId, zone: ZoneName, policy: TopologyPolicy | None = None
    ) -> None:
        self.watching = False
        self.links: set[ProcessId] = set()
        # Counts pass from an entry to its zone's collector and from there to the
        # reporter, which thus has one more connection for each zone only.
        self.collector = own
        self.reporter = own
        self.zone_entries = 1
        self._own = own
        self._zone = zone
        self._policy = policy or TopologyPolicy()
        self._suspects: set[ProcessId] = set()
        # What the last choice was based on.
        self._judged: set[ProcessId] = set()
        self._hosts: tuple[Host, ...] | None = None
        self._chosen_s: dict[ProcessId, float] = {}
        self._progress_s: dict[ProcessId, float] = {}

    def record_progress(self, process: ProcessId, age_s: float, now_s: float) -> None:
        """Record how long ago a watcher last got an answer from the store."""
        moment_s = now_s - age_s
        self._progress_s[process] = max(moment_s, self._get_progress(process))

    def step(self, hosts: tuple[Host, ...], now_s: float) -> None:
        """Choose again from the hosts and the progress seen so far."""
        self._judge(now_s)
        # Ranking takes a hash of every entry, so it is done on changes alone.
        if hosts is not self._hosts or self._suspects != self._judged:
            self._choose(hosts, now_s)
            self._hosts = hosts
            self._judged = set(self._suspects)

    def _choose(self, hosts: tuple[Host, ...], now_s: float) -> None:
        entries = [
            host
            for host in hosts
            if host.role is ProcessRole.ENTRY and host.state is HostState.LIVE
        ]
        names = {host.process for host in entries if host.zone == self._zone}
        # The lagging list may not name this process yet, or only dead ones.
        names.add(self._own)
        count = self._policy.watchers
        if self._suspects >= names:
            self._suspects.clear()
        first = choose_watchers(self._zone, names, count=count)
        acting = choose_watchers(self._zone, names, self._suspects, count)
        self._note_chosen({*first, *acting}, now_s)
        # The first choice goes on trying, so that the zone returns to it.
        self.watching = self._own in first or self._own in acting
        self.collector = first[0]
        self.reporter = choose_reporter({*(e.process for e in entries), self._own})
        self.zone_entries = len(names)
        self.links = choose_links(
            self._own,
            self._zone,
            entries,
            {*first, *acting},
            self._policy.others,
            self.reporter if self.collector == self._own else None,
        )

    def _judge(self, now_s: float) -> None:
        stall_s = self._policy.stall_s
        for process, since_s in self._chosen_s.items():
            seen_s = max(since_s, self._get_progress(process))
            if now_s - seen_s >= stall_s:
                self._suspects.add(process)
        self._suspects = {
            process
            for process in self._suspects
            if now_s - self._get_progress(process) >= stall_s
        }

    def _note_chosen(self, chosen: set[ProcessId], now_s: float) -> None:
        self._chosen_s = {
            process: self._chosen_s.get(process, now_s) for process in chosen
        }

    def _get_progress(self, process: ProcessId) -> float:
        return self._progress_s.get(process, -math.inf)
