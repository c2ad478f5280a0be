"""Acquisition, renewal and release of the lease of one pool.

Each candidate decides by its own monotonic clock whether a lease has expired: it may
take a lease whose object has not changed for a whole TTL since the candidate first read
that version. A holder counts the TTL from before it sent the write, and stops acting
ACT_MARGIN_S earlier. Therefore two holders never act at the same time unless the rates
of their clocks differ by more than the margin allows.

A holder that stops, or is no longer a candidate, releases the lease: it writes no more
orders, waits until none of its order writes is in flight, and then writes a lease
without a holder. That write raises the fencing number, because an abandoned order write
may still take effect before the next holder seals the order object. Agents then drop
that order, because its number differs from the lease's.

A store that is restored from a copy may name no holder, or an earlier one, while the
last one still acts and does not know of it. So each era has fencing numbers above those
of earlier eras; a lease with a lower one tells nothing of the last holder. Whoever
learns of a new era stops acting and waits for a TTL before it takes such a lease. Only
the holder may write it again at once, until its own time would have ended, because
nobody else can have acquired the lease by then.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from bramleyport.authority._documents import Lease
from bramleyport.authority._fencing import find_fencing_base, find_fencing_floor
from bramleyport.charts import ChartMachine, load_chart
from bramleyport.core import FencingNumber, StoreEra, StoreRevision

LEASE_TTL_S: Final = 10.0
RENEW_INTERVAL_S: Final = 3.0
# The target for replacing a killed holder is 13 s. At an interval of 3 s it took up to
# 13.2 s, including a candidate's ticks and the store's answers.
POLL_INTERVAL_S: Final = 2.5
# A holder acts for 6 s after it sent its last successful renewal. The remaining 4 s
# cover a write in flight and different rates of clocks.
ACT_MARGIN_S: Final = 4.0
REPLY_TIMEOUT_S: Final = 3.5
# A renewal is sent 3 s after the last one. If it has got no answer after this time, the
# lease is read, which leaves 1 s for the answer before the holder stops acting.
RENEWAL_REPLY_TIMEOUT_S: Final = 2.0
RETRY_DELAY_S: Final = 1.0
# The holder that a released lease names.
NO_HOLDER: Final = ""

# What a store gives an object at each write; compared for equality only.
LeaseVersion = int | StoreRevision


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimes:
    """Define the times of one lease, which all its candidates must share."""

    ttl_s: float = LEASE_TTL_S
    renew_interval_s: float = RENEW_INTERVAL_S
    poll_interval_s: float = POLL_INTERVAL_S
    # Time before the end of the TTL from which a holder does not act any more.
    act_margin_s: float = ACT_MARGIN_S
    reply_timeout_s: float = REPLY_TIMEOUT_S
    renewal_reply_timeout_s: float = RENEWAL_REPLY_TIMEOUT_S
    retry_delay_s: float = RETRY_DELAY_S


DEFAULT_LEASE_TIMES: Final = LeaseTimes()


@dataclass(frozen=True, slots=True)
class Tick:
    """Report that time has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRead:
    """Report a lease as read; None if its object does not exist."""

    op: int
    lease: Lease | None
    version: LeaseVersion


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseWritten:
    """Report that a write of the lease took effect."""

    op: int
    version: LeaseVersion


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseConflict:
    """Report that another writer changed the lease first."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseFailed:
    """Report a failed call that certainly had no effect."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseInDoubt:
    """Report a write that may have taken effect."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CandidacyChanged:
    """Report whether this process may hold the lease."""

    candidate: bool


@dataclass(frozen=True, slots=True)
class OrdersSettled:
    """Report that none of this holder's order writes is in flight."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EraObserved:
    """Report the era that the store names; it rises when the store is restored."""

    era: StoreEra


