"""Test the ranked queue: shares, fairness, drops and bounds."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bramleyport.agent._scheduler import AgentScheduler
from bramleyport.core import (
    AccountId,
    AttemptId,
    Rank,
    RegionName,
    RequestId,
    ServiceKind,
    ServiceName,
    Targets,
    UpstreamId,
    UpstreamView,
    Work,
    ZoneName,
)
from bramleyport.estimate import LearnedEstimator
from bramleyport.queueing import QUEUE_POLICIES, Queued, QueuedWork, Refused
from bramleyport.queueing._account_queue import MAX_IDLE_TAGS
from bramleyport.queueing._ranked import MAX_QUEUED_PER_RANK, RankedQueue
from bramleyport.telemetry import Metrics

SHARES = {Rank.URGENT: 0.5, Rank.STANDARD: 0.2, Rank.BATCH: 0.1}
STREAMS = 8


def make_item(
    number: int,
    rank: Rank = Rank.BATCH,
    account: str = "a",
    now_s: float = 0.0,
    first_token_limit_s: float = 1e6,
    cost_s: float = 1.0,
) -> QueuedWork:
    work = Work(
        request=RequestId(f"r{number}"),
        account=AccountId(account),
        service=ServiceName("s"),
        kind=ServiceKind.LANGUAGE,
        rank=rank,
        targets=Targets(
            first_token_s=first_token_limit_s,
            between_tokens_s=1.0,
            answer_s=2 * first_token_limit_s,
            guaranteed_share=SHARES[rank],
        ),
        arrived_s=now_s,
    )
    return QueuedWork(
        attempt=AttemptId(f"t{number}"),
        work=work,
        deadline_s=work.answer_deadline_s,
        prefill_s=cost_s,
    )


def count_cost(taken: list[QueuedWork]) -> dict[Rank, float]:
    cost = dict.fromkeys(Rank, 0.0)
    for item in taken:
        cost[item.work.rank] += item.prefill_s
    return cost


def serve(queue: RankedQueue, starts: int) -> list[QueuedWork]:
    """Run one item at a time on a fully used upstream."""
    taken: list[QueuedWork] = []
    for step in range(starts):
        for item in queue.take(float(step), 1):
            taken.append(item)
            queue.finish(item.attempt, float(step))
    return taken


@settings(max_examples=25)
@given(
    costs=st.lists(st.floats(0.01, 2.0), min_size=9, max_size=9),
    starts=st.integers(50, 200),
)
def test_waiting_ranks_get_their_shares_of_cost(
    costs: list[float], starts: int
) -> None:
    """Shares counted in requests instead of cost would favor expensive requests."""
    queue = RankedQueue(STREAMS)
    for number in range(900):
        rank = list(Rank)[number % 3]
        queue.offer(make_item(number, rank, cost_s=costs[number % 9]), 0.0)
    cost_by_rank = count_cost(serve(queue, starts))
    total_s = sum(cost_by_rank.values())
    for rank, share in SHARES.items():
        assert cost_by_rank[rank] >= share * total_s - 3 * max(costs)


def test_urgent_is_first_up_to_the_shares_of_the_others() -> None:
    """Urgent work must also get the capacity that no share guarantees to others."""
    queue = RankedQueue(STREAMS)
    for number in range(300):
        queue.offer(make_item(number, list(Rank)[number % 3]), 0.0)
    taken = serve(queue, 100)
    cost_by_rank = count_cost(taken)
    assert taken[0].work.rank is Rank.URGENT
    reasons = {item.explanation.reason for item in taken if item.explanation}
    assert reasons == {"most_urgent", "owed_share"}
    assert cost_by_rank[Rank.URGENT] >= 0.7 * 100 - 2


def test_capacity_borrowed_while_others_were_idle_is_not_paid_back() -> None:
    """Otherwise a rank that ran alone would starve once urgent work arrives."""
    queue = RankedQueue(STREAMS)
    for number in range(900):
        queue.offer(make_item(number, Rank.STANDARD), 0.0)
    serve(queue, 200)
    for number in range(1000, 1400):
        queue.offer(make_item(number, Rank.URGENT, now_s=200.0), 200.0)
    cost_by_rank = count_cost(serve(queue, 100))
    assert cost_by_rank[Rank.STANDARD] >= 0.2 * 100 - 2


@settings(max_examples=25)
@given(st.randoms(use_true_random=False), st.integers(2, 20))
def test_accounts_share_a_rank_equally(rng: Random, accounts: int) -> None:
    """One account with a long backlog must not delay the others."""
    queue = RankedQueue(STREAMS)
    for number in range(400):
        queue.offer(make_item(number, account="flood"), 0.0)
    for other in range(accounts):
        for number in range(5):
            cost_s = rng.uniform(0.1, 1.0)
            item = make_item(1000 + other * 5 + number, account=f"a{other}")
            queue.offer(replace(item, prefill_s=cost_s), 0.0)
    taken = serve(queue, 7 * (accounts + 1) + 20)
    served = {item.work.account for item in taken}
    assert served >= {AccountId(f"a{other}") for other in range(accounts)}
    others = [i for i, item in enumerate(taken) if item.work.account != "flood"]
    assert len(others) == 5 * accounts


def test_flood_of_one_account_leaves_room_for_others() -> None:
    queue = RankedQueue(STREAMS)
    refused = [
        decision
        for number in range(3000)
        if isinstance(decision := queue.offer(make_item(number), 0.0), Refused)
    ]
    assert {decision.explanation.reason for decision in refused} == {
        "account_queue_full"
    }
    assert all(decision.retry_after_s >= 1.0 for decision in refused)
    other = queue.offer(make_item(5000, account="b"), 0.0)
    urgent = queue.offer(make_item(5001, Rank.URGENT), 0.0)
    assert isinstance(other, Queued)
    assert isinstance(urgent, Queued)


def test_queue_stays_bounded_with_many_accounts() -> None:
    """41,000 accounts is the size that the system is built for."""
    queue = RankedQueue(STREAMS)
    for number in range(41_000):
        now_s = float(number)
        queue.offer(make_item(number, account=f"a{number}", now_s=now_s), now_s)
        if number % 2:
            for item in queue.take(now_s, 1):
                queue.finish(item.attempt, now_s)
    accounts = queue._ranks[Rank.BATCH]
    assert len(queue) <= MAX_QUEUED_PER_RANK
    assert len(accounts._active) <= MAX_QUEUED_PER_RANK
    assert len(accounts._idle_tags) <= MAX_IDLE_TAGS
    assert len(queue._by_latest_start) == len(queue._entries) == len(queue)


def test_work_that_cannot_be_in_time_is_refused_with_retry_after() -> None:
    queue = RankedQueue(1)
    queue.take(0.0, 1)
    first = queue.offer(make_item(0, first_token_limit_s=30.0, cost_s=10.0), 0.0)
    [running] = queue.take(0.0, 1)
    second = queue.offer(make_item(1, first_token_limit_s=30.0, cost_s=10.0), 0.0)
    third = queue.offer(make_item(2, first_token_limit_s=5.0, cost_s=10.0), 0.0)
    late = [
        queue.offer(make_item(n, first_token_limit_s=30.0, cost_s=10.0), 0.0)
        for n in (3, 4)
    ]
    assert isinstance(first, Queued)
    assert running.attempt == "t0"
    assert isinstance(second, Queued)
    assert isinstance(third, Refused)
    assert third.explanation.reason == "too_late"
    assert isinstance(late[-1], Refused)
    assert late[-1].explanation.reason == "wait_too_long"
    assert late[-1].retry_after_s >= 1.0


def test_uncertain_length_does_not_drop_work_that_may_be_in_time() -> None:
    """Otherwise a first request with a large declared limit would never run."""
    queue = RankedQueue(STREAMS)
    item = make_item(0, first_token_limit_s=10.0, cost_s=0.1)
    long_answer = replace(item, decode_s=25.0, spread_s=20.0)
    assert isinstance(queue.offer(long_answer, 0.0), Queued)
    assert queue.take(0.0, 1) == [long_answer]


def test_slow_decoding_holds_batch_back_to_its_share() -> None:
    """Batch prefill must not slow down urgent streams beyond their target."""
    queue = RankedQueue(STREAMS)
    urgent = make_item(0, Rank.URGENT)
    targets = replace(urgent.work.targets, between_tokens_s=0.057)
    urgent = replace(urgent, work=replace(urgent.work, targets=targets))
    queue.offer(urgent, 0.0)
    queue.take(0.0, 1)
    for number in range(1, 50):
        queue.offer(make_item(number), 0.0)
    started = 0
    for step in range(1, 1001):
        now_s = step * 0.1
        queue.observe_interval(0.080, now_s)
        for item in queue.take(now_s, STREAMS - 1):
            queue.finish(item.attempt, now_s)
            started += 1
    assert 0.1 * 100 - 2 <= started <= 0.1 * 100 + 3


def test_first_urgent_request_after_an_idle_period_finds_a_slot() -> None:
    """Running batch work is not preempted, and its slots may stay busy for seconds."""
    queue = RankedQueue(32)
    queue.offer(make_item(0, Rank.URGENT), 0.0)
    [first] = queue.take(0.0, 32)
    queue.finish(first.attempt, 1.0)
    for number in range(1, 100):
        queue.offer(make_item(number, now_s=1000.0), 1000.0)
    assert len(queue.take(1000.0, 32)) == 30
    queue.offer(make_item(100, Rank.URGENT, now_s=1001.0), 1001.0)
    [urgent] = queue.take(1001.0, 2)
    assert urgent.attempt == "t100"


def make_view() -> UpstreamView:
    return UpstreamView(
        upstream=UpstreamId("u"),
        kind=ServiceKind.LANGUAGE,
        zone=ZoneName("z"),
        region=RegionName("r"),
    )


def test_dropped_work_is_refused_counted_and_never_run() -> None:
    """Without a Retry-After header the caller would retry at once."""
    metrics = Metrics()
    queue = RankedQueue(1)
    scheduler = AgentScheduler(queue, LearnedEstimator(), make_view(), metrics)
    work = make_item(0, first_token_limit_s=5.0).work
    assert isinstance(scheduler.offer(AttemptId("t0"), work, 0.0), Queued)
    assert scheduler.refuse_late(4.0) == []
    [refused] = scheduler.refuse_late(6.0)
    assert refused.attempt == "t0"
    assert refused.reason == "deadline"
    assert refused.retry_after_s >= 1.0
    assert queue.take(6.0, 1) == []
    text = metrics.render_text().decode()
    assert 'kind="queue",reason="in_time"' in text
    assert 'kind="queue",reason="deadline"' in text


class QueueMachine(RuleBasedStateMachine):
    """Call offer, take, finish, cancel and expire in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = QUEUE_POLICIES.create("ranked", STREAMS)
        self.now_s = 0.0
        self.number = 0
        self.queued: set[AttemptId] = set()
        self.running: set[AttemptId] = set()
        self.removed: set[AttemptId] = set()

    @rule(
        rank=st.sampled_from(Rank),
        account=st.sampled_from("abcd"),
        first_token_limit_s=st.floats(0.0, 60.0),
        cost_s=st.floats(0.0, 5.0),
    )
    def offer(
        self, rank: Rank, account: str, first_token_limit_s: float, cost_s: float
    ) -> None:
        self.number += 1
        item = make_item(
            self.number, rank, account, self.now_s, first_token_limit_s, cost_s
        )
        decision = self.queue.offer(item, self.now_s)
        if isinstance(decision, Refused):
            assert decision.retry_after_s > 0
        else:
            self.queued.add(item.attempt)

    @rule(elapsed_s=st.floats(0.0, 20.0))
    def wait(self, elapsed_s: float) -> None:
        self.now_s += elapsed_s

    @rule()
    def take(self) -> None:
        free = STREAMS - len(self.running)
        taken = self.queue.take(self.now_s, free)
        assert len(taken) <= free
        for item in taken:
            assert item.attempt in self.queued
            assert item.attempt not in self.removed
            assert self.now_s <= item.work.first_token_deadline_s - item.prefill_s
            self.queued.remove(item.attempt)
            self.running.add(item.attempt)
        self._expire()
        reserve = STREAMS // 8
        if len(taken) < free - reserve:
            # Beyond the reserve, no slot stays free while work waits.
            assert not self.queued

    @rule()
    def expire(self) -> None:
        self._expire()

    def _expire(self) -> None:
        for item in self.queue.expire(self.now_s):
            self.queued.remove(item.attempt)
            self.removed.add(item.attempt)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        attempt = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(attempt)
        self.queue.finish(attempt, self.now_s)

    @precondition(lambda self: self.queued)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        attempt = data.draw(st.sampled_from(sorted(self.queued)))
        if self.queue.cancel(attempt):
            self.queued.remove(attempt)
            self.removed.add(attempt)
        else:
            self._expire()
            assert attempt in self.removed

    @invariant()
    def forecast_waits_are_bounded(self) -> None:
        for wait_s in self.queue.forecast_wait(self.now_s).values():
            assert 0.0 <= wait_s < 1e6

    @invariant()
    def counts_agree(self) -> None:
        assert len(self.queue) <= len(self.queued)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(max_examples=60, stateful_step_count=40)


@pytest.mark.parametrize("name", ["fifo", "ranked"])
def test_policies_are_registered(name: str) -> None:
    assert len(QUEUE_POLICIES.create(name, STREAMS)) == 0
