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
    # A watcher that made no progress is tried again after this time.
    forgive_s: float = 30.0


def choose_watchers(
    zone: ZoneName,
    entries: Iterable[Host],
    suspects: Iterable[ProcessId] = (),
    count: int = 2,
) -> list[ProcessId]:
    """Return the entries of a zone that watch the store."""
    names = [host.process for host in entries if host.zone == zone]
    doubted = set(suspects)
    trusted = [name for name in names if name not in doubted]
    return choose(f"watch:{zone}", trusted or names, count)


def choose_links(
    own: ProcessId,
    zone: ZoneName,
    entries: Iterable[Host],
    watchers: Iterable[ProcessId],
    count: int,
) -> set[ProcessId]:
    """Return the peers an entry connects to: its zone's watchers and a few others."""
    linked = set(watchers) - {own}
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
        self._own = own
        self._zone = zone
        self._policy = policy or TopologyPolicy()
        self._suspects: dict[ProcessId, float] = {}
        self._chosen_s: dict[ProcessId, float] = {}
        self._progress_s: dict[ProcessId, float] = {}

    def record_progress(self, process: ProcessId, age_s: float, now_s: float) -> None:
        """Record how long ago a watcher last got an answer from the store."""
        moment_s = now_s - age_s
        self._progress_s[process] = max(moment_s, self._get_progress(process))

    def step(self, hosts: Iterable[Host], now_s: float) -> None:
        """Choose again from the hosts and the progress seen so far."""
        entries = [
            host
            for host in hosts
            if host.role is ProcessRole.ENTRY and host.state is HostState.LIVE
        ]
        count = self._policy.watchers
        self._judge(now_s)
        first = choose_watchers(self._zone, entries, count=count)
        acting = choose_watchers(self._zone, entries, self._suspects, count)
        self._note_chosen({*first, *acting}, now_s)
        # The first choice goes on trying, so that the zone returns to it.
        self.watching = not entries or self._own in first or self._own in acting
        self.links = choose_links(
            self._own, self._zone, entries, {*first, *acting}, self._policy.others
        )

    def _judge(self, now_s: float) -> None:
        policy = self._policy
        for process, since_s in self._chosen_s.items():
            seen_s = max(since_s, self._get_progress(process))
            if now_s - seen_s >= policy.stall_s:
                self._suspects.setdefault(process, now_s)
        self._suspects = {
            process: since_s
            for process, since_s in self._suspects.items()
            if now_s - since_s < policy.forgive_s
            and now_s - self._get_progress(process) >= policy.stall_s
        }

    def _note_chosen(self, chosen: set[ProcessId], now_s: float) -> None:
        self._chosen_s = {
            process: self._chosen_s.get(process, now_s) for process in chosen
        }

    def _get_progress(self, process: ProcessId) -> float:
        return self._progress_s.get(process, -math.inf)
