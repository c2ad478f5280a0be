"""Guard the settling of usage windows against failures at any step, and its parts."""

from dataclasses import dataclass, field, replace
from random import Random

import pytest

from bramleyport.core import AccountId, ProcessId, StoreEra
from bramleyport.duties import (
    KEPT_WINDOWS,
    Backoff,
    CallPacing,
    Counts,
    GroupClock,
    GroupCounts,
    LedgerDocument,
    Origin,
    OwnCounts,
    RunTimes,
    UsageLedger,
    WindowCounts,
    WindowId,
    WindowTimes,
)
from bramleyport.duties._pacing import MAX_DELAY_S
from bramleyport.gateway._usage import MAX_COUNTS_BYTES, pack_counts
from bramleyport.platform._duties import CALL_TIMEOUT_S
from bramleyport.platform._usage_ledger import decode_ledger, encode_ledger

ACCOUNT = AccountId("kelani")
FIRST = WindowId(1000)
GATEWAYS = 4
STEPS = 400
SEEDS = range(150)
TIMES = WindowTimes.plan(5.0, 10.0)


@dataclass(slots=True)
class SimulatedGateway:
    """Represent a process that may hold the duty, with what it knows."""

    ledger: UsageLedger = field(default_factory=UsageLedger)
    # Revision at which it read or wrote the stored document, and in which era.
    known: tuple[int, int] | None = None
    is_loaded: bool = False
    settled_told: WindowId | None = None


