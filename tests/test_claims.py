"""Guard the bounds of a claim shard and its behaviour under clock skew."""

from typing import Any

from bramleyport.claims import (
    CLAIM_GRACE_S,
    CLOCK_SKEW_S,
    MAX_SHARD_BYTES,
    RETENTION_S,
    ClaimDecisionKind,
    ClaimOutcome,
    ClaimRequest,
    Shard,
    apply_changes,
    choose_writer,
    keep_answer,
    write_shard,
)


def ask(key: str, attempt: str = "a", **fields: Any) -> ClaimRequest:
    return ClaimRequest(key=key, body_digest="d" * 32, attempt=attempt, **fields)  # type: ignore[arg-type]


def make_keys(count: int) -> list[str]:
    return [f"{index:032x}" for index in range(count)]


def test_full_shard_refuses_new_claims_and_keeps_old_ones() -> None:
    keys = make_keys(2000)
    attempts = [f"{index:032x}" for index in range(2000)]
    changes: list[Any] = [
        ask(key, attempt) for key, attempt in zip(keys, attempts, strict=True)
    ]
    shard, decisions = apply_changes(Shard(), changes, 0.0)
    kinds = [decision.kind for decision in decisions]
    fitted = kinds.count(ClaimDecisionKind.NEW)
    assert kinds[fitted:] == [ClaimDecisionKind.FULL] * (2000 - fitted)
    answer = keep_answer(201, {"content-type": "text/plain"}, b"x" * 4000)
    finished: list[Any] = [
        ClaimOutcome(key=key, attempt=attempt, answer=answer)  # type: ignore[arg-type]
        for key, attempt in zip(keys[:fitted], attempts[:fitted], strict=True)
    ]
    shard, _ = apply_changes(shard, finished, 1.0)
    _, (repeated,) = apply_changes(shard, [ask(keys[0], "b")], 2.0)
    assert repeated.kind is ClaimDecisionKind.STORED
    assert len(shard.claims) == fitted


def test_kept_answers_leave_room_for_claims() -> None:
    """Guards against large answers that make a shard refuse new calls."""
    answer = keep_answer(201, {}, b"x" * 4000)
    shard = Shard()
    for index, key in enumerate(make_keys(750)):
        attempt = f"{index:032x}"
        changes: list[Any] = [
            ask(key, attempt),
            ClaimOutcome(key=key, attempt=attempt, answer=answer),  # type: ignore[arg-type]
        ]
        shard, (decision, _) = apply_changes(shard, changes, 0.0)
        assert decision.kind is ClaimDecisionKind.NEW


def test_stored_size_stays_within_the_bound() -> None:
    """Guards against a shard that grows past the platform's limit of 1 MB."""
    import json

    changes: list[Any] = [ask(key, "f" * 45) for key in make_keys(2000)]
    shard, _ = apply_changes(Shard(), changes, 1_700_000_000.123)
    assert len(json.dumps(write_shard(shard))) <= MAX_SHARD_BYTES


def test_claim_outlives_its_retention_by_the_skew() -> None:
    shard, _ = apply_changes(Shard(), [ask("k")], 0.0)
    shard, _ = apply_changes(
        shard,
        [ClaimOutcome(key="k", attempt="a", answer=keep_answer(201, {}, b""))],  # type: ignore[arg-type]
        1.0,
    )
    ahead_s = RETENTION_S + CLOCK_SKEW_S - 1.0
    _, (decision,) = apply_changes(shard, [ask("k", "b")], ahead_s)
    assert decision.kind is ClaimDecisionKind.STORED


def test_owner_corrects_a_claim_that_a_fast_clock_gave_up() -> None:
    shard, _ = apply_changes(Shard(), [ask("k", answer_s=5.0)], 0.0)
    ahead_s = 5.0 + CLAIM_GRACE_S + 1.0
    shard, (given_up,) = apply_changes(shard, [ask("k", "b")], ahead_s)
    assert given_up.kind is ClaimDecisionKind.UNKNOWN
    outcome = ClaimOutcome(key="k", attempt="a", answer=keep_answer(201, {}, b""))  # type: ignore[arg-type]
    shard, _ = apply_changes(shard, [outcome], 3.0)
    _, (decision,) = apply_changes(shard, [ask("k", "c")], 4.0)
    assert decision.kind is ClaimDecisionKind.STORED


def test_writer_changes_only_for_the_shards_of_a_lost_entry() -> None:
    entries: list[Any] = [f"entry-{index}" for index in range(8)]
    before = [choose_writer(shard, entries) for shard in range(256)]
    after = [choose_writer(shard, entries[:-1]) for shard in range(256)]
    assert set(before) == set(entries)
    for old, new in zip(before, after, strict=True):
        assert new == old or old == entries[-1]
