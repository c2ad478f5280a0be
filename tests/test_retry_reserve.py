"""Test that a flood of refused batch work leaves retries for urgent work."""

from bramleyport.core import (
    AccountId,
    Execution,
    Rank,
    RequestId,
    ServiceKind,
    ServiceName,
    Targets,
    UpstreamId,
    Work,
)
from bramleyport.retries import (
    RETRY_POLICIES,
    AttemptFailure,
    FailureKind,
    GiveUp,
    RetryNow,
)

REFUSED = AttemptFailure(
    upstream=UpstreamId("u"), kind=FailureKind.REFUSED, execution=Execution.NOT_RUN
)


def make_work(rank: Rank) -> Work:
    return Work(
        request=RequestId("r"),
        account=AccountId("a"),
        service=ServiceName("s"),
        kind=ServiceKind.LANGUAGE,
        rank=rank,
        targets=Targets(first_token_s=1.0, between_tokens_s=0.1, answer_s=60.0),
        arrived_s=0.0,
    )


def test_refused_batch_work_leaves_retries_for_urgent_work() -> None:
    """Retries of batch work must not spend the whole shared budget."""
    retries = RETRY_POLICIES.create("budget")
    batch = make_work(Rank.BATCH)
    for _ in range(100):
        last = retries.decide(1, batch, REFUSED, 0.0)
    assert isinstance(last, GiveUp)
    urgent = retries.decide(1, make_work(Rank.URGENT), REFUSED, 0.0)
    assert isinstance(urgent, RetryNow)