LeaseEvent = (
    Tick
    | LeaseRead
    | LeaseWritten
    | LeaseConflict
    | LeaseFailed
    | LeaseInDoubt
    | CandidacyChanged
    | OrdersSettled
    | EraObserved
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadLease:
    """Read the lease object."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteLease:
    """Write the lease if it has the expected version, or create it for None."""

    op: int
    expected: LeaseVersion | None
    lease: Lease


@dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """Start acting under a fencing number, until a given time."""

    fencing: FencingNumber
    until_s: float
    # Certainly nobody has held the lease before.
    is_first: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Extended:
    """Continue acting, until a later time."""

    until_s: float


@dataclass(frozen=True, slots=True)
class Revoked:
    """Stop acting at once."""


@dataclass(frozen=True, slots=True)
class SettleOrders:
    """Write no more orders and report when no order write is in flight."""


LeaseAction = ReadLease | WriteLease | Granted | Extended | SettleOrders | Revoked


@dataclass(frozen=True, slots=True, kw_only=True)
class _Pending:
    lease: Lease
    sent_s: float
    op: int
    is_first: bool


class LeaseManager:
    """Decide when to acquire, renew and release one lease.

    The era is that of the store, if it is known. If an earlier holder may act that the
    store does not name, the time is given by which it has certainly stopped.
    """

    def __init__(
        self,
        holder: str,
        make_token: Callable[[], str],
        era: StoreEra | None = None,
        earlier_holder_until_s: float | None = None,
        times: LeaseTimes = DEFAULT_LEASE_TIMES,
    ) -> None:
        self._times = times
        self.holder = holder
        self.until_s = 0.0
        self.fencing: FencingNumber | None = None
        self._make_token = make_token
        self._machine = ChartMachine(load_chart("lease"))
        self._op = 0
        self._op_sent_s: float | None = None
        self._next_due_s = 0.0
        self._version: LeaseVersion | None = None
        self._highest_fencing = 0
        self._unchanged_since_s = 0.0
        self._was_read = False
        self._era = era
        self._earlier_holder_until_s = earlier_holder_until_s
        # Until then this process may write the lease that it held in the last era.
        self._rewrite_until_s = -math.inf
        self._pending: _Pending | None = None
        self._candidate = True

    @property
    def settling(self) -> bool:
        """Return whether the release waits for order writes in flight."""
        return self._machine.state == "settling"

    @property
    def releasing(self) -> bool:
        """Return whether the release is being written to the store."""
        return self._machine.state == "releasing"

    @property
    def idle(self) -> bool:
        """Return whether this process is no candidate and has no lease to release."""
        return self._machine.state == "standby" and not self._candidate

    def may_act(self, now_s: float) -> bool:
        """Return whether this process may give orders now."""
        return self.fencing is not None and now_s < self.until_s

    def step(self, event: LeaseEvent, now_s: float) -> list[LeaseAction]:
        """Process an event and return the resulting actions."""
        actions: list[LeaseAction] = []
        if self.fencing is not None and now_s >= self.until_s:
            actions += self._advance("lapsed", now_s)
        if isinstance(event, EraObserved):
            return actions + self._observe_era(event.era, now_s)
        if isinstance(event, CandidacyChanged):
            self._candidate = event.candidate
            return actions + self._check_candidacy(now_s)
        if isinstance(event, OrdersSettled):
            return actions + self._advance("settled", now_s)
        if isinstance(event, Tick):
            return actions + self._check_candidacy(now_s) + self._tick(now_s)
        if self._is_late_renewal(event):
            assert isinstance(event, LeaseWritten) and self._pending is not None
            self._record_version(self._pending.lease, event.version, now_s)
            self._abandon_call()
            return actions + self._advance("confirmed", now_s)
        if event.op != self._op:
            return actions  # the answer to an abandoned call
        self._op_sent_s = None
        if not self._candidate and self._machine.state == "following":
            return actions + self._advance("dismissed", now_s)
        return actions + self._advance(self._classify(event, now_s), now_s)

    def _observe_era(self, era: StoreEra, now_s: float) -> list[LeaseAction]:
        if self._era is not None and era <= self._era:
            return []
        self._era = era
        self._earlier_holder_until_s = now_s + self._times.ttl_s
        is_holder = self.fencing is not None
        self._rewrite_until_s = self.until_s if is_holder else -math.inf
        self._was_read, self._version, self._pending = False, None, None
        self._abandon_call()
        self._next_due_s = now_s
        return self._advance("restored", now_s)

    def _check_candidacy(self, now_s: float) -> list[LeaseAction]:
        # Await the answer to a call in flight: it may make this process the holder.
        if self._op_sent_s is not None:
            return []
        return self._advance("elected" if self._candidate else "dismissed", now_s)

    def _tick(self, now_s: float) -> list[LeaseAction]:
        if self._op_sent_s is not None:
            if now_s - self._op_sent_s < self._get_reply_timeout():
                return []
        elif now_s < self._next_due_s:
            return []
        return self._advance("due", now_s)

    def _get_reply_timeout(self) -> float:
        is_renewing = self._machine.state == "renewing"
        times = self._times
        return times.renewal_reply_timeout_s if is_renewing else times.reply_timeout_s

    def _is_late_renewal(self, event: LeaseEvent) -> bool:
        """Return whether a renewal is answered while the lease is read to check it."""
        return (
            isinstance(event, LeaseWritten)
            and self._machine.state == "renewing_in_doubt"
            and self._pending is not None
            and event.op == self._pending.op
        )

    def _classify(self, event: LeaseEvent, now_s: float) -> str:
        self._next_due_s = now_s + self._times.retry_delay_s
        if isinstance(event, LeaseRead):
            return self._classify_read(event, now_s)
        if isinstance(event, LeaseWritten):
            assert self._pending is not None
            self._record_version(self._pending.lease, event.version, now_s)
            return "written"
        if isinstance(event, LeaseConflict):
            return "conflict"
        return "failed" if isinstance(event, LeaseFailed) else "doubt"

    def _classify_read(self, event: LeaseRead, now_s: float) -> str:
        pending = self._pending
        if event.lease is None:
            self._was_read, self._version = True, None
            return self._check_expiry(self._find_earlier_expiry(now_s), now_s)
        if not self._was_read or event.version != self._version:
            self._record_version(event.lease, event.version, now_s)
        in_doubt = self._machine.state.endswith("_in_doubt")
        if in_doubt and pending and event.lease.token == pending.lease.token:
            return "confirmed"
        expiry_s = self._unchanged_since_s + self._times.ttl_s
        if event.lease.fencing < find_fencing_floor(self._era):
            # It is of a copy, or was written in an earlier era and arrived late.
            if now_s < self._rewrite_until_s:
                return "free"
            expiry_s = max(expiry_s, self._find_earlier_expiry(now_s))
            return self._check_expiry(expiry_s, now_s)
        # A renewal can't continue a lease that another holder released.
        if event.lease.holder == NO_HOLDER:
            return "free" if self.fencing is None else "taken"
        # A holder at once replaces a lease of its own that it never used or that has
        # expired, under a higher number. It replaces another's only after its expiry.
        if event.lease.holder == self.holder:
            return "free"
        return self._check_expiry(expiry_s, now_s)

    def _find_earlier_expiry(self, now_s: float) -> float:
        """Return when a holder that the store may not name has stopped acting."""
        if self._earlier_holder_until_s is None or now_s < self._rewrite_until_s:
            return -math.inf
        return self._earlier_holder_until_s

    def _check_expiry(self, expiry_s: float, now_s: float) -> str:
        if now_s >= expiry_s:
            return "free"
        self._next_due_s = min(now_s + self._times.poll_interval_s, expiry_s)
        return "taken"

    def _record_version(
        self, lease: Lease, version: LeaseVersion, now_s: float
    ) -> None:
        self._was_read = True
        self._highest_fencing = max(self._highest_fencing, lease.fencing)
        self._version, self._unchanged_since_s = version, now_s

    def _advance(self, event: str, now_s: float) -> list[LeaseAction]:
        actions: list[LeaseAction] = []
        for name in self._machine.step(event):
            actions.append(getattr(self, f"_do_{name}")(now_s))
        return actions

    def _start_op(self, now_s: float) -> int:
        self._op += 1
        self._op_sent_s = now_s
        return self._op

    def _do_read(self, now_s: float) -> LeaseAction:
        return ReadLease(op=self._start_op(now_s))

    def _do_write(self, now_s: float) -> LeaseAction:
        fencing = self.fencing
        if fencing is None:
            fencing = self._choose_fencing()
        lease = Lease(holder=self.holder, fencing=fencing, token=self._make_token())
        return self._write(lease, now_s)

    def _do_settle(self, now_s: float) -> LeaseAction:
        return SettleOrders()

    def _do_release(self, now_s: float) -> LeaseAction:
        lease = self._make_released_lease()
        return self._write(lease, now_s)

    def _write(self, lease: Lease, now_s: float) -> LeaseAction:
        op = self._start_op(now_s)
        is_first = self._version is None and self._earlier_holder_until_s is None
        self._pending = _Pending(lease=lease, sent_s=now_s, op=op, is_first=is_first)
        return WriteLease(op=op, expected=self._version, lease=lease)

    def _choose_fencing(self) -> FencingNumber:
        revision = self._version if isinstance(self._version, StoreRevision) else None
        base = find_fencing_base(self._era, revision)
        return FencingNumber(max(self._highest_fencing, base) + 1)

    def _make_released_lease(self) -> Lease:
        fencing = self._choose_fencing()
        return Lease(holder=NO_HOLDER, fencing=fencing, token=self._make_token())

    def _confirm_pending(self, now_s: float) -> FencingNumber:
        assert self._pending is not None
        act_s = self._times.ttl_s - self._times.act_margin_s
        self.until_s = self._pending.sent_s + act_s
        self._next_due_s = self._pending.sent_s + self._times.renew_interval_s
        return self._pending.lease.fencing

    def _do_grant(self, now_s: float) -> LeaseAction:
        self.fencing = self._confirm_pending(now_s)
        assert self._pending is not None
        return Granted(
            fencing=self.fencing,
            until_s=self.until_s,
            is_first=self._pending.is_first,
        )

    def _do_extend(self, now_s: float) -> LeaseAction:
        self._confirm_pending(now_s)
        return Extended(until_s=self.until_s)

    def _do_revoke(self, now_s: float) -> LeaseAction:
        self.fencing = None
        self._pending = None
        self._abandon_call()  # ignore answers to calls made under the lost lease
        return Revoked()

    def _abandon_call(self) -> None:
        self._op += 1
        self._op_sent_s = None
