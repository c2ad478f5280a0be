"""Count the requests of client accounts, and tell other gateways the counts."""

import asyncio
import math
import time
from collections.abc import Callable, Iterator
from typing import Final

import cbor2

from bramleyport.core import AccountId, FencingNumber, ProcessId
from bramleyport.duties import (
    KEPT_WINDOWS,
    Counts,
    GroupClock,
    GroupCounts,
    Origin,
    OwnCounts,
    WindowCounts,
    WindowId,
    WindowTimes,
)
from bramleyport.gateway._account_facts import DutyStatus
from bramleyport.gateway._clock import read_boot_time, read_now
from bramleyport.gateway._peers import PeerLink
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import Duty, DutySettings
from bramleyport.telemetry import duty_events, log_event

MS_PER_S: Final = 1000
# A killed gateway loses what it counted since it last told it. The more gateways there
# are, the less each one counts, and the more a candidate has to read.
MIN_TELL_INTERVAL_S: Final = 0.25
MAX_TELL_INTERVAL_S: Final = 1.0
TELLING_GATEWAYS_PER_S: Final = 200
# Gateways that may take the lease of the duties, the first ones by name.
MAX_CANDIDATES: Final = 3
# What one datagram holds beside its head, so that it stays below the usual path MTU.
MAX_COUNTS_BYTES: Final = 1_000
# Datagrams to one gateway at a time; what is left out has its turn later.
MAX_DATAGRAMS: Final = 64
# Windows of which all counts are told each time; older ones have their turn.
NEWEST_WINDOWS: Final = 3
# Time within which all gateways have told what they know to one that starts, and their
# counts to a new candidate.
LISTEN_S: Final = 2.5
# How often a gateway that stops tells its counts for the last time.
LAST_TELLINGS: Final = 2
# Difference of this host's clock from the median that is reported.
MAX_DEVIATION_S: Final = 0.5
# Bytes of the row of a window beside its accounts, and of an account beside its name.
ROW_BYTES: Final = 24
PAIR_BYTES: Final = 8


