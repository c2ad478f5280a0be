"""Encode and decode messages between gateways as CBOR in datagrams."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

import cbor2

from bramleyport.core import (
    ProcessId,
    RequestId,
    ServiceName,
    UpstreamId,
    read_amount,
)
from bramleyport.fleet import (
    MAX_CRASHES,
    MAX_TRAIT_CHARS,
    MAX_TRAITS,
    BegunStream,
    ConfigVersion,
    CrashId,
    CrashReport,
    HarmlessTrait,
    LeavingUpstream,
    PrefixId,
    PromptPart,
    RateLimitNotice,
    SoftwareVersion,
    TraitId,
    Verdict,
    Work,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._peer_fields import (
    MAX_AGE_S,
    MAX_CHANGE_S,
    MAX_COST,
    MAX_RATE,
    MAX_TRANSFER_S,
    MAX_WORK_S,
    PeerMessageError,
    read_count,
    read_duration,
    read_flag,
    read_integer,
    read_list,
    read_name,
    read_row,
    read_start_ms,
)
from bramleyport.gateway._store_updates import (
    FORMAT as STORE_UPDATE_FORMAT,
    StoreUpdate,
    decode_store_update,
)
from bramleyport.telemetry import gateway_events, log_event

FORMAT: Final = 1
# Keeps datagrams below the usual path MTU: a larger one is fragmented, and the loss of
# one fragment loses all of it.
MAX_ITEMS: Final = 12
# The same for items that may name up to 32 traits of calls.
MAX_REPORTS: Final = 2


# Longest usual delay of an update. A limit is raised or ended only by an answer to a
# request that was certainly sent after the limit was received.
MAX_UPDATE_DELAY_S: Final = 0.25
MS_PER_S: Final = 1000
# Messages of the earliest version end with the engines that change their stage.
MIN_LISTS: Final = 4
MAX_WORK_VALUES: Final = 16
# Raised for names with lone surrogates and for numbers that are not finite.
ENCODING_ERRORS: Final = (
    cbor2.CBOREncodeError,
    ArithmeticError,
    TypeError,
    ValueError,
    RecursionError,
)

T = TypeVar("T")


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
    harmless: tuple[HarmlessTrait, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    # Upstreams that said in an answer that they leave.
    leaving_upstreams: tuple[LeavingUpstream, ...] = ()
    # Streams whose software version their identifiers do not tell.
    streams: tuple[BegunStream, ...] = ()
    # Version of the configuration in force; 0 if there is none.
    version: ConfigVersion = ConfigVersion(0)
    # Why items of the datagram were left out.
    invalid: tuple[str, ...] = field(default=(), compare=False)


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
    """Return a message as the bytes of a datagram, without what can't be encoded."""
    head = [FORMAT, message.process, message.incarnation, message.leaving]
    lists: list[tuple[Sequence[Any], Callable[[Any], Any]]] = [
        (message.started, _encode_work),
        (message.prefilled, _encode_ref),
        (message.ended, _encode_ref),
        (message.changing, _encode_change),
        (message.refused, str),
        (message.limits, _encode_limit),
        (message.reports, _encode_report),
        (message.harmless, _encode_harmless),
        (message.verdicts, _encode_verdict),
        (message.leaving_upstreams, _encode_leaving),
        ((message.version,), int),
        (message.streams, _encode_stream),
    ]
    try:
        rows = [[encode(item) for item in items] for items, encode in lists]
        return cbor2.dumps([*head, *rows])
    except ENCODING_ERRORS:
        rows = [list(_encode_each(items, encode)) for items, encode in lists]
        return cbor2.dumps([*head, *rows])


def _encode_each(
    items: Sequence[Any], encode_item: Callable[[Any], Any]
) -> Iterable[Any]:
    for item in items:
        try:
            row = encode_item(item)
            cbor2.dumps(row)
        except ENCODING_ERRORS as error:
            log_event(
                gateway_events.PEER_ITEM_NOT_SENT,
                kind=type(item).__name__,
                reason=repr(error),
            )
            continue
        yield row


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
        ArithmeticError,
        TypeError,
        ValueError,
        RecursionError,
    ) as error:
        raise PeerMessageError(repr(error)) from error


