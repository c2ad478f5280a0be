"""Define what gateways tell each other: its scope, its end, its bound and its form.

A datagram has one list of items for each kind of fact, in the order of this module. New
kinds come last: gateways of earlier versions ignore the lists that they do not know.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from bramleyport.core import (
    RequestId,
    Revision,
    ServiceName,
    StoreEra,
    StoreRevision,
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
    EndedProcess,
    HarmlessTrait,
    LeavingUpstream,
    PrefixId,
    PromptPart,
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

MS_PER_S: Final = 1000
MAX_WORK_VALUES: Final = 16
# Longest time for which a process counts as ended after a peer has told of it.
MAX_ENDED_S: Final = 10.0

Encoder = Callable[[Any], Any]
# Decodes an item that arrived at a point in time.
Decoder = Callable[[Any, float], Any]


class Scope(Enum):
    """Represent what a fact is about."""

    CALL = "call"
    STREAM = "stream"
    # An upstream under its identifier, and one process of it.
    UPSTREAM = "upstream"
    PROCESS = "process"
    # What calls may have in common.
    TRAIT = "trait"
    GATEWAY = "gateway"


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedFact:
    """Describe one kind of fact that gateways tell each other."""

    # Of the message; its items are the facts.
    field: str
    scope: Scope
    # When a gateway that was told does not use it any more.
    end: str
    # How many a gateway keeps at most.
    bound: str
    encode: Encoder
    decode: Decoder


FACTS: Final[list[SharedFact]] = []


def register_fact(
    field: str, encode: Encoder, *, scope: Scope, end: str, bound: str
) -> Callable[[Decoder], Decoder]:
    """Register a kind of fact by the function that decodes it."""

    def register(decode: Decoder) -> Decoder:
        fact = SharedFact(
            field=field,
            scope=scope,
            end=end,
            bound=bound,
            encode=encode,
            decode=decode,
        )
        FACTS.append(fact)
        return decode

    return register


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


def _encode_work(work: Work) -> list[Any]:
    parts = [[part.prefix, part.tokens] for part in work.parts]
    prefill_ms = round(work.prefill_s * MS_PER_S)
    prefill_cost = round(work.prefill_cost)
    transfer_ms = round(work.transfer_s * MS_PER_S)
    head = [work.upstream, work.request, work.priority, prefill_ms, prefill_cost]
    return [*head, parts, transfer_ms]


def _decode_part(item: Any) -> PromptPart:
    prefix, tokens = read_row(item, 2)
    if not isinstance(prefix, str):
        raise PeerMessageError("a prompt part without a name")
    return PromptPart(PrefixId(prefix), read_count(tokens))


@register_fact(
    "started",
    _encode_work,
    scope=Scope.CALL,
    end="it ends, its gateway ends, or an hour has passed",
    bound="the calls in flight",
)
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


def _encode_ref(ref: WorkRef) -> list[Any]:
    return [ref.upstream, ref.request]


@register_fact(
    "prefilled",
    _encode_ref,
    scope=Scope.CALL,
    end="its call ends",
    bound="one for each call in flight",
)
def _decode_prefilled(item: Any, _: float) -> WorkRef:
    return _decode_ref(item)


@register_fact(
    "ended", _encode_ref, scope=Scope.CALL, end="at once", bound="none are kept"
)
def _decode_ended(item: Any, _: float) -> WorkRef:
    return _decode_ref(item)


def _encode_change(item: ChangingEngine) -> list[Any]:
    return [item.upstream, item.duration_s]


@register_fact(
    "changing",
    _encode_change,
    scope=Scope.UPSTREAM,
    end="the named time has passed, or it starts again",
    bound="one for each upstream",
)
def _decode_change(item: Any, _: float) -> ChangingEngine:
    upstream, duration_s = read_row(item, 2)
    return ChangingEngine(
        UpstreamId(read_name(upstream)), read_duration(duration_s, MAX_CHANGE_S)
    )


@register_fact(
    "refused",
    str,
    scope=Scope.UPSTREAM,
    end="it answers, registers again, or some seconds have passed",
    bound="one for each upstream",
)
def _decode_refused(item: Any, _: float) -> UpstreamId:
    return UpstreamId(read_name(item))


def _encode_limit(update: LimitUpdate) -> list[Any]:
    return [
        update.upstream,
        update.started_ms,
        update.rate,
        update.sent_age_s,
        update.received_age_s,
    ]


@register_fact(
    "limits",
    _encode_limit,
    scope=Scope.PROCESS,
    end="an answer names none, or the process ends",
    bound="one for each registered upstream",
)
def _decode_limit(item: Any, _: float) -> LimitUpdate:
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
    ran = [] if report.ran_s is None else [report.ran_s]
    return [crash.upstream, crash.started_ms, age_s, *traits, report.answer_began, *ran]


def _decode_traits(items: Any) -> frozenset[TraitId]:
    return frozenset(_decode_trait(item) for item in read_row(items, 0, MAX_TRAITS))


def _decode_trait(item: Any) -> TraitId:
    if not isinstance(item, str) or len(item) > MAX_TRAIT_CHARS:
        raise PeerMessageError(f"no text of up to {MAX_TRAIT_CHARS} characters")
    return TraitId(item)


@register_fact(
    "reports",
    _encode_report,
    scope=Scope.TRAIT,
    end="an answer clears the trait, or 300 s have passed",
    bound="8,192 traits, 512 crashes",
)
def _decode_report(item: Any, now_s: float) -> CrashReport:
    # Gateways of earlier versions report no calls that had run.
    upstream, started_ms, age_s, traits, unproven, answer_began, *ran = read_row(
        item, 6, 7
    )
    return CrashReport(
        crash=CrashId(UpstreamId(read_name(upstream)), read_start_ms(started_ms)),
        at_s=now_s - read_amount(age_s, MAX_AGE_S),
        traits=_decode_traits(traits),
        unproven=_decode_traits(unproven),
        answer_began=read_flag(answer_began),
        ran_s=read_amount(ran[0], MAX_AGE_S) if ran else None,
    )


def _encode_harmless(item: HarmlessTrait) -> list[Any]:
    return [item.trait, read_now() - item.answered_s]


@register_fact(
    "harmless",
    _encode_harmless,
    scope=Scope.TRAIT,
    end="others push it out; for a request, 60 s have passed",
    bound="65,536 parts and 8,192 requests",
)
def _decode_harmless(item: Any, now_s: float) -> HarmlessTrait:
    trait, age_s = read_row(item, 2)
    return HarmlessTrait(_decode_trait(trait), now_s - read_amount(age_s, MAX_AGE_S))


def _encode_verdict(verdict: Verdict) -> list[Any]:
    return [verdict.trait, sorted(verdict.companions), verdict.crashes]


@register_fact(
    "verdicts",
    _encode_verdict,
    scope=Scope.TRAIT,
    end="a call with it is answered",
    bound="2,048 traits",
)
def _decode_verdict(item: Any, _: float) -> Verdict:
    trait, companions, crashes = read_row(item, 3)
    return Verdict(
        trait=_decode_trait(trait),
        companions=_decode_traits(companions),
        crashes=read_count(crashes, MAX_CRASHES),
    )


def _encode_leaving(item: LeavingUpstream) -> list[Any]:
    return [item.upstream, item.started_ms]


@register_fact(
    "leaving_upstreams",
    _encode_leaving,
    scope=Scope.PROCESS,
    end="the next process starts",
    bound="8,192 processes",
)
def _decode_leaving(item: Any, _: float) -> LeavingUpstream:
    upstream, started_ms = read_row(item, 2)
    return LeavingUpstream(UpstreamId(read_name(upstream)), read_start_ms(started_ms))


@register_fact(
    "version",
    int,
    scope=Scope.GATEWAY,
    end="it tells another",
    bound="one for each gateway",
)
def _decode_version(item: Any, _: float) -> ConfigVersion:
    return ConfigVersion(read_count(item))


def _encode_stream(item: BegunStream) -> list[Any]:
    return [item.origin, item.service, item.version]


@register_fact(
    "streams",
    _encode_stream,
    scope=Scope.STREAM,
    end="it may not go on any more",
    bound="16,384 streams",
)
def _decode_stream(item: Any, _: float) -> BegunStream:
    origin, service, version = read_row(item, 3)
    return BegunStream(
        origin=RequestId(read_name(origin)),
        service=ServiceName(read_name(service)),
        version=SoftwareVersion(read_name(version)),
    )


def _encode_revision(revision: StoreRevision) -> list[Any]:
    return [revision.era, revision.number]


@register_fact(
    "shares_revision",
    _encode_revision,
    scope=Scope.GATEWAY,
    end="it tells another, or it is not running any more",
    bound="one for each gateway",
)
def _decode_revision(item: Any, _: float) -> StoreRevision:
    era, number = read_row(item, 2)
    return StoreRevision(StoreEra(read_count(era)), Revision(read_count(number)))


def _encode_ended_process(item: EndedProcess) -> list[Any]:
    return [item.upstream, item.started_ms, max(0.0, item.until_s - read_now())]


@register_fact(
    "ended_processes",
    _encode_ended_process,
    scope=Scope.PROCESS,
    end="the next process registers, or some seconds have passed",
    bound="8,192 processes",
)
def _decode_ended_process(item: Any, now_s: float) -> EndedProcess:
    upstream, started_ms, remaining_s = read_row(item, 3)
    return EndedProcess(
        UpstreamId(read_name(upstream)),
        read_start_ms(started_ms),
        until_s=now_s + read_duration(remaining_s, MAX_ENDED_S),
    )


def _decode_ref(item: Any) -> WorkRef:
    upstream, request = read_row(item, 2)
    return WorkRef(UpstreamId(read_name(upstream)), RequestId(read_name(request)))
