"""Test that prefill does not start if it would make a short urgent answer late."""

from dataclasses import replace

from bramleyport.core import AttemptId, Rank
from bramleyport.queueing import QueuedWork
from bramleyport.queueing._ranked import RankedQueue
from tests.test_ranked_queue import make_item

SHORT_TOKENS = 40
STREAMS = 8


def make_short(number: int, between_tokens_s: float = 0.05) -> QueuedWork:
    item = make_item(number, Rank.URGENT, cost_s=0.1)
    targets = replace(item.work.targets, between_tokens_s=between_tokens_s)
    work = replace(item.work, targets=targets, max_output_tokens=SHORT_TOKENS)
    return replace(item, work=work)


def start(queue: RankedQueue, item: QueuedWork, now_s: float) -> bool:
    queue.offer(item, now_s)
    return item.attempt in {taken.attempt for taken in queue.take(now_s, STREAMS)}


def test_long_prefill_waits_for_a_short_urgent_answer() -> None:
    """Otherwise every decode step of the answer would include a prefill chunk."""
    queue = RankedQueue(STREAMS)
    assert start(queue, make_short(1), 0.0)
    assert not start(queue, make_item(2, Rank.BATCH, cost_s=2.0), 0.1)
    queue.finish(AttemptId("t1"), 0.2)
    assert [item.attempt for item in queue.take(0.2, STREAMS)] == ["t2"]


def test_prefill_within_the_slack_starts_at_once() -> None:
    """Holding back all prefill would waste capacity."""
    queue = RankedQueue(STREAMS)
    assert start(queue, make_short(1), 0.0)
    assert start(queue, make_item(2, Rank.STANDARD, cost_s=0.2), 0.1)
    # Each start reduces the slack that remains.
    assert not start(queue, make_item(3, Rank.STANDARD, cost_s=0.4), 0.1)


def test_prefill_does_not_wait_for_an_answer_that_is_late_already() -> None:
    """Waiting would waste capacity, as the answer is late in any case."""
    queue = RankedQueue(STREAMS)
    assert start(queue, make_item(1, Rank.BATCH, cost_s=3.0), 0.0)
    assert start(queue, make_short(2), 0.0)
    assert start(queue, make_item(3, Rank.BATCH, cost_s=2.0), 0.0)


def test_steady_short_answers_do_not_starve_other_ranks() -> None:
    """A rank that is held back is credited its share, so it starts in the end."""
    queue = RankedQueue(STREAMS)
    assert start(queue, make_short(1), 0.0)
    assert not start(queue, make_item(2, Rank.STANDARD, cost_s=2.0), 0.0)
    started = []
    for step in range(1, 200):
        now_s = step * 0.1
        # The next short answer starts before the previous one ends.
        queue.offer(make_short(100 + step), now_s)
        started += [item.attempt for item in queue.take(now_s, STREAMS - 1)]
        queue.finish(AttemptId(f"t{99 + step}" if step > 1 else "t1"), now_s)
    assert "t2" in started
