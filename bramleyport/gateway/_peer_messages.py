"""Encode and decode messages between gateways as CBOR in datagrams."""

import math
from dataclasses import dataclass
from typing import Any, Final

import cbor2

from bramleyport.core import ProcessId, RequestId, UpstreamId
from bramleyport.fleet import (
    MAX_CRASHES,
    MAX_PART_CHARS,
    MAX_PARTS,
    CrashId,
    CrashReport,
    HarmlessPart,
    PrefixId,
    PromptPart,
    RateLimitNotice,
    Verdict,
    Work,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._store_updates import (
    FORMAT as STORE_UPDATE_FORMAT,
    StoreUpdate,
    decode_store_update,
)

FORMAT: Final = 1
# Keeps datagrams below the usual path MTU: a larger one is fragmented, and the loss of
# one fragment loses all of it.
MAX_ITEMS: Final = 12
# The same for items that may name up to 32 prompt parts.
MAX_REPORTS: Final = 2


# Longest usual delay of an update. A limit is raised or ended only by an answer to a
# request that was certainly sent after the limit was received.
MAX_UPDATE_DELAY_S: Final = 0.25


class PeerMessageError(ValueError):
    """Report a datagram that is not a valid message of a gateway."""


@dataclass(frozen=True, slots=True)
class WorkRef:
    """Identify work at an upstream."""

    upstream: UpstreamId
    request: RequestId


@dataclass(frozen=True, slots=True)
class ChangingEngine:
    """Describe an engine that must get no work for some seconds."""

    upstream: UpstreamId
    duration_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitUpdate:
    """Describe what an answer said of the rate limit of its upstream.

    Clocks of gateways differ, so times are sent as ages.
    """

    upstream: UpstreamId
    # Start of the upstream's process in Unix milliseconds.
    started_ms: int
    # Requests a second; None if the answer named no limit.
    rate: float | None
    sent_age_s: float
    received_age_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessage:
    """Describe what one gateway has sent to upstreams since its last message."""

    process: ProcessId
    # Increases with each start of the process.
    incarnation: int
    # A gateway that is shutting down no longer counts for the retry budget.
    leaving: bool = False
    # Engines that are about to change their stage.
    changing: tuple[ChangingEngine, ...] = ()
    started: tuple[Work, ...] = ()
    prefilled: tuple[WorkRef, ...] = ()
    ended: tuple[WorkRef, ...] = ()
    # Upstreams that refused a connection.
    refused: tuple[UpstreamId, ...] = ()
    limits: tuple[LimitUpdate, ...] = ()
    reports: tuple[CrashReport, ...] = ()
    harmless: tuple[HarmlessPart, ...] = ()
    verdicts: tuple[Verdict, ...] = ()


def make_limit_update(notice: RateLimitNotice, now_s: float) -> LimitUpdate:
    """Return the update that tells peers of a notice."""
    return LimitUpdate(
        upstream=notice.upstream,
        started_ms=notice.started_ms,
        rate=notice.rate,
        sent_age_s=now_s - notice.sent_s,
        received_age_s=now_s - notice.received_s,
    )


def make_limit_notice(
    update: LimitUpdate, origin: ProcessId, now_s: float
) -> RateLimitNotice:
    """Return the notice in the update of a peer."""
    return RateLimitNotice(
        upstream=update.upstream,
        started_ms=update.started_ms,
        rate=update.rate,
        sent_s=now_s - update.sent_age_s - MAX_UPDATE_DELAY_S,
        received_s=now_s - update.received_age_s,
        origin=origin,
    )


def encode_message(message: PeerMessage) -> bytes:
    """Return a message as the bytes of a datagram."""
    return cbor2.dumps(
        [
            FORMAT,
            message.process,
            message.incarnation,
            message.leaving,
            [_encode_work(work) for work in message.started],
            [[ref.upstream, ref.request] for ref in message.prefilled],
            [[ref.upstream, ref.request] for ref in message.ended],
            [[item.upstream, item.duration_s] for item in message.changing],
            list(message.refused),
            [_encode_limit(item) for item in message.limits],
            [_encode_report(item) for item in message.reports],
            [[item.part, read_now() - item.answered_s] for item in message.harmless],
            [_encode_verdict(item) for item in message.verdicts],
        ]
    )


def decode_datagram(data: bytes, now_s: float) -> PeerMessage | StoreUpdate:
    """Return the message in a datagram; the work in it is taken to start now."""
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, list) or not fields:
            raise PeerMessageError("the datagram is not a list")
        if fields[0] == STORE_UPDATE_FORMAT:
            return decode_store_update(fields)
        return _decode_message(fields, now_s)
    except (
        cbor2.CBORDecodeError,
        TypeError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as error:
        raise PeerMessageError(repr(error)) from error


def _decode_message(fields: list[Any], now_s: float) -> PeerMessage:
    if fields[0] != FORMAT:
        raise PeerMessageError("unknown message format")
    # Messages of earlier versions end with the changing or the refusing upstreams, or
    # with the limits.
    _, process, incarnation, leaving, started, prefilled, ended, changing, *rest = (
        fields
    )
    return PeerMessage(
        process=ProcessId(str(process)),
        incarnation=int(incarnation),
        leaving=bool(leaving),
        started=tuple(_decode_work(item, now_s) for item in started),
        prefilled=tuple(_decode_ref(item) for item in prefilled),
        ended=tuple(_decode_ref(item) for item in ended),
        changing=tuple(
            ChangingEngine(UpstreamId(str(upstream)), float(duration_s))
            for upstream, duration_s in changing
        ),
        refused=tuple(UpstreamId(str(item)) for item in (rest[0] if rest else ())),
        limits=tuple(_decode_limit(item) for item in (rest[1] if rest[1:] else ())),
        reports=tuple(
            _decode_report(item, now_s) for item in (rest[2] if rest[2:] else ())
        ),
        harmless=tuple(
            HarmlessPart(PrefixId(str(part)), now_s - _read_amount(age_s))
            for part, age_s in (rest[3] if rest[3:] else ())
        ),
        verdicts=tuple(_decode_verdict(item) for item in (rest[4] if rest[4:] else ())),
    )


def _encode_work(work: Work) -> list[Any]:
    parts = [[part.prefix, part.tokens] for part in work.parts]
    prefill_ms = round(work.prefill_s * 1000)
    prefill_cost = round(work.prefill_cost)
    transfer_ms = round(work.transfer_s * 1000)
    head = [work.upstream, work.request, work.priority, prefill_ms, prefill_cost]
    return [*head, parts, transfer_ms]


def _decode_work(item: Any, now_s: float) -> Work:
    # Messages of the previous version lack the transfer time.
    upstream, request, priority, prefill_ms, prefill_cost, parts, *rest = item
    return Work(
        request=RequestId(str(request)),
        upstream=UpstreamId(str(upstream)),
        priority=int(priority),
        prefill_s=float(prefill_ms) / 1000,
        prefill_cost=float(prefill_cost),
        started_s=now_s,
        parts=tuple(
            PromptPart(PrefixId(str(prefix)), int(tokens)) for prefix, tokens in parts
        ),
        transfer_s=float(rest[0]) / 1000 if rest else 0.0,
    )


def _encode_limit(update: LimitUpdate) -> list[Any]:
    return [
        update.upstream,
        update.started_ms,
        update.rate,
        update.sent_age_s,
        update.received_age_s,
    ]


def _decode_limit(item: Any) -> LimitUpdate:
    upstream, started_ms, rate, sent_age_s, received_age_s = item
    return LimitUpdate(
        upstream=UpstreamId(str(upstream)),
        started_ms=int(started_ms),
        rate=None if rate is None else _read_amount(rate),
        sent_age_s=_read_amount(sent_age_s),
        received_age_s=_read_amount(received_age_s),
    )


def _encode_report(report: CrashReport) -> list[Any]:
    crash = report.crash
    parts = [sorted(report.parts), sorted(report.unproven)]
    age_s = read_now() - report.at_s
    return [crash.upstream, crash.started_ms, age_s, *parts, report.answer_began]


def _decode_report(item: Any, now_s: float) -> CrashReport:
    upstream, started_ms, age_s, parts, unproven, answer_began = item
    return CrashReport(
        crash=CrashId(UpstreamId(str(upstream)), int(started_ms)),
        at_s=now_s - _read_amount(age_s),
        parts=_decode_parts(parts),
        unproven=_decode_parts(unproven),
        answer_began=bool(answer_began),
    )


def _encode_verdict(verdict: Verdict) -> list[Any]:
    return [verdict.part, sorted(verdict.companions), verdict.crashes]


def _decode_verdict(item: Any) -> Verdict:
    part, companions, crashes = item
    return Verdict(
        part=PrefixId(str(part)),
        companions=_decode_parts(companions),
        crashes=_read_count(crashes),
    )


def _decode_parts(items: Any) -> frozenset[PrefixId]:
    if not isinstance(items, list) or len(items) > MAX_PARTS:
        raise PeerMessageError(f"not a list of up to {MAX_PARTS} parts: {items!r:.40}")
    if any(len(str(item)) > MAX_PART_CHARS for item in items):
        raise PeerMessageError(f"part over {MAX_PART_CHARS} characters")
    return frozenset(PrefixId(str(item)) for item in items)


def _read_count(value: Any) -> int:
    if not isinstance(value, int) or not 0 <= value <= MAX_CRASHES:
        raise PeerMessageError(f"not a count of crashes: {value!r:.40}")
    return value


def _read_amount(value: Any) -> float:
    amount = float(value)
    if not math.isfinite(amount) or amount < 0:
        raise PeerMessageError(f"invalid amount: {value!r:.40}")
    return amount


def _decode_ref(item: Any) -> WorkRef:
    upstream, request = item
    return WorkRef(UpstreamId(str(upstream)), RequestId(str(request)))
