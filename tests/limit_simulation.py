"""Simulate gateways, in virtual time, that send to one upstream with a rate limit."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bramleyport.core import ProcessId
from bramleyport.fleet import GatewayRoster, Registration
from bramleyport.gateway._peer_messages import make_limit_notice, make_limit_update
from bramleyport.gateway._rate_limits import RateLimiter
from bramleyport.gateway._shared_facts import LimitUpdate
from bramleyport.platform import decode_answer
from tests.fleet_builders import make_call, make_engine
from tests.rate_window import SETTLE_S, WINDOW_S, count_allowed

ANNOUNCE_INTERVAL_S = 1.0
DIRECT_DELAY_S = 0.002
# An answer that is sent again by the network arrives this much later.
LATE_ANSWER_S = 1.5
LATE_FRACTION = 0.05


@dataclass(slots=True)
class LimitChange:
    """Describe the limit that the upstream names from a point in time."""

    at_s: float
    # Requests a second; None if the upstream names none.
    rate: float | None


@dataclass(slots=True)
class SimulatedGateway:
    """Represent one gateway process."""

    process: ProcessId
    roster: GatewayRoster
    limiter: RateLimiter
    incarnation: int
    running: bool = True
    # The newest process of each gateway that this one has heard.
    heard: dict[ProcessId, int] = field(default_factory=dict)
    # Gateways in other groups receive nothing from this one.
    group: int = 0
    # The only gateways that this one receives anything from; None for all.
    hears_only: set[ProcessId] | None = None


@dataclass(slots=True)
class LimitSimulation:
    """Represent gateways whose calls all go to one upstream."""

    random: Random
    loss: float
    demand_per_s: float
    now_s: float = 0.0
    changes: list[LimitChange] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    # When a gateway sent a notice to its peers.
    notices: list[float] = field(default_factory=list)
    gateways: dict[ProcessId, SimulatedGateway] = field(default_factory=dict)
    listed: set[ProcessId] = field(default_factory=set)
    target: Registration = field(default_factory=lambda: make_engine("d0"))
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    def change_limit(self, rate: float | None) -> None:
        self.changes.append(LimitChange(self.now_s, rate))

    def restart_upstream(self) -> None:
        """Start the upstream again under its name; it names its limit as before."""
        self.target = make_engine("d0", started_ms=self.target.started_ms + 1)
        rate = self.changes[-1].rate if self.changes else None
        self.changes.append(LimitChange(self.now_s, None))
        self.changes.append(LimitChange(self.now_s, rate))

    def start_gateway(self, name: str) -> None:
        """Start a gateway, or start it again: it reads the list, then announces."""
        process = ProcessId(name)
        roster = GatewayRoster(process)
        limiter = RateLimiter(process, roster)
        number = next(self._numbers)
        gateway = SimulatedGateway(process, roster, limiter, incarnation=number)
        self.gateways[process] = gateway
        self.listed.add(process)
        roster.record_listed(self.listed - {process}, self.now_s)
        self._announce(gateway)
        self._schedule_call(gateway)

    def kill_gateway(self, name: str) -> None:
        self.gateways[ProcessId(name)].running = False

    def count_excess(self) -> float:
        """Return by how much the arrivals of any window exceed what is allowed.

        A window counts if the upstream has named limits since SETTLE_S before it. The
        highest of them applies.
        """
        excess = float("-inf")
        for end_s in self.arrivals:
            begin_s = end_s - WINDOW_S
            rates = self._list_rates(begin_s - SETTLE_S, end_s)
            known = [rate for rate in rates if rate is not None]
            if len(known) < len(rates):
                continue
            count = sum(begin_s < time_s <= end_s for time_s in self.arrivals)
            excess = max(excess, count - count_allowed(max(known)))
        return excess

    def _list_rates(self, begin_s: float, end_s: float) -> list[float | None]:
        rates: list[float | None] = []
        current: float | None = None
        for change in self.changes:
            if change.at_s <= begin_s:
                current = change.rate
            elif change.at_s <= end_s:
                rates.append(change.rate)
        return [current, *rates]

    def _schedule_call(self, gateway: SimulatedGateway) -> None:
        delay_s = self.random.expovariate(self.demand_per_s)

        def send() -> None:
            if gateway.running:
                self._try_send(gateway)
                self._schedule_call(gateway)

        self.call_at(self.now_s + delay_s, send)

    def _try_send(self, gateway: SimulatedGateway) -> None:
        call = make_call(deadline_s=self.now_s + 5.0)
        limiter = gateway.limiter
        target = self.target
        if limiter.find_blocked(call, [target], [target], self.now_s):
            return
        limiter.take(target, self.now_s)
        sent_s = self.now_s
        self.call_at(
            sent_s + DIRECT_DELAY_S, lambda: self._arrive(gateway, target, sent_s)
        )

    def _arrive(
        self, gateway: SimulatedGateway, target: Registration, sent_s: float
    ) -> None:
        self.arrivals.append(self.now_s)
        answered_s = self.now_s + 0.02 + 0.6 * self.random.random()
        self.call_at(answered_s, lambda: self._answer(gateway, target, sent_s))

    def _answer(
        self, gateway: SimulatedGateway, target: Registration, sent_s: float
    ) -> None:
        if target.started_ms != self.target.started_ms:
            return
        headers = [(b"Server-Stamp", b"s")]
        rate = self.changes[-1].rate if self.changes else None
        if rate is not None:
            headers.append((b"Server-Limit", str(rate).encode()))
        head = decode_answer(200, headers)
        late = self.random.random() < LATE_FRACTION
        delay_s = DIRECT_DELAY_S + (LATE_ANSWER_S if late else 0.0)

        def receive() -> None:
            if gateway.running:
                gateway.limiter.record_answer(target, head, sent_s, self.now_s)
                self._publish(gateway)

        self.call_at(self.now_s + delay_s, receive)

    def _publish(self, gateway: SimulatedGateway) -> None:
        for notice in gateway.limiter.take_due_notices(self.now_s):
            update = make_limit_update(notice, self.now_s)
            self.notices.append(self.now_s)
            for peer in list(self.gateways.values()):
                self._deliver(gateway, peer, update)

    def _announce(self, gateway: SimulatedGateway) -> None:
        if not gateway.running:
            return
        self._publish(gateway)
        gateway.roster.drop_silent(self.now_s)
        for peer in list(self.gateways.values()):
            self._deliver(gateway, peer, None)
        self.call_at(self.now_s + ANNOUNCE_INTERVAL_S, lambda: self._announce(gateway))

    def _deliver(
        self,
        sender: SimulatedGateway,
        receiver: SimulatedGateway,
        update: LimitUpdate | None,
    ) -> None:
        if receiver is sender or sender.group != receiver.group:
            return
        if (
            receiver.hears_only is not None
            and sender.process not in receiver.hears_only
        ):
            return
        if self.random.random() < self.loss:
            return
        delay_s = 0.05 * self.random.random()

        def receive() -> None:
            if receiver.running:
                self._receive(sender, receiver, update)

        self.call_at(self.now_s + delay_s, receive)

    def _receive(
        self,
        sender: SimulatedGateway,
        receiver: SimulatedGateway,
        update: LimitUpdate | None,
    ) -> None:
        is_new = receiver.heard.get(sender.process, -1) < sender.incarnation
        receiver.heard[sender.process] = sender.incarnation
        receiver.roster.record_heard(sender.process, self.now_s)
        if update is not None:
            notice = make_limit_notice(update, sender.process, self.now_s)
            receiver.limiter.apply_notice(notice, self.now_s)
        if is_new:
            for known in receiver.limiter.list_notices():
                self._deliver(receiver, sender, make_limit_update(known, self.now_s))
