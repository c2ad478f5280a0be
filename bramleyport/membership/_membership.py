"""Combine the host list, what processes say of themselves and what peers report."""

from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from bramleyport.core import ProcessId, Revision
from bramleyport.membership._hosts import Host, HostState

# A list that drops more than this share of the known hosts at once is distrusted.
SHRINK_SHARE: Final = 0.2
# In a small fleet one lost host exceeds the share, so a few may go at once.
SHRINK_HOSTS: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipPolicy:
    """Hold how long a host missing from the list must be silent before removal."""

    removal_silence_s: float = 6.0
    # A zone's outage and a faulty list look alike; the extra minute costs nothing,
    # because a silent host gets no work.
    distrusted_silence_s: float = 60.0


class LeavingSource(Enum):
    """Name who said that a process is leaving, strongest last."""

    PEER = 1
    HOST_LIST = 2
    ITSELF = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class HostList:
    """Report a host list at its revision."""

    revision: Revision
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Connected:
    """Report a live connection to a process."""

    process: ProcessId
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Disconnected:
    """Report that the last connection to a process closed or fell silent."""

    process: ProcessId


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingReported:
    """Report that somebody said a process is leaving."""

    process: ProcessId
    source: LeavingSource
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Report that a process itself said that it takes work."""

    process: ProcessId


@dataclass(frozen=True, slots=True)
class Tick:
    """Report that time has passed."""


@dataclass(frozen=True, slots=True)
class Added:
    """Announce a new host."""

    host: Host


@dataclass(frozen=True, slots=True)
class Replaced:
    """Announce that a new process has taken a host's place."""

    host: Host


@dataclass(frozen=True, slots=True)
class Removed:
    """Announce that a host is gone."""

    process: ProcessId


@dataclass(frozen=True, slots=True)
class StateChanged:
    """Announce that a host takes new work, or no longer does."""

    process: ProcessId
    state: HostState


Event = HostList | Connected | Disconnected | LeavingReported | MessageReceived | Tick
Change = Added | Replaced | Removed | StateChanged


@dataclass(slots=True, kw_only=True)
class _Member:
    host: Host
    silent_since_s: float | None
    missing: bool = False
    removal_silence_s: float = 0.0
    leaving: LeavingSource | None = None

    @property
    def state(self) -> HostState:
        return HostState.LIVE if self.leaving is None else HostState.LEAVING

    @property
    def believed(self) -> Host:
        if self.host.state is self.state:
            return self.host
        return replace(self.host, state=self.state)


class Membership:
    """Decide which hosts are live, leaving or gone."""

    def __init__(self, policy: MembershipPolicy | None = None) -> None:
        self._policy = policy or MembershipPolicy()
        self._members: dict[ProcessId, _Member] = {}
        self._hosts: tuple[Host, ...] | None = None
        # Connected processes that no list has named yet.
        self._unlisted: dict[ProcessId, int] = {}
        self._revision = Revision(0)

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the known hosts; the same object until one of them changes."""
        if self._hosts is None:
            self._hosts = tuple(m.believed for m in self._members.values())
        return self._hosts

    def find(self, process: ProcessId) -> Host | None:
        """Return a known host."""
        member = self._members.get(process)
        return member.believed if member else None

    def step(self, event: Event, now_s: float) -> list[Change]:
        """Apply an event and return what changed."""
        changes = self._apply(event, now_s)
        if changes or isinstance(event, HostList):
            self._hosts = None
        return changes

    def _apply(self, event: Event, now_s: float) -> list[Change]:
        if isinstance(event, HostList):
            return self._apply_list(event, now_s)
        if isinstance(event, Tick):
            return self._expire(now_s)
        member = self._members.get(event.process)
        if member is None:
            self._note_unlisted(event)
            return []
        if isinstance(event, Connected):
            return self._connect(member, event)
        if isinstance(event, Disconnected):
            if member.silent_since_s is None:
                member.silent_since_s = now_s
            return []
        if isinstance(event, MessageReceived):
            # The platform and the process itself know better than a peer's report.
            stronger = member.leaving is not LeavingSource.PEER
            return [] if stronger else _set_leaving(member, None)
        if 0 < event.incarnation < member.host.incarnation:
            return []
        return _set_leaving(member, event.source)

    def _note_unlisted(self, event: Event) -> None:
        if isinstance(event, Connected):
            self._unlisted[event.process] = event.incarnation
        elif isinstance(event, Disconnected):
            self._unlisted.pop(event.process, None)

    def _connect(self, member: _Member, event: Connected) -> list[Change]:
        member.silent_since_s = None
        known = member.host.incarnation
        if event.incarnation <= known:
            return []
        member.host = replace(member.host, incarnation=event.incarnation)
        if known == 0:
            return []
        member.leaving = None
        return [Replaced(member.host)]

    def _apply_list(self, event: HostList, now_s: float) -> list[Change]:
        if event.revision <= self._revision:
            return []
        self._revision = event.revision
        changes: list[Change] = []
        for host in event.hosts:
            changes.extend(self._apply_host(host, now_s))
        self._mark_missing({host.process for host in event.hosts})
        return [*changes, *self._expire(now_s)]

    def _apply_host(self, host: Host, now_s: float) -> list[Change]:
        member = self._members.get(host.process)
        if member is None:
            member = _Member(host=host, silent_since_s=now_s)
            if host.process in self._unlisted:
                member.silent_since_s = None
                incarnation = self._unlisted.pop(host.process)
                member.host = replace(host, incarnation=incarnation)
            if host.state is HostState.LEAVING:
                member.leaving = LeavingSource.HOST_LIST
            self._members[host.process] = member
            return [Added(host)]
        member.missing = False
        old = member.host
        if 0 < host.incarnation < old.incarnation:
            return []
        incarnation = max(old.incarnation, host.incarnation)
        restarted = host.incarnation > old.incarnation > 0
        moved = host.endpoint != old.endpoint
        member.host = replace(host, incarnation=incarnation)
        if moved or restarted:
            if moved:
                # The incarnation at the new address is learnt on connecting.
                member.host = host
                member.silent_since_s = now_s
            member.leaving = None
            if host.state is HostState.LEAVING:
                member.leaving = LeavingSource.HOST_LIST
            return [Replaced(member.host)]
        if host.state is HostState.LEAVING:
            return _set_leaving(member, LeavingSource.HOST_LIST)
        if member.leaving is LeavingSource.HOST_LIST:
            return _set_leaving(member, None)
        return []

    def _mark_missing(self, listed: set[ProcessId]) -> None:
        newly = [
            member
            for process, member in self._members.items()
            if process not in listed and not member.missing
        ]
        limit = max(SHRINK_HOSTS, SHRINK_SHARE * len(self._members))
        trusted = bool(listed) and len(newly) <= limit
        policy = self._policy
        for member in newly:
            member.missing = True
            member.removal_silence_s = (
                policy.removal_silence_s if trusted else policy.distrusted_silence_s
            )

    def _expire(self, now_s: float) -> list[Change]:
        gone = [
            process
            for process, member in self._members.items()
            if member.missing
            and member.silent_since_s is not None
            and now_s - member.silent_since_s >= member.removal_silence_s
        ]
        for process in gone:
            del self._members[process]
        return [Removed(process) for process in gone]


def _set_leaving(member: _Member, source: LeavingSource | None) -> list[Change]:
    before = member.state
    if source is None or member.leaving is None or source.value > member.leaving.value:
        member.leaving = source
    if member.state is before:
        return []
    return [StateChanged(member.host.process, member.state)]
