"""Divide what the peers are to be told into messages that fit into a datagram."""

from collections.abc import Sequence
from typing import Any

from bramleyport.core import UpstreamId
from bramleyport.fleet import NO_ACCOUNT, RateLimitNotice, Work
from bramleyport.gateway._account_facts import WorkAccount
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._crash_guard import CrashUpdates
from bramleyport.gateway._peer_messages import MAX_ITEMS, MAX_REPORTS, make_limit_update
from bramleyport.gateway._shared_facts import LimitUpdate, WorkRef
from bramleyport.gateway._work_tracker import PendingUpdates


def take_batch(pending: PendingUpdates) -> dict[str, Any]:
    """Remove what fits into one message, and return it as fields of the message."""
    started = tuple(pending.started[:MAX_ITEMS])
    fields = {
        "started": started,
        "accounts": _list_accounts(started),
        "prefilled": _make_refs(pending.prefilled[:MAX_ITEMS]),
        "ended": _make_refs(pending.ended[:MAX_ITEMS]),
        "refused": tuple(pending.refused[:MAX_ITEMS]),
        "limits": make_updates(pending.limits[:MAX_ITEMS]),
    }
    del pending.started[:MAX_ITEMS]
    del pending.prefilled[:MAX_ITEMS]
    del pending.ended[:MAX_ITEMS]
    del pending.refused[:MAX_ITEMS]
    del pending.limits[:MAX_ITEMS]
    return fields | take_crashes(pending.crashes)


def take_crashes(crashes: CrashUpdates) -> dict[str, Any]:
    """Remove what fits into one message, and return it as fields of the message."""
    fields = {
        "reports": tuple(crashes.reports[:MAX_REPORTS]),
        "harmless": tuple(crashes.harmless[:MAX_ITEMS]),
        "verdicts": tuple(crashes.verdicts[:MAX_REPORTS]),
    }
    del crashes.reports[:MAX_REPORTS]
    del crashes.harmless[:MAX_ITEMS]
    del crashes.verdicts[:MAX_REPORTS]
    return fields


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