class _ItemDecoder:
    """Decode the items of a message, and leave out those that are not valid."""

    def __init__(self, lists: list[Any]) -> None:
        self._lists = lists
        self.invalid: list[str] = []

    def decode(self, index: int, decode_item: Callable[[Any], T]) -> tuple[T, ...]:
        """Return the valid items of a list; messages of earlier versions lack some."""
        if index >= len(self._lists):
            return ()
        items = self._lists[index]
        if not isinstance(items, list):
            self.invalid.append(f"list {index}: {type(items).__name__}")
            return ()
        return tuple(self._decode_each(index, items, decode_item))

    def _decode_each(
        self, index: int, items: list[Any], decode_item: Callable[[Any], T]
    ) -> Iterable[T]:
        for item in items:
            try:
                yield decode_item(item)
            except ValueError as error:
                self.invalid.append(f"list {index}: {error}")


def _decode_message(fields: list[Any], now_s: float) -> PeerMessage:
    if fields[0] != FORMAT:
        raise PeerMessageError("unknown message format")
    _, process, incarnation, leaving, *lists = fields
    if len(lists) < MIN_LISTS:
        raise PeerMessageError(f"a message of {len(lists)} lists")
    decoder = _ItemDecoder(lists)
    return PeerMessage(
        process=ProcessId(read_name(process)),
        incarnation=read_count(incarnation),
        leaving=read_flag(leaving),
        started=decoder.decode(0, lambda item: _decode_work(item, now_s)),
        prefilled=decoder.decode(1, _decode_ref),
        ended=decoder.decode(2, _decode_ref),
        changing=decoder.decode(3, _decode_change),
        refused=decoder.decode(4, lambda item: UpstreamId(read_name(item))),
        limits=decoder.decode(5, _decode_limit),
        reports=decoder.decode(6, lambda item: _decode_report(item, now_s)),
        harmless=decoder.decode(7, lambda item: _decode_harmless(item, now_s)),
        verdicts=decoder.decode(8, _decode_verdict),
        leaving_upstreams=decoder.decode(9, _decode_leaving),
        version=_decode_version(decoder),
        streams=decoder.decode(11, _decode_stream),
        # Evaluated last, when all lists are decoded.
        invalid=tuple(decoder.invalid),
    )


def _encode_work(work: Work) -> list[Any]:
    parts = [[part.prefix, part.tokens] for part in work.parts]
    prefill_ms = round(work.prefill_s * MS_PER_S)
    prefill_cost = round(work.prefill_cost)
    transfer_ms = round(work.transfer_s * MS_PER_S)
    head = [work.upstream, work.request, work.priority, prefill_ms, prefill_cost]
    return [*head, parts, transfer_ms]


def _decode_work(item: Any, now_s: float) -> Work:
    # Messages of the previous version lack the transfer time; later ones may add more.
    row = read_row(item, 6, MAX_WORK_VALUES)
    upstream, request, priority, prefill_ms, prefill_cost, parts, *rest = row
    transfer_ms = rest[0] if rest else 0
    return Work(
        request=RequestId(read_name(request)),
        upstream=UpstreamId(read_name(upstream)),
        priority=read_integer(priority),
        prefill_s=read_amount(prefill_ms, MAX_WORK_S * MS_PER_S) / MS_PER_S,
        prefill_cost=read_amount(prefill_cost, MAX_COST),
        started_s=now_s,
        parts=tuple(_decode_part(part) for part in read_list(parts)),
        transfer_s=read_amount(transfer_ms, MAX_TRANSFER_S * MS_PER_S) / MS_PER_S,
    )


def _decode_part(item: Any) -> PromptPart:
    prefix, tokens = read_row(item, 2)
    if not isinstance(prefix, str):
        raise PeerMessageError("a prompt part without a name")
    return PromptPart(PrefixId(prefix), read_count(tokens))


