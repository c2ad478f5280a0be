"""Divide what the peers are to be told into messages that fit into a datagram."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final, TypeVar

from bramleyport.core import UpstreamId
from bramleyport.fleet import (
    NO_ACCOUNT,
    CrashReport,
    HarmlessTrait,
    RateLimitNotice,
    TraitId,
    Verdict,
    Work,
)
from bramleyport.gateway._account_facts import WorkAccount
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._crash_guard import CrashUpdates
from bramleyport.gateway._peer_messages import MAX_ITEMS, MAX_REPORTS, make_limit_update
from bramleyport.gateway._shared_facts import LimitUpdate, WorkRef
from bramleyport.gateway._work_tracker import PendingUpdates

T = TypeVar("T")
# Bytes of names of prompt parts in one message. A datagram takes 65,507 bytes; the rest
# is for what has a bounded length.
MAX_LONG_BYTES: Final = 40_000
# A call may show all parts of a long prompt to be harmless.
MAX_HARMLESS: Final = 256
# Upper bounds of what a number, and a text beside its characters, take.
NUMBER_BYTES: Final = 10
TEXT_HEAD_BYTES: Final = 3


class MessageRoom:
    """Track how many bytes of a message are left for what may be long."""

    def __init__(self) -> None:
        self._left_bytes = MAX_LONG_BYTES

    def take(
        self, items: list[T], most: int, measure: Callable[[T], int]
    ) -> tuple[T, ...]:
        """Remove the first items as far as they fit; an empty message takes one."""
        taken: list[T] = []
        for item in items[:most]:
            size = measure(item)
            if size > self._left_bytes < MAX_LONG_BYTES:
                break
            self._left_bytes -= size
            taken.append(item)
        del items[: len(taken)]
        return tuple(taken)


def take_batch(pending: PendingUpdates) -> dict[str, Any]:
    """Remove what fits into one message, and return it as fields of the message."""
    room = MessageRoom()
    started = room.take(pending.started, MAX_ITEMS, _measure_work)
    fields = {
        "started": started,
        "accounts": _list_accounts(started),
        "prefilled": _make_refs(pending.prefilled[:MAX_ITEMS]),
        "ended": _make_refs(pending.ended[:MAX_ITEMS]),
        "refused": tuple(pending.refused[:MAX_ITEMS]),
        "limits": make_updates(pending.limits[:MAX_ITEMS]),
    }
    del pending.prefilled[:MAX_ITEMS]
    del pending.ended[:MAX_ITEMS]
    del pending.refused[:MAX_ITEMS]
    del pending.limits[:MAX_ITEMS]
    return fields | take_crashes(pending.crashes, room)


def take_crashes(
    crashes: CrashUpdates, room: MessageRoom | None = None
) -> dict[str, Any]:
    """Remove what fits into one message, and return it as fields of the message."""
    room = room or MessageRoom()
    return {
        "reports": room.take(crashes.reports, MAX_REPORTS, _measure_report),
        "harmless": room.take(crashes.harmless, MAX_HARMLESS, _measure_harmless),
        "verdicts": room.take(crashes.verdicts, MAX_REPORTS, _measure_verdict),
    }


def _measure_work(work: Work) -> int:
    return sum(len(part.prefix) + NUMBER_BYTES for part in work.parts)


def _measure_report(report: CrashReport) -> int:
    return _measure_traits(report.traits) + _measure_traits(report.unproven)


def _measure_harmless(item: HarmlessTrait) -> int:
    return _measure_traits((item.trait,)) + NUMBER_BYTES


def _measure_verdict(verdict: Verdict) -> int:
    return _measure_traits(verdict.companions)


def _measure_traits(traits: Iterable[TraitId]) -> int:
    return sum(len(trait) + TEXT_HEAD_BYTES for trait in traits)


def _list_accounts(started: Sequence[Work]) -> tuple[WorkAccount, ...]:
    return tuple(
        WorkAccount(work.request, work.account)
        for work in started
        if work.account != NO_ACCOUNT
    )


def _make_refs(pairs: list[tuple[UpstreamId, Any]]) -> tuple[WorkRef, ...]:
    return tuple(WorkRef(upstream, request) for upstream, request in pairs)


def make_updates(notices: Sequence[RateLimitNotice]) -> tuple[LimitUpdate, ...]:
    """Return the updates that tell peers of notices."""
    now_s = read_now()
    return tuple(make_limit_update(notice, now_s) for notice in notices)
