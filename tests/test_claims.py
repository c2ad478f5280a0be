"""Test the bounds of a claim log and its behaviour under clock skew."""

import json
from typing import Any

from bramleyport.claims import (
    CLAIM_GRACE_S,
    CLOCK_SKEW_S,
    MAX_ENTRY_BYTES,
    MAX_SEGMENT_BYTES,
    RETENTION_S,
    ClaimDecisionKind,
    ClaimIndex,
    ClaimLog,
    ClaimOutcome,
    ClaimRequest,
    ClaimState,
    LogEntry,
    Segment,
    choose_writer,
    find_answer,
    make_stored_answer,
    read_segment,
    write_segment,
)
from bramleyport.keyed._unsent_attempts import UnsentAttempts
from tests.claim_store import LogStore, drive

DESIGN_LIMIT_BYTES = 512_000


class FullSizeStore(LogStore):
    """Store segments of full size, without the simulation's small bound."""

    def check_c1_append_only(self, old: Segment, new: Segment) -> None:
        assert old.sealed_s is None
        assert new.entries[: len(old.entries)] == old.entries
        assert len(json.dumps(write_segment(new))) <= MAX_SEGMENT_BYTES


def make_request(key: str, attempt: str = "a", **fields: Any) -> ClaimRequest:
    return ClaimRequest(key=key, body_digest="d" * 32, attempt=attempt, **fields)  # type: ignore[arg-type]


def make_outcome(
    key: str, attempt: str, body: bytes = b"", **headers: str
) -> ClaimOutcome:
    answer = make_stored_answer(201, headers, body)
    return ClaimOutcome(key=key, attempt=attempt, answer=answer)  # type: ignore[arg-type]


def make_keys(count: int) -> list[str]:
    return [f"{index:032x}" for index in range(count)]


def make_log(**bounds: Any) -> ClaimLog:
    tokens = iter(range(10**9))
    return ClaimLog(lambda: str(next(tokens)), **bounds)


def test_full_log_refuses_new_claims_and_keeps_old_ones() -> None:
    log, store, keys = make_log(max_claims=500), FullSizeStore(), make_keys(600)
    kinds = []
    for at in range(0, 600, 50):
        batch: list[Any] = [make_request(key, key) for key in keys[at : at + 50]]
        kinds += [d.kind for d in drive(log, store, batch, 0.0)]
    fitted = kinds.count(ClaimDecisionKind.NEW)
    assert fitted == 500
    assert kinds[fitted:] == [ClaimDecisionKind.FULL] * (600 - fitted)
    finished: list[Any] = [make_outcome(key, key, b"x" * 4000) for key in keys[:fitted]]
    drive(log, store, finished, 1.0)
    (repeated,) = drive(log, store, [make_request(keys[0], "b")], 2.0)
    assert repeated.kind is ClaimDecisionKind.STORED
    assert log.index.count == fitted
    later_s = RETENTION_S + CLOCK_SKEW_S + 1.0
    (fresh,) = drive(log, store, [make_request(keys[-1], "c")], later_s)
    assert fresh.kind is ClaimDecisionKind.NEW


def test_stored_answers_leave_room_for_claims() -> None:
    """Guards against a log that refuses new calls because its answers are large."""
    log, store = make_log(), FullSizeStore()
    for key in make_keys(750):
        changes: list[Any] = [
            make_request(key, key),
            make_outcome(key, key, b"x" * 4000),
        ]
        decision, _ = drive(log, store, changes, 0.0)
        assert decision.kind is ClaimDecisionKind.NEW
    assert store.sealed > 20


def test_every_answer_is_read_back_from_its_segment() -> None:
    """Guards against a wrong segment number in the index, also after a rebuild."""
    log, store, keys = make_log(), FullSizeStore(), make_keys(300)
    for key in keys:
        drive(
            log,
            store,
            [make_request(key, key), make_outcome(key, key, key.encode() * 50)],
            0.0,
        )
    for reader in (log, make_log()):
        for key in keys:
            (decision,) = drive(reader, store, [make_request(key, "b")], 1.0)
            answer = find_answer(store.objects[decision.segment][1], key)
            assert answer is not None
            assert answer.read_body() == key.encode() * 50