def _encode_change(item: ChangingEngine) -> list[Any]:
    return [item.upstream, item.duration_s]


def _decode_change(item: Any) -> ChangingEngine:
    upstream, duration_s = read_row(item, 2)
    return ChangingEngine(
        UpstreamId(read_name(upstream)), read_duration(duration_s, MAX_CHANGE_S)
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
    upstream, started_ms, rate, sent_age_s, received_age_s = read_row(item, 5)
    return LimitUpdate(
        upstream=UpstreamId(read_name(upstream)),
        started_ms=read_start_ms(started_ms),
        rate=None if rate is None else read_amount(rate, MAX_RATE),
        sent_age_s=read_amount(sent_age_s, MAX_AGE_S),
        received_age_s=read_amount(received_age_s, MAX_AGE_S),
    )


def _encode_report(report: CrashReport) -> list[Any]:
    crash = report.crash
    traits = [sorted(report.traits), sorted(report.unproven)]
    age_s = read_now() - report.at_s
    return [crash.upstream, crash.started_ms, age_s, *traits, report.answer_began]


def _decode_report(item: Any, now_s: float) -> CrashReport:
    upstream, started_ms, age_s, traits, unproven, answer_began = read_row(item, 6)
    return CrashReport(
        crash=CrashId(UpstreamId(read_name(upstream)), read_start_ms(started_ms)),
        at_s=now_s - read_amount(age_s, MAX_AGE_S),
        traits=_decode_traits(traits),
        unproven=_decode_traits(unproven),
        answer_began=read_flag(answer_began),
    )


def _encode_harmless(item: HarmlessTrait) -> list[Any]:
    return [item.trait, read_now() - item.answered_s]


def _decode_harmless(item: Any, now_s: float) -> HarmlessTrait:
    trait, age_s = read_row(item, 2)
    return HarmlessTrait(_decode_trait(trait), now_s - read_amount(age_s, MAX_AGE_S))


def _encode_verdict(verdict: Verdict) -> list[Any]:
    return [verdict.trait, sorted(verdict.companions), verdict.crashes]


def _decode_verdict(item: Any) -> Verdict:
    trait, companions, crashes = read_row(item, 3)
    return Verdict(
        trait=_decode_trait(trait),
        companions=_decode_traits(companions),
        crashes=read_count(crashes, MAX_CRASHES),
    )


def _decode_traits(items: Any) -> frozenset[TraitId]:
    return frozenset(_decode_trait(item) for item in read_row(items, 0, MAX_TRAITS))


def _decode_trait(item: Any) -> TraitId:
    if not isinstance(item, str) or len(item) > MAX_TRAIT_CHARS:
        raise PeerMessageError(f"no text of up to {MAX_TRAIT_CHARS} characters")
    return TraitId(item)


def _encode_ref(ref: WorkRef) -> list[Any]:
    return [ref.upstream, ref.request]


def _decode_version(decoder: _ItemDecoder) -> ConfigVersion:
    versions = decoder.decode(10, lambda item: ConfigVersion(read_count(item)))
    return versions[0] if versions else ConfigVersion(0)


def _encode_leaving(item: LeavingUpstream) -> list[Any]:
    return [item.upstream, item.started_ms]


def _decode_leaving(item: Any) -> LeavingUpstream:
    upstream, started_ms = read_row(item, 2)
    return LeavingUpstream(UpstreamId(read_name(upstream)), read_start_ms(started_ms))


def _encode_stream(item: BegunStream) -> list[Any]:
    return [item.origin, item.service, item.version]


def _decode_stream(item: Any) -> BegunStream:
    origin, service, version = read_row(item, 3)
    return BegunStream(
        origin=RequestId(read_name(origin)),
        service=ServiceName(read_name(service)),
        version=SoftwareVersion(read_name(version)),
    )


def _decode_ref(item: Any) -> WorkRef:
    upstream, request = read_row(item, 2)
    return WorkRef(UpstreamId(read_name(upstream)), RequestId(read_name(request)))
