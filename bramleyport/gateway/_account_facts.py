"""Define what gateways tell each other of client accounts and duties.

These kinds of facts follow those of `_shared_facts` in each datagram.
"""

from dataclasses import dataclass
from typing import Any, Final

from bramleyport.core import AccountId, RequestId
from bramleyport.duties import WindowCounts, WindowId
from bramleyport.gateway._peer_fields import (
    read_count,
    read_list,
    read_name,
    read_row,
)
from bramleyport.gateway._shared_facts import Scope, register_fact

MAX_STATUS_VALUES: Final = 16


@dataclass(frozen=True, slots=True)
class WorkAccount:
    """Describe for which client account the work of the same message is done."""

    request: RequestId
    account: AccountId


@dataclass(frozen=True, slots=True, kw_only=True)
class DutyStatus:
    """Describe the clock of a gateway, and what it knows of the duties."""

    # Wall time in Unix milliseconds as the message was made.
    wall_ms: int
    # Of the lease for the duties, if the gateway holds it; 0 otherwise.
    fencing: int
    # The newest usage window that it knows to be settled; 0 if none is.
    settled: int
    # All reports before this window were accepted, as far as it knows.
    first_unsent: int = 0


def _encode_duty_status(status: DutyStatus) -> list[Any]:
    return [status.wall_ms, status.fencing, status.settled, status.first_unsent]


@register_fact(
    "duty_status",
    _encode_duty_status,
    scope=Scope.GATEWAY,
    end="it tells another, or 10 s have passed",
    bound="64 clocks",
)
def _decode_duty_status(item: Any, _: float) -> DutyStatus:
    # Later versions may add more.
    row = read_row(item, 4, MAX_STATUS_VALUES)
    wall_ms, fencing, settled, first_unsent = row[:4]
    return DutyStatus(
        wall_ms=read_count(wall_ms),
        fencing=read_count(fencing),
        settled=read_count(settled),
        first_unsent=read_count(first_unsent),
    )


def _encode_usage(item: WindowCounts) -> list[Any]:
    return [item.window, item.total, [list(pair) for pair in item.counts.items()]]


@register_fact(
    "usage",
    _encode_usage,
    scope=Scope.GATEWAY,
    end="the window is settled",
    bound="64 windows",
)
def _decode_usage(item: Any, _: float) -> WindowCounts:
    window, total, counts = read_row(item, 3)
    pairs = (read_row(pair, 2) for pair in read_list(counts))
    return WindowCounts(
        WindowId(read_count(window)),
        {AccountId(read_name(name)): read_count(count) for name, count in pairs},
        None if total is None else read_count(total),
    )


def _encode_account(item: WorkAccount) -> list[Any]:
    return [item.request, item.account]


@register_fact(
    "accounts",
    _encode_account,
    scope=Scope.CALL,
    end="the work ends that the same message tells of",
    bound="one for each work in flight",
)
def _decode_account(item: Any, _: float) -> WorkAccount:
    request, account = read_row(item, 2)
    return WorkAccount(RequestId(read_name(request)), AccountId(read_name(account)))