class UsageExchange:
    """Represent the counts of this gateway and those that the others have told."""

    def __init__(
        self,
        state: GatewayState,
        peers: PeerLink,
        settings: DutySettings,
        find_fencing: Callable[[], FencingNumber | None],
    ) -> None:
        self._state = state
        self._peers = peers
        self._process = state.settings.process
        self._times = WindowTimes.plan(settings.window_s, settings.usage_late_s)
        self._reports_usage = Duty.USAGE in settings.duties
        self._orders_scale = Duty.SCALE in settings.duties
        self._was_counting = False
        self._clock = GroupClock(self._process)
        self._clock.record(self._process, time.time(), read_boot_time())
        self._first = self._times.find_window(self._read_wall_time())
        self._own = OwnCounts(self._first)
        self._group = GroupCounts(self._times)
        self._settled: WindowId | None = None
        # Those that are told the counts, and since when this gateway is.
        self._targets: frozenset[ProcessId] = frozenset()
        self._candidate_since_s = math.inf
        self._turn = 0
        self._deviates = False
        # The holder as it was last heard, this gateway excepted.
        self._holder: ProcessId | None = None
        self.holder_heard_s = -math.inf
        self._find_fencing = find_fencing
        self._first_unsent = WindowId(0)
        peers.duties.link = self
        if self._reports_usage:
            state.on_run = self.record_run

    @property
    def is_active(self) -> bool:
        """Return whether there is anything to report or to order."""
        return self._is_counting or self._is_scaling

    @property
    def _is_scaling(self) -> bool:
        """Return whether there are services whose upstreams are ordered."""
        configuration = self._state.configuration
        return (
            self._orders_scale
            and configuration is not None
            and any(item.scale for item in configuration.services.values())
        )

    @property
    def _is_counting(self) -> bool:
        """Return whether there are client accounts whose usage is reported."""
        configuration = self._state.configuration
        return (
            self._reports_usage
            and configuration is not None
            and configuration.accounts is not None
        )

    @property
    def is_candidate(self) -> bool:
        """Return whether this gateway may take the lease of the duties."""
        return self._process in self._list_candidates()

    @property
    def settled_told(self) -> WindowId | None:
        """Return the newest window that any gateway knows to be settled."""
        return self._settled

    @property
    def is_complete(self) -> bool:
        """Return whether the gateways have had time to tell what they know."""
        listened_s = read_now() - self._candidate_since_s
        return self._is_counting and listened_s >= LISTEN_S

    def record_run(self, account: AccountId, began_s: float) -> None:
        """Count a request that an upstream began to run."""
        self._begin_counting()
        steady_s = read_boot_time() - (read_now() - began_s)
        window = self._times.find_window(self._clock.convert(steady_s))
        self._own.record(account, window)

    async def run(self) -> None:
        """Tell the counts until cancelled."""
        while True:
            self.tell()
            await asyncio.sleep(self._choose_interval())

    def tell(self) -> None:
        """Tell the candidates and the holder what was counted here."""
        self._sample_own_clock()
        self._update_windows()
        status = self.make_status()
        candidates = self._list_candidates()
        if status is None:
            self._candidate_since_s = math.inf
            return
        if self._process not in candidates and not status.fencing:
            self._candidate_since_s = math.inf
        elif self._candidate_since_s == math.inf:
            self._candidate_since_s = read_now()
        targets = candidates | ({self._holder} if self._holder else set())
        targets -= {self._process}
        windows = list(self._own.list_windows()) if self._is_counting else []
        for item in windows:
            self._group.apply(self._make_origin(), item, read_now())
        for target in targets:
            is_new = target not in self._targets
            for counts in self._choose_packs(windows, tell_all=is_new):
                self._peers.send_usage(target, status, counts)
        self._targets = frozenset(targets)
        self._turn += 1

    def leave(self) -> None:
        """Tell all counts for the last time, as no more requests will be counted."""
        self._own.close_before(
            WindowId(self._times.find_window(self._read_wall_time()) + 1)
        )
        # Once more, as a datagram may be lost.
        for _ in range(LAST_TELLINGS):
            self._targets = frozenset()
            self.tell()

    def make_status(self) -> DutyStatus | None:
        """Return the status of this gateway; None while no duty is active."""
        if not self.is_active:
            return None
        return DutyStatus(
            wall_ms=round(time.time() * MS_PER_S),
            fencing=self._find_fencing() or 0,
            settled=self._settled or 0,
            first_unsent=self._first_unsent,
        )

    def apply_status(self, process: ProcessId, status: DutyStatus) -> None:
        """Apply the status of another gateway."""
        self._clock.record(process, status.wall_ms / MS_PER_S, read_boot_time())
        if status.fencing:
            self._holder, self.holder_heard_s = process, read_now()
        elif process == self._holder:
            # It was released, or has ended.
            self._holder, self.holder_heard_s = None, -math.inf
        if 0 < status.settled <= self._find_current():
            self._record_settled(WindowId(status.settled))
            self.record_sent_before(WindowId(status.first_unsent))

    def apply_usage(self, origin: Origin, counts: WindowCounts) -> None:
        """Apply counts of another gateway."""
        current = self._find_current()
        # The clock of another gateway may be ahead.
        if current - 2 * KEPT_WINDOWS <= counts.window <= current + 1:
            self._group.apply(origin, counts, read_now())

    def find_first(self) -> WindowId:
        """Return the first window of the system, if none was settled yet."""
        told = self._group.find_first()
        return self._first if told is None else min(self._first, told)

    def find_oldest(self) -> WindowId:
        """Return the oldest window whose counts would still be kept."""
        first_open = self._times.find_first_open(self._read_wall_time())
        return WindowId(first_open - KEPT_WINDOWS)

    def find_counts(self, window: WindowId) -> Counts | None:
        """Return the counts of a window, or None if it can't be settled yet."""
        wall_s = self._read_wall_time()
        if window >= self._times.find_first_open(wall_s):
            return None
        is_complete = self._group.is_complete(window, read_now())
        if is_complete or self._times.is_overdue(window, wall_s):
            return self._group.sum_counts(window)
        return None

    def measure_age(self, window: WindowId) -> float:
        """Return the seconds since the end of a window."""
        return self._read_wall_time() - self._times.find_end(window)

    def record_settled(self, window: WindowId) -> None:
        """Record the newest window that is settled, and tell the other candidates."""
        self._record_settled(window)
        self.tell()

    @property
    def first_unsent(self) -> WindowId:
        """Return the window before which all reports are known to be accepted."""
        return self._first_unsent

    def record_sent_before(self, window: WindowId) -> None:
        """Record that the reports of all windows before another one were accepted."""
        if self._settled is not None and window <= self._settled + 1:
            self._first_unsent = max(self._first_unsent, window)

    def _record_settled(self, window: WindowId) -> None:
        if self._settled is not None and window <= self._settled:
            return
        self._settled = window
        following = WindowId(window + 1)
        self._own.close_before(following)
        self._own.drop_before(following)
        self._group.drop_before(following)

    def _begin_counting(self) -> None:
        """Begin with the current window when there first are accounts."""
        is_counting = self._is_counting
        if is_counting and not self._was_counting:
            self._first = self._find_current()
            self._own.drop_before(self._first)
        self._was_counting = is_counting

    def _update_windows(self) -> None:
        self._begin_counting()
        first_open = self._times.find_first_open(self._read_wall_time())
        self._own.close_before(first_open)
        self._group.drop_before(WindowId(first_open - KEPT_WINDOWS))

    def _sample_own_clock(self) -> None:
        self._clock.record(self._process, time.time(), read_boot_time())
        deviation_s = self._clock.own_deviation_s
        deviates = abs(deviation_s) > MAX_DEVIATION_S
        if deviates and not self._deviates:
            log_event(duty_events.CLOCK_DEVIATES, deviation_s=round(deviation_s, 2))
        self._deviates = deviates

    def _choose_packs(
        self, windows: list[WindowCounts], *, tell_all: bool
    ) -> list[tuple[WindowCounts, ...]]:
        """Return what is told at a time, as much as one datagram holds in each."""
        chosen = windows[:NEWEST_WINDOWS]
        older = windows[NEWEST_WINDOWS:]
        if tell_all:
            chosen += older
        elif older:
            chosen.append(older[self._turn % len(older)])
        packs = list(pack_counts(chosen)) or [()]
        begin = self._turn * MAX_DATAGRAMS % len(packs)
        return (packs[begin:] + packs[:begin])[:MAX_DATAGRAMS]

    def _choose_interval(self) -> float:
        if self._find_fencing() is not None:
            # The other candidates watch for the silence of the holder.
            return MIN_TELL_INTERVAL_S
        gateways = 1 + len(self._peers.heard)
        interval_s = gateways / TELLING_GATEWAYS_PER_S
        return min(max(MIN_TELL_INTERVAL_S, interval_s), MAX_TELL_INTERVAL_S)

    def _make_origin(self) -> Origin:
        return Origin(self._process, self._peers.incarnation)

    def _list_candidates(self) -> set[ProcessId]:
        return set(sorted({self._process, *self._peers.heard})[:MAX_CANDIDATES])

    def _find_current(self) -> WindowId:
        return self._times.find_window(self._read_wall_time())

    def _read_wall_time(self) -> float:
        return self._clock.convert(read_boot_time())


def pack_counts(windows: list[WindowCounts]) -> Iterator[tuple[WindowCounts, ...]]:
    """Divide counts into parts that fit into a datagram each."""
    pack: list[WindowCounts] = []
    room_bytes = MAX_COUNTS_BYTES
    for item in windows:
        counts: dict[AccountId, int] = {}
        room_bytes -= ROW_BYTES
        for account, count in item.counts.items():
            size_bytes = len(cbor2.dumps(account)) + PAIR_BYTES
            if size_bytes > room_bytes and (pack or counts):
                if counts:
                    pack.append(WindowCounts(item.window, counts, item.total))
                yield tuple(pack)
                pack, counts = [], {}
                room_bytes = MAX_COUNTS_BYTES - ROW_BYTES
            counts[account] = count
            room_bytes -= size_bytes
        if counts or not item.counts:
            pack.append(WindowCounts(item.window, counts, item.total))
    if pack:
        yield tuple(pack)
