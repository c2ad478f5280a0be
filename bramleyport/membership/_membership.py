"""State of each host, from the host list, its own reports and those of peers."""

from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from bramleyport.core import ProcessId, Revision
from bramleyport.membership._hosts import Host, HostState

# A list that lacks more than this fraction of the known hosts at once is distrusted.
MAX_SHRINK_FRACTION: Final = 0.2
# In a small fleet one lost host exceeds the fraction, so a few hosts are allowed.
ALLOWED_SHRINK_HOSTS: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipPolicy:
    """Describe how long a host missing from the list must be silent before removal."""

    removal_silence_s: float = 6.0
    # A zone's outage can't be told from a faulty list. Waiting a minute longer has no
    # cost, because a silent host gets no work.
    distrusted_list_silence_s: float = 60.0


class LeavingSource(Enum):
    """Represent who reported that a process is leaving, in ascending authority."""

    PEER = 1
    HOST_LIST = 2
    ITSELF = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class HostList:
    """Report a host list and its revision."""

    revision: Revision
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Connected:
    """Report a live connection to a process."""

    process: ProcessId
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Disconnected:
    """Report that the last connection to a process closed or timed out."""

    process: ProcessId


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingReported:
    """Report that a process is leaving, according to some source."""

    process: ProcessId
    source: LeavingSource
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class AvailabilityReported:
    """Report that a process itself said that it accepts work."""

    process: ProcessId


@dataclass(frozen=True, slots=True)
class Tick:
    """Report that time has passed."""


@dataclass(frozen=True, slots=True)
class Added:
    """Report that a host was added."""

    host: Host


@dataclass(frozen=True, slots=True)
class Replaced:
    """Report that a restarted or relocated process has replaced a host's old one."""

    host: Host


@dataclass(frozen=True, slots=True)
class Removed:
    """Report that a host was removed."""

    process: ProcessId


@dataclass(frozen=True, slots=True)
class StateChanged:
    """Report that a host started or stopped accepting new work."""

    process: ProcessId
    state: HostState


Event = (
    HostList | Connected | Disconnected | LeavingReported | AvailabilityReported | Tick
)
Change = Added | Replaced | Removed | StateChanged


@dataclass(slots=True, kw_only=True)
class _Member:
    host: Host
    silent_since_s: float | None
    is_missing: bool = False
    removal_silence_s: float = 0.0
    leaving: LeavingSource | None = None

    @property
    def state(self) -> HostState:
        return HostState.LIVE if self.leaving is None else HostState.LEAVING

    @property
    def current_host(self) -> Host:
        if self.host.state is self.state:
            return self.host
        return replace(self.host, state=self.state)


class Membership:
    """Decide which hosts are live, leaving or gone."""

    def __init__(self, policy: MembershipPolicy | None = None) -> None:
        self._policy = policy or MembershipPolicy()
        self._members: dict[ProcessId, _Member] = {}
        self._hosts: tuple[Host, ...] | None = None
        # The incarnations of connected processes that are not on a list yet.
        self._unlisted: dict[ProcessId, int] = {}
        self._revision = Revision(0)

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the known hosts; the tuple is replaced only when one changes."""
        if self._hosts is None:
            self._hosts = tuple(m.current_host for m in self._members.values())
        return self._hosts

    def find(self, process: ProcessId) -> Host | None:
        """Return a host, or None if it is unknown."""
        member = self._members.get(process)
        return member.current_host if member else None

    def step(self, event: Event, now_s: float) -> list[Change]:
        """Process an event and return the resulting changes."""
        changes = self._process_event(event, now_s)
        if changes or isinstance(event, HostList):
            self._hosts = None
        return changes

    def _process_event(self, event: Event, now_s: float) -> list[Change]:
        if isinstance(event, HostList):
            return self._apply_list(event, now_s)
        if isinstance(event, Tick):
            return self._expire(now_s)
        member = self._members.get(event.process)
        if member is None:
            self._record_unlisted(event)
            return []
        if isinstance(event, Connected):
            return self._connect(member, event)
        if isinstance(event, Disconnected):
            if member.silent_since_s is None:
                member.silent_since_s = now_s
            return []
        if isinstance(event, AvailabilityReported):
            # Only a peer's report is overridden: the host list and the process itself
            # have more authority.
            keeps_state = member.leaving is not LeavingSource.PEER
            return [] if keeps_state else _set_leaving(member, None)
        if 0 < event.incarnation < member.host.incarnation:
            return []
        return _set_leaving(member, event.source)

    def _record_unlisted(self, event: Event) -> None:
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
        member.is_missing = False
        old = member.host
        if 0 < host.incarnation < old.incarnation:
            return []
        incarnation = max(old.incarnation, host.incarnation)
        restarted = host.incarnation > old.incarnation > 0
        address_changed = host.endpoint != old.endpoint
        member.host = replace(host, incarnation=incarnation)
        if address_changed or restarted:
            if address_changed:
                # The incarnation at the new address becomes known on connecting.
                member.host = host
                # A connected process may have connected from the new address already.
                # The end of its last connection is reported in any case.
                if member.silent_since_s is not None:
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
        newly_missing = [
            member
            for process, member in self._members.items()
            if process not in listed and not member.is_missing
        ]
        limit = max(ALLOWED_SHRINK_HOSTS, MAX_SHRINK_FRACTION * len(self._members))
        is_list_trusted = bool(listed) and len(newly_missing) <= limit
        policy = self._policy
        for member in newly_missing:
            member.is_missing = True
            member.removal_silence_s = (
                policy.removal_silence_s
                if is_list_trusted
                else policy.distrusted_list_silence_s
            )

    def _expire(self, now_s: float) -> list[Change]:
        expired = [
            process
            for process, member in self._members.items()
            if member.is_missing
            and member.silent_since_s is not None
            and now_s - member.silent_since_s >= member.removal_silence_s
        ]
        for process in expired:
            del self._members[process]
        return [Removed(process) for process in expired]


def _set_leaving(member: _Member, source: LeavingSource | None) -> list[Change]:
    before = member.state
    if source is None or member.leaving is None or source.value > member.leaving.value:
        member.leaving = source
    if member.state is before:
        return []
    return [StateChanged(member.host.process, member.state)]