def test_stored_size_stays_within_the_bound() -> None:
    """Guards against a segment that exceeds the design's limit of 512 kB."""
    assert MAX_SEGMENT_BYTES <= DESIGN_LIMIT_BYTES
    log, store, keys = make_log(), FullSizeStore(), make_keys(4000)
    drive(log, store, [make_request(key, "f" * 45) for key in keys], 1_700_000_000.123)
    changes: list[Any] = [
        ClaimOutcome(
            key=key,
            attempt="f" * 45,  # type: ignore[arg-type]
            answer=make_stored_answer(
                201, {f"h{n}": "\u00e9" * 512 for n in range(60)}, b""
            ),
        )
        for key in keys[:10]
    ]
    drive(log, store, changes, 1_700_000_001.0)
    entries = [e for _, s in store.objects.values() for e in s.entries]
    assert len(entries) == 4010
    assert max(entry.count_bytes() for entry in entries) <= MAX_ENTRY_BYTES


def test_segment_is_read_as_it_was_written() -> None:
    entry = LogEntry(
        state=ClaimState.COMPLETED,
        key="k",
        attempt="00ff",
        at_s=1.0,
        answer=make_stored_answer(201, {"a": "b"}, b"x"),
    )
    claim = LogEntry(
        state=ClaimState.CLAIMED,
        key="k",
        attempt="00ff",
        at_s=1.0,
        body="0a",
        answer_by_s=2.0,
    )
    segment = Segment(entries=(claim, entry), sealed_s=3.0, write_token="t")
    assert read_segment(json.loads(json.dumps(write_segment(segment)))) == segment


def test_index_memory_is_bounded() -> None:
    """Guards against an index that exhausts the memory of an entry."""
    index = ClaimIndex()
    for count, key in enumerate(make_keys(20_000), start=1):
        entry = LogEntry(
            state=ClaimState.CLAIMED, key=key, attempt="0" * 16, at_s=0, body="0" * 16
        )
        index.apply(entry, 0, 0.0)
        if count % 5000 == 0:
            assert index.bytes_held <= 100 * count
    index.drop_expired(RETENTION_S + CLOCK_SKEW_S)
    assert index.count == 0
    assert index.bytes_held < 100_000


def test_claim_is_kept_beyond_its_retention_by_the_skew() -> None:
    log, store = make_log(), FullSizeStore()
    drive(log, store, [make_request("k")], 0.0)
    drive(log, store, [make_outcome("k", "a")], 1.0)
    ahead_s = RETENTION_S + CLOCK_SKEW_S - 1.0
    (decision,) = drive(log, store, [make_request("k", "b")], ahead_s)
    assert decision.kind is ClaimDecisionKind.STORED


def test_segment_is_kept_beyond_its_retention_by_the_skew() -> None:
    """Guards against claims that are deleted too early, or never."""
    log, store, keys = make_log(), FullSizeStore(), make_keys(6000)
    drive(log, store, [make_request(key) for key in keys[:3000]], 0.0)
    sealed = store.sealed
    assert sealed > 0
    early_s = RETENTION_S + CLOCK_SKEW_S - 1.0
    drive(log, store, [make_request(key) for key in keys[3000:4500]], early_s)
    assert store.first == 0
    drive(log, store, [make_request(key) for key in keys[4500:]], early_s + 2.0)
    assert store.first >= sealed


def test_owner_completes_a_claim_that_a_fast_clock_made_unknown() -> None:
    log, store = make_log(), FullSizeStore()
    drive(log, store, [make_request("k", answer_s=5.0)], 0.0)
    ahead_s = 5.0 + CLAIM_GRACE_S + 1.0
    (unknown,) = drive(log, store, [make_request("k", "b")], ahead_s)
    assert unknown.kind is ClaimDecisionKind.UNKNOWN
    drive(log, store, [make_outcome("k", "a")], 3.0)
    (decision,) = drive(log, store, [make_request("k", "c")], 4.0)
    assert decision.kind is ClaimDecisionKind.STORED


def test_loss_of_an_entry_changes_only_the_writers_of_its_logs() -> None:
    entries: list[Any] = [f"entry-{index}" for index in range(8)]
    before = [choose_writer(log, entries) for log in range(256)]
    after = [choose_writer(log, entries[:-1]) for log in range(256)]
    assert set(before) == set(entries)
    for old, new in zip(before, after, strict=True):
        assert new == old or old == entries[-1]


def test_unsent_attempts_are_bounded() -> None:
    """Guards against memory use that grows with each refused call."""
    unsent = UnsentAttempts(max_attempts=5)
    for index in range(40):
        unsent.add(f"key-{index // 20}", f"attempt-{index}")  # type: ignore[arg-type]
    assert unsent.list_for("key-0") == ()
    assert unsent.list_for("key-1")[-1] == "attempt-39"
    assert len(unsent.list_for("key-1")) == 5