class DutySimulation:
    """Play holders of the duty, a store and a platform API, in an order from a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now_s = 0.0
        self.window = self.first = FIRST
        self.stored: LedgerDocument | None = None
        self.revision, self.era = 0, 1
        self.copy: tuple[LedgerDocument | None, int] = (None, 0)
        self.gateways = [SimulatedGateway() for _ in range(GATEWAYS)]
        self.holder = self.gateways[0]
        # Writes that were sent and may take effect later, with their conditions.
        self.late: list[tuple[LedgerDocument, tuple[int, int]]] = []
        self.accepted: dict[WindowId, list[Counts]] = {}
        self.was_restored = False

    def run(self) -> None:
        actions = [
            (self.pass_window, 4),
            (self.settle, 12),
            (self.send, 12),
            (self.replace_holder, 2),
            (self.kill_holder, 1),
            (self.kill_all, 0.3),
            (self.land_late_write, 2),
            (self.copy_store, 1),
            (self.restore_store, 1),
        ]
        chosen = [action for action, _ in actions]
        weights = [float(weight) for _, weight in actions]
        for _ in range(STEPS):
            self.rng.choices(chosen, weights)[0]()
        # All works again: one more window is settled, and all is sent.
        self.late.clear()
        last = self.window
        self.window = WindowId(self.window + 1)
        for _ in range(8):
            self.now_s += 10.0
            self.settle(faults=False)
            while self.send(faults=False):
                pass
        assert last in self.accepted

    def pass_window(self) -> None:
        self.now_s += 5.0
        self.window = WindowId(self.window + 1)

    def replace_holder(self) -> None:
        """Let another process hold the duty; it may have held it before."""
        self.holder.is_loaded = False
        self.holder = self.rng.choice(self.gateways)
        self.holder.is_loaded = False

    def kill_holder(self) -> None:
        told = max((item.settled_told or 0 for item in self.gateways), default=0)
        index = self.gateways.index(self.holder)
        new = SimulatedGateway(settled_told=WindowId(told) if told else None)
        self.gateways[index] = new
        self.replace_holder()

    def kill_all(self) -> None:
        self.gateways = [SimulatedGateway() for _ in range(GATEWAYS)]
        self.first = self.window
        self.holder = self.gateways[0]

    def copy_store(self) -> None:
        self.copy = (self.stored, self.revision)

    def restore_store(self) -> None:
        if self.rng.random() < 0.5:
            return
        self.stored, self.revision = self.copy
        self.era += 1
        self.was_restored = True
        # The client refuses what was sent in the era before, and reads again.
        self.late.clear()
        for gateway in self.gateways:
            gateway.is_loaded = False

    def land_late_write(self) -> None:
        if self.late:
            document, condition = self.late.pop()
            self._write(document, condition)

    def settle(self, *, faults: bool = True) -> None:
        fault = self.rng.random() if faults else 1.0
        holder = self.holder
        if not holder.is_loaded:
            if fault < 0.2:
                return
            stored = self.stored
            if stored is not None:
                stored = decode_ledger(encode_ledger(stored))
            holder.ledger.load(
                stored, holder.settled_told, self.first, StoreEra(self.era)
            )
            holder.known, holder.is_loaded = (self.revision, self.era), True
            assert holder.ledger.next_window is not None
            self._tell_settled(holder.ledger.next_window)
        document = holder.ledger.propose(self._find_counts)
        if document is None:
            return
        document = replace(document, era=StoreEra(self.era))
        assert holder.known is not None
        if fault < 0.15:
            # Sent, without an answer; it may take effect later.
            self.late.append((document, holder.known))
            holder.is_loaded = False
            return
        done = self._write(document, holder.known)
        if not done or fault < 0.3:
            holder.is_loaded = False
            return
        holder.known = (self.revision, self.era)
        holder.ledger.confirm(document)
        self._tell_settled(document.next_window)

    def send(self, *, faults: bool = True) -> bool:
        ledger = self.holder.ledger
        if not self.holder.is_loaded:
            return False
        found = ledger.find_unsent(self.now_s)
        if found is None:
            return False
        window, counts = found
        fault = self.rng.random() if faults else 1.0
        if fault > 0.2:
            known = self.accepted.setdefault(window, [])
            if counts not in known:
                known.append(counts)
        if fault < 0.4:
            ledger.record_failure(window, self.now_s)
        else:
            ledger.record_sent(window)
        return True

    def _tell_settled(self, next_window: WindowId) -> None:
        newest = WindowId(next_window - 1)
        for gateway in self.gateways:
            gateway.settled_told = max(gateway.settled_told or newest, newest)

    def _find_counts(self, window: WindowId) -> Counts | None:
        # Each holder knows other counts, and other ones each time.
        return None if window >= self.window else {ACCOUNT: self.rng.randrange(10**9)}

    def _write(self, document: LedgerDocument, condition: tuple[int, int]) -> bool:
        if condition != (self.revision, self.era):
            return False
        self.stored = document
        self.revision += 1
        return True


@pytest.mark.parametrize("seed", SEEDS)
def test_no_window_gets_two_counts_and_none_is_missed(seed: int) -> None:
    simulation = DutySimulation(seed)
    simulation.run()
    windows = simulation.accepted
    assert {len(counts) for counts in windows.values()} == {1}
    if not simulation.was_restored:
        assert sorted(windows) == list(range(FIRST, max(windows) + 1))


# Guards against windows that are never sent while the platform API accepts reports, but
# answers later than the holder waits.
def test_reports_that_are_never_answered_hold_up_no_others() -> None:
    ledger = UsageLedger()
    ledger.load(None, None, FIRST)
    last = WindowId(FIRST + 9)
    document = ledger.propose(lambda window: {} if window <= last else None)
    assert document is not None
    ledger.confirm(document)
    now_s, sent = 0.0, set()
    for _ in range(30):
        found = ledger.find_unsent(now_s)
        now_s += MAX_DELAY_S
        if found is not None:
            sent.add(found[0])
            now_s += CALL_TIMEOUT_S
            ledger.record_failure(found[0], now_s)
    assert sent == set(range(FIRST, last + 1))


# Guards against a document that the store refuses, and against lost reports.
def test_document_stays_below_a_megabyte_while_reports_wait() -> None:
    ledger = UsageLedger()
    ledger.load(None, None, FIRST)
    names = [AccountId(f"account-{number:08}") for number in range(20_000)]
    counts = dict.fromkeys(names, 7)
    last = WindowId(FIRST + 10)
    for _ in range(20):
        document = ledger.propose(lambda window: counts if window <= last else None)
        if document is not None:
            assert len(str(encode_ledger(document))) < 10**6
            ledger.confirm(document)
        found = ledger.find_unsent(0.0)
        if found is not None:
            assert found[1] == counts
            ledger.record_sent(found[0])
    assert ledger.next_window == last + 1
    assert ledger.unsent == 0


def test_window_that_no_document_holds_is_cut() -> None:
    ledger = UsageLedger()
    ledger.load(None, None, FIRST)
    counts = {AccountId(f"{number:0500}"): number for number in range(3000)}
    document = ledger.propose(lambda window: counts if window == FIRST else None)
    assert document is not None and len(str(encode_ledger(document))) < 10**6
    assert ledger.cut_accounts + len(document.windows[FIRST]) == len(counts)


def test_counts_are_summed_whatever_is_lost_or_comes_twice() -> None:
    group = GroupCounts(TIMES)
    origins = [Origin(ProcessId(f"g{number}"), 1) for number in range(3)]
    rng = Random(5)
    tellings = [
        (origin, WindowCounts(FIRST, {ACCOUNT: count}, 9 if count == 9 else None))
        for origin in origins
        for count in (2, 5, 9)
    ]
    rng.shuffle(tellings)
    for origin, told in [*tellings, *tellings[:4]]:
        group.apply(origin, told, 0.0)
    assert group.sum_counts(FIRST) == {ACCOUNT: 27}
    assert group.is_complete(FIRST, 0.5)
    # The counts of a process that ended stay beside those of the next one.
    restarted = replace(origins[0], incarnation=2)
    group.apply(restarted, WindowCounts(FIRST, {ACCOUNT: 1}), 1.0)
    assert group.sum_counts(FIRST) == {ACCOUNT: 28}
    assert not group.is_complete(FIRST, 1.5)


def test_call_of_a_closed_window_counts_in_the_next_open_one() -> None:
    own = OwnCounts(FIRST)
    own.record(ACCOUNT, FIRST)
    own.close_before(WindowId(FIRST + 1))
    own.record(ACCOUNT, FIRST)
    assert [(item.window, item.total) for item in own.list_windows()] == [
        (FIRST + 1, None),
        (FIRST, 1),
    ]
    own.close_before(WindowId(FIRST + 10 * KEPT_WINDOWS))
    assert len(list(own.list_windows())) == KEPT_WINDOWS + 1


def test_clock_that_jumps_moves_no_window() -> None:
    clock = GroupClock(ProcessId("g0"))
    for second in range(120):
        for number in range(3):
            jumped_s = 7.0 if number == 0 and 40 <= second < 70 else 0.0
            wall_s = 1e9 + second + 0.01 * number + jumped_s
            clock.record(ProcessId(f"g{number}"), wall_s, float(second))
        assert abs(clock.convert(second) - 1e9 - second) < 0.1
    # A gateway that is alone follows its clock only once it stays where it is.
    alone = GroupClock(ProcessId("g0"))
    for second in range(100):
        jumped_s = -5.0 if 50 <= second < 60 else 0.0
        alone.record(ProcessId("g0"), 1e9 + second + jumped_s, float(second))
        assert abs(alone.convert(second) - 1e9 - second) < 0.1


def test_begin_of_a_run_is_estimated_without_its_wait() -> None:
    times: RunTimes[str] = RunTimes()
    for waited_s in (0.0, 0.0, 2.0, 0.0, 1.0):
        times.record("read", 0.3 + waited_s)
    assert times.estimate_begin("read", 10.0, 12.3) == pytest.approx(12.0, abs=0.05)
    assert times.estimate_begin("read", 10.0, 10.1) == 10.0


@pytest.mark.parametrize("per_s", [0.5, 2.0, 10.0])
def test_calls_keep_to_the_rate_and_failures_back_off(per_s: float) -> None:
    pacing, backoff = CallPacing(per_s), Backoff()
    now_s, sent = 100.0, []
    for _ in range(50):
        now_s += pacing.take(now_s)
        sent.append(now_s)
    for start_s in sent:
        inside = sum(start_s <= item < start_s + 1 / per_s for item in sent)
        assert inside == 1
    delays = []
    for _ in range(8):
        backoff.record_failure(now_s)
        delays.append(backoff.until_s - now_s)
    assert delays == sorted(delays) and delays[0] < 0.5 and delays[-1] == delays[-2]


def test_counts_of_many_accounts_fit_into_datagrams() -> None:
    many = {AccountId("n" * (number % 512 + 1)): number for number in range(2000)}
    windows = [WindowCounts(FIRST, many, 9), WindowCounts(WindowId(FIRST + 1), {})]
    told: dict[AccountId, int] = {}
    seen = set()
    for pack in pack_counts(windows):
        seen |= {item.window for item in pack}
        for item in pack:
            told |= item.counts
        size_bytes = sum(len(name) for item in pack for name in item.counts)
        assert size_bytes <= MAX_COUNTS_BYTES
    assert told == many and len(seen) == 2
