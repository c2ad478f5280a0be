"""Guard what a gateway knows of the rate limits that upstreams name."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, strategies as st

from bramleyport.core import UpstreamId
from bramleyport.fleet import (
    RateLimitChange,
    RateLimitNotice,
    RateLimitTable,
    compute_enforced_rate,
)
from bramleyport.platform import decode_answer
from tests.gateway_fleet import GatewayFleet

Run = Callable[[Coroutine[Any, Any, Any]], Any]

UPSTREAM = UpstreamId("u0")


def make_notice(
    rate: float | None, sent_s: float, received_s: float, started_ms: int = 1000
) -> RateLimitNotice:
    return RateLimitNotice(
        upstream=UPSTREAM,
        started_ms=started_ms,
        rate=rate,
        sent_s=sent_s,
        received_s=received_s,
    )


def find_rate(table: RateLimitTable, started_ms: int = 1000) -> float | None:
    notice = table.find(UPSTREAM, started_ms)
    return notice.rate if notice else None


@pytest.mark.parametrize(
    ("value", "rate", "is_invalid"),
    [
        (b"2.8", 2.8, False),
        (b" 30 ", 30.0, False),
        (b"0", 0.0, False),
        (b"0.01", 0.01, False),
        (b"2.8000000000000003", 2.8, False),
        (b"999999999999", 999_999_999_999.0, False),
        (b"9" * 400, None, True),
        (b"-1", None, True),
        (b"nan", None, True),
        (b"inf", None, True),
        (b"1e3", None, True),
        (b"1_0", None, True),
        (b"2,8", None, True),
        (b"", None, True),
        (b"\xff", None, True),
    ],
)
def test_limit_is_decoded_only_from_a_decimal_number(
    value: bytes, rate: float | None, is_invalid: bool
) -> None:
    head = decode_answer(200, [(b"Server-Limit", value)])
    assert head.rate_limit == (rate if rate is None else pytest.approx(rate))
    assert bool(head.invalid_rate_limit) is is_invalid


def test_answer_without_a_limit_names_none() -> None:
    head = decode_answer(200, [(b"Server-Stamp", b"s")])
    assert head.rate_limit is None
    assert head.invalid_rate_limit == ""


@given(st.binary(max_size=40))
def test_any_limit_is_decoded_or_reported_as_invalid(value: bytes) -> None:
    head = decode_answer(200, [(b"Server-Limit", value)])
    assert (head.rate_limit is None) is bool(head.invalid_rate_limit)
    assert head.rate_limit is None or 0 <= head.rate_limit < 1e13


def test_limit_of_nearly_nothing_still_lets_an_answer_show_its_end() -> None:
    assert compute_enforced_rate(0.0) > 0
    assert compute_enforced_rate(0.2) == 0.2


def test_answer_that_was_overtaken_does_not_end_or_raise_a_limit() -> None:
    """Guards against an answer from before a limit that arrives after it."""
    table = RateLimitTable()
    assert table.record(make_notice(2.0, 10.0, 11.0)) is RateLimitChange.NAMED
    for late in (make_notice(None, 10.5, 12.0), make_notice(9.0, 10.9, 12.0)):
        assert table.record(late) is RateLimitChange.NONE
    assert find_rate(table) == 2.0
    assert table.record(make_notice(9.0, 11.5, 13.0)) is RateLimitChange.NAMED
    assert table.record(make_notice(None, 13.5, 14.0)) is RateLimitChange.ENDED
    assert find_rate(table) is None


def test_lower_limit_counts_at_once() -> None:
    table = RateLimitTable()
    table.record(make_notice(9.0, 10.0, 11.0))
    assert table.record(make_notice(2.0, 10.5, 11.1)) is RateLimitChange.NAMED
    assert find_rate(table) == 2.0


def test_answer_from_before_the_end_does_not_bring_a_limit_back() -> None:
    table = RateLimitTable()
    table.record(make_notice(2.0, 10.0, 11.0))
    table.record(make_notice(None, 12.0, 13.0))
    assert table.record(make_notice(2.0, 10.5, 11.5)) is RateLimitChange.NONE
    assert table.record(make_notice(2.0, 13.0, 14.0)) is RateLimitChange.NAMED


def test_repeated_limit_is_confirmed_at_its_latest_time() -> None:
    table = RateLimitTable()
    table.record(make_notice(2.0, 10.0, 11.0))
    assert table.record(make_notice(2.0, 12.0, 13.0)) is RateLimitChange.CONFIRMED
    assert table.record(make_notice(2.0, 10.0, 10.5)) is RateLimitChange.CONFIRMED
    notice = table.find(UPSTREAM, 1000)
    assert notice is not None
    assert notice.received_s == 13.0


def test_limit_belongs_to_one_process_of_an_upstream() -> None:
    """Guards against a limit of the process before a restart, and its late updates."""
    table = RateLimitTable()
    table.record(make_notice(2.0, 10.0, 11.0))
    assert find_rate(table, started_ms=2000) is None
    table.record(make_notice(5.0, 12.0, 13.0, started_ms=2000))
    late = make_notice(2.0, 12.5, 14.0, started_ms=1000)
    assert table.record(late) is RateLimitChange.NONE
    assert find_rate(table, started_ms=2000) == 5.0


def test_upstream_without_a_limit_takes_no_memory() -> None:
    table = RateLimitTable()
    assert table.record(make_notice(None, 1.0, 2.0)) is RateLimitChange.NONE
    assert table.list_notices() == []
    table.record(make_notice(2.0, 10.0, 11.0))
    table.record(make_notice(None, 12.0, 13.0))
    table.drop_old({UPSTREAM}, 1000.0)
    assert table.list_notices() == []


def test_limit_of_an_upstream_that_left_is_dropped_after_a_while() -> None:
    """Guards against memory that grows with each upstream that is replaced."""
    table = RateLimitTable()
    table.record(make_notice(2.0, 10.0, 11.0))
    assert table.drop_old({UPSTREAM}, 1000.0) == []
    # Its registration may have lapsed in an outage of the store.
    assert table.drop_old(set(), 30.0) == []
    assert table.drop_old(set(), 1000.0) == [UPSTREAM]
    assert find_rate(table) is None


def test_limit_of_another_instance_at_the_address_is_ignored() -> None:
    head = decode_answer(421, [(b"Server-Limit", b"1"), (b"Not-Run", b"1")])
    assert head.rate_limit is None
    assert head.invalid_rate_limit == ""


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start(metrics=True))
    yield fleet
    run(fleet.stop())


def test_named_limit_is_shown_on_the_metrics_page_until_it_ends(
    fleet: GatewayFleet, run: Run
) -> None:
    async def call_until_page(shows_limit: bool) -> None:
        caller = fleet.make_caller()
        async with asyncio.timeout(20):
            while (
                f'"limit_per_s",upstream="{name}"' in await fleet.read_metrics()
            ) is not shows_limit:
                await caller.call("/read/x", method="GET")
                await asyncio.sleep(0.02)

    name = fleet.plain[0].name
    fleet.plain[0].limit = "25"
    run(call_until_page(True))
    fleet.plain[0].limit = ""
    run(call_until_page(False))


def test_invalid_limit_keeps_the_last_one(fleet: GatewayFleet, run: Run) -> None:
    registration = fleet.state.members.find(UpstreamId("p0"))
    limiter = fleet.state.rate_limiter
    named = decode_answer(200, [(b"Server-Limit", b"3"), (b"Server-Stamp", b"s")])
    limiter.record_answer(registration, named, 1.0, 2.0)
    for value in (b"soon", b"-2", b""):
        head = decode_answer(200, [(b"Server-Limit", value), (b"Server-Stamp", b"s")])
        limiter.record_answer(registration, head, 3.0, 4.0)
    assert limiter.find(registration).rate == 3.0
    # An answer that no call received need not name the limit.
    limiter.record_answer(registration, decode_answer(200, []), 5.0, 6.0)
    assert limiter.find(registration).rate == 3.0
    assert limiter.find(replace(registration, started_ms=7)) is None
