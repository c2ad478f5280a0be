"""Selection of the entries that watch the store and of the peers of an entry."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from bramleyport.core import ProcessId, ZoneName
from bramleyport.membership import Host, HostState, ProcessRole, choose, rank


@dataclass(frozen=True, slots=True, kw_only=True)
class TopologyPolicy:
    """Describe how many watchers and links there are and when watchers are replaced."""

    watchers: int = 2
    other_links: int = 2
    # Two unanswered watches of at most 2 s each.
    stall_timeout_s: float = 4.0


def choose_watchers(
    zone: ZoneName,
    names: Iterable[ProcessId],
    suspects: Iterable[ProcessId] = (),
    count: int = 2,
) -> list[ProcessId]:
    """Return which of a zone's entries watch the store."""
    excluded = set(suspects)
    trusted = [name for name in names if name not in excluded]
    return choose(f"watch:{zone}", trusted, count)


def choose_reporter(entries: Iterable[ProcessId]) -> ProcessId:
    """Return the live entry that writes the status of the records."""
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

    A given reporter is one of the others.
    """
    chosen_links = set(watchers) - {own}
    if reporter is not None and reporter != own and reporter not in chosen_links:
        chosen_links.add(reporter)
        count -= 1
    other_links = [host for host in entries if host.process != own]
    # Peers of other zones supply records when no entry of the zone reaches the store.
    in_other_zones = [host.process for host in other_links if host.zone != zone]
    in_own_zone = [host.process for host in other_links if host.zone == zone]
    ranked = rank(f"links:{own}", in_other_zones) + rank(f"links:{own}", in_own_zone)
    candidates = [process for process in ranked if process not in chosen_links]
    return chosen_links | set(candidates[:count])


class Topology:
    """Decide whether this entry watches the store and which peers it connects to."""

    def __init__(
        self, own: ProcessId, zone: ZoneName, policy: TopologyPolicy | None = None
    ) -> None:
        self.is_watching = False
        self.links: set[ProcessId] = set()
        # Entries send counts to the collector of their zone, which sends their sum to
        # the reporter. The reporter thus needs only one more connection for each zone.
        self.collector = own
        self.reporter = own
        self.zone_entries = 1
        self._own = own
        self._zone = zone
        self._policy = policy or TopologyPolicy()
        self._suspects: set[ProcessId] = set()
        # The suspects and hosts that the last choice was based on.
        self._chosen_suspects: set[ProcessId] = set()
        self._hosts: tuple[Host, ...] | None = None
        self._chosen_s: dict[ProcessId, float] = {}
        self._progress_s: dict[ProcessId, float] = {}

    def record_progress(self, process: ProcessId, age_s: float, now_s: float) -> None:
        """Record how long ago a watcher last got an answer from the store."""
        answered_s = now_s - age_s
        self._progress_s[process] = max(answered_s, self._get_progress(process))

    def step(self, hosts: tuple[Host, ...], now_s: float) -> None:
        """Choose watchers and links again if the hosts or the suspects changed."""
        self._update_suspects(now_s)
        # Ranking computes a hash of every entry, so it is done only after a change.
        if hosts is not self._hosts or self._suspects != self._chosen_suspects:
            self._choose(hosts, now_s)
            self._hosts = hosts
            self._chosen_suspects = set(self._suspects)

    def _choose(self, hosts: tuple[Host, ...], now_s: float) -> None:
        entries = [
            host
            for host in hosts
            if host.role is ProcessRole.ENTRY and host.state is HostState.LIVE
        ]
        names = {host.process for host in entries if host.zone == self._zone}
        # The host list is delayed: it may not contain this process yet, or list only
        # processes that have ended.
        names.add(self._own)
        count = self._policy.watchers
        if self._suspects >= names:
            self._suspects.clear()
        first = choose_watchers(self._zone, names, count=count)
        acting = choose_watchers(self._zone, names, self._suspects, count)
        self._record_chosen({*first, *acting}, now_s)
        # The first choice keeps watching even if suspected: once it makes progress, the
        # zone returns to it.
        self.is_watching = self._own in first or self._own in acting
        self.collector = first[0]
        self.reporter = choose_reporter({*(e.process for e in entries), self._own})
        self.zone_entries = len(names)
        self.links = choose_links(
            self._own,
            self._zone,
            entries,
            {*first, *acting},
            self._policy.other_links,
            self.reporter if self.collector == self._own else None,
        )

    def _update_suspects(self, now_s: float) -> None:
        stall_timeout_s = self._policy.stall_timeout_s
        # Progress as old as the stall timeout counts like none, so it is forgotten.
        self._progress_s = {
            process: answered_s
            for process, answered_s in self._progress_s.items()
            if now_s - answered_s < stall_timeout_s
        }
        for process, since_s in self._chosen_s.items():
            seen_s = max(since_s, self._get_progress(process))
            if now_s - seen_s >= stall_timeout_s:
                self._suspects.add(process)
        self._suspects = {
            process
            for process in self._suspects
            if now_s - self._get_progress(process) >= stall_timeout_s
        }

    def _record_chosen(self, chosen: set[ProcessId], now_s: float) -> None:
        self._chosen_s = {
            process: self._chosen_s.get(process, now_s) for process in chosen
        }

    def _get_progress(self, process: ProcessId) -> float:
        return self._progress_s.get(process, -math.inf)
