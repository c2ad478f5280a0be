"""Guard the bounds of a claim log and its behaviour under clock skew."""

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
    keep_answer,
    read_segment,
    write_segment,
)
from bramleyport.keyed._unsent import UnsentAttempts
from tests.claim_store import LogStore, drive

DESIGN_LIMIT_BYTES = 512_000


class Store(LogStore):
    """Keep segments of full size, without the simulation's small bound."""

    def check_c1_append_only(self, old: Segment, new: Segment) -> None:
        assert old.sealed_s is None
        assert new.entries[: len(old.entries)] == old.entries
        assert len(json.dumps(write_segment(new))) <= MAX_SEGMENT_BYTES


def ask(key: str, attempt: str = "a", **fields: Any) -> ClaimRequest:
    return ClaimRequest(key=key, body_digest="d" * 32, attempt=attempt, **fields)  # type: ignore[arg-type]


def end(key: str, attempt: str, body: bytes = b"", **headers: str) -> ClaimOutcome:
    answer = keep_answer(201, headers, body)
    return ClaimOutcome(key=key, attempt=attempt, answer=answer)  # type: ignore[arg-type]


def make_keys(count: int) -> list[str]:
    return [f"{index:032x}" for index in range(count)]


def make_log(**bounds: Any) -> ClaimLog:
    tokens = iter(range(10**9))
    return ClaimLog(lambda: str(next(tokens)), **bounds)


def test_full_log_refuses_new_claims_and_keeps_old_ones() -> None:
    log, store, keys = make_log(max_claims=500), Store(), make_keys(600)
    kinds = []
    for at in range(0, 600, 50):
        batch: list[Any] = [ask(key, key) for key in keys[at : at + 50]]
        kinds += [d.kind for d in drive(log, store, batch, 0.0)]
    fitted = kinds.count(ClaimDecisionKind.NEW)
    assert fitted == 500
    assert kinds[fitted:] == [ClaimDecisionKind.FULL] * (600 - fitted)
    finished: list[Any] = [end(key, key, b"x" * 4000) for key in keys[:fitted]]
    drive(log, store, finished, 1.0)
    (repeated,) = drive(log, store, [ask(keys[0], "b")], 2.0)
    assert repeated.kind is ClaimDecisionKind.STORED
    assert log.index.count == fitted
    later_s = RETENTION_S + CLOCK_SKEW_S + 1.0
    (fresh,) = drive(log, store, [ask(keys[-1], "c")], later_s)
    assert fresh.kind is ClaimDecisionKind.NEW


def test_kept_answers_leave_room_for_claims() -> None:
    """Guards against large answers that make a log refuse new calls."""
    log, store = make_log(), Store()
    for key in make_keys(750):
        changes: list[Any] = [ask(key, key), end(key, key, b"x" * 4000)]
        decision, _ = drive(log, store, changes, 0.0)
        assert decision.kind is ClaimDecisionKind.NEW
    assert store.sealed > 20


def test_every_answer_is_read_back_from_its_segment() -> None:
    """Guards against an index that names the wrong segment, also after a rebuild."""
    log, store, keys = make_log(), Store(), make_keys(300)
    for key in keys:
        drive(log, store, [ask(key, key), end(key, key, key.encode() * 50)], 0.0)
    for reader in (log, make_log()):
        for key in keys:
            (decision,) = drive(reader, store, [ask(key, "b")], 1.0)
            answer = find_answer(store.objects[decision.segment][1], key)
            assert answer is not None
            assert answer.read_body() == key.encode() * 50


def test_stored_size_stays_within_the_bound() -> None:
    """Guards against a segment that grows past the design's limit of 512 kB."""
    assert MAX_SEGMENT_BYTES <= DESIGN_LIMIT_BYTES
    log, store, keys = make_log(), Store(), make_keys(4000)
    drive(log, store, [ask(key, "f" * 45) for key in keys], 1_700_000_000.123)
    changes: list[Any] = [
        ClaimOutcome(
            key=key,
            attempt="f" * 45,  # type: ignore[arg-type]
            answer=keep_answer(201, {f"h{n}": "\u00e9" * 512 for n in range(60)}, b""),
        )
        for key in keys[:10]
    ]
    drive(log, store, changes, 1_700_000_001.0)
    entries = [e for _, s in store.objects.values() for e in s.entries]
    assert len(entries) == 4010
    assert max(entry.count_bytes() for entry in entries) <= MAX_ENTRY_BYTES


def test_segment_survives_its_document() -> None:
    entry = LogEntry(
        state=ClaimState.COMPLETED,
        key="k",
        attempt="00ff",
        at_s=1.0,
        answer=keep_answer(201, {"a": "b"}, b"x"),
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


def test_index_stays_within_its_bytes() -> None:
    """Guards against an index that takes the memory of an entry."""
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


def test_claim_outlives_its_retention_by_the_skew() -> None:
    log, store = make_log(), Store()
    drive(log, store, [ask("k")], 0.0)
    drive(log, store, [end("k", "a")], 1.0)
    ahead_s = RETENTION_S + CLOCK_SKEW_S - 1.0
    (decision,) = drive(log, store, [ask("k", "b")], ahead_s)
    assert decision.kind is ClaimDecisionKind.STORED


def test_segment_outlives_its_retention_by_the_skew() -> None:
    """Guards against a deletion that forgets claims too early, or never."""
    log, store, keys = make_log(), Store(), make_keys(6000)
    drive(log, store, [ask(key) for key in keys[:3000]], 0.0)
    sealed = store.sealed
    assert sealed > 0
    early_s = RETENTION_S + CLOCK_SKEW_S - 1.0
    drive(log, store, [ask(key) for key in keys[3000:4500]], early_s)
    assert store.first == 0
    drive(log, store, [ask(key) for key in keys[4500:]], early_s + 2.0)
    assert store.first >= sealed


def test_owner_corrects_a_claim_that_a_fast_clock_gave_up() -> None:
    log, store = make_log(), Store()
    drive(log, store, [ask("k", answer_s=5.0)], 0.0)
    ahead_s = 5.0 + CLAIM_GRACE_S + 1.0
    (given_up,) = drive(log, store, [ask("k", "b")], ahead_s)
    assert given_up.kind is ClaimDecisionKind.UNKNOWN
    drive(log, store, [end("k", "a")], 3.0)
    (decision,) = drive(log, store, [ask("k", "c")], 4.0)
    assert decision.kind is ClaimDecisionKind.STORED


def test_writer_changes_only_for_the_logs_of_a_lost_entry() -> None:
    entries: list[Any] = [f"entry-{index}" for index in range(8)]
    before = [choose_writer(log, entries) for log in range(256)]
    after = [choose_writer(log, entries[:-1]) for log in range(256)]
    assert set(before) == set(entries)
    for old, new in zip(before, after, strict=True):
        assert new == old or old == entries[-1]


def test_unsent_attempts_are_bounded() -> None:
    """Guards against memory that grows with every refused call."""
    unsent = UnsentAttempts(max_kept=5)
    for index in range(40):
        unsent.add(f"key-{index // 20}", f"attempt-{index}")  # type: ignore[arg-type]
    assert unsent.list_for("key-0") == ()
    assert unsent.list_for("key-1")[-1] == "attempt-39"
    assert len(unsent.list_for("key-1")) == 5
