"""Encode and decode messages between gateways as CBOR in datagrams."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import cbor2

from bramleyport.core import (
    ProcessId,
    StoreRevision,
    UpstreamId,
)
from bramleyport.duties import WindowCounts
from bramleyport.fleet import (
    BegunStream,
    ConfigVersion,
    CrashReport,
    EndedProcess,
    HarmlessTrait,
    LeavingUpstream,
    RateLimitNotice,
    Verdict,
    Work,
)
from bramleyport.gateway._account_facts import DutyStatus, WorkAccount
from bramleyport.gateway._configuration_chunks import (
    FORMAT as CHUNK_FORMAT,
    ConfigurationChunk,
    decode_chunk,
)
from bramleyport.gateway._peer_fields import (
    PeerMessageError,
    read_count,
    read_flag,
    read_name,
)
from bramleyport.gateway._shared_facts import (
    FACTS,
    ChangingEngine,
    Decoder,
    LimitUpdate,
    SharedFact,
    WorkRef,
)
from bramleyport.gateway._store_updates import (
    FORMAT as STORE_UPDATE_FORMAT,
    StoreUpdate,
    decode_store_update,
)
from bramleyport.telemetry import gateway_events, log_event

FORMAT: Final = 1
# Of the fact that each message has one of.
VERSION_FIELD: Final = "version"
# Keeps datagrams below the usual path MTU: a larger one is fragmented, and the loss of
# one fragment loses all of it.
MAX_ITEMS: Final = 12
# The same for items that may name up to 32 traits of calls.
MAX_REPORTS: Final = 2


# Longest usual delay of an update. A limit is raised or ended only by an answer to a
# request that was certainly sent after the limit was received.
MAX_UPDATE_DELAY_S: Final = 0.25
# Messages of the earliest version end with the engines that change their stage.
MIN_LISTS: Final = 4
# Raised for names with lone surrogates and for numbers that are not finite.
ENCODING_ERRORS: Final = (
    cbor2.CBOREncodeError,
    ArithmeticError,
    TypeError,
    ValueError,
    RecursionError,
)


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
    # The newest shares of software versions that its sender knows, if it knows any.
    shares_revision: tuple[StoreRevision, ...] = ()
    # Upstream processes that seem to have ended.
    ended_processes: tuple[EndedProcess, ...] = ()
    # At most one, if this gateway has duties.
    duty_status: tuple[DutyStatus, ...] = ()
    usage: tuple[WindowCounts, ...] = ()
    # The client accounts of the work that has started.
    accounts: tuple[WorkAccount, ...] = ()
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
    lists = [(_list_items(message, fact), fact.encode) for fact in FACTS]
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


def decode_datagram(
    data: bytes, now_s: float
) -> PeerMessage | StoreUpdate | ConfigurationChunk:
    """Return the message in a datagram; the work in it is taken to start now."""
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, list) or not fields:
            raise PeerMessageError("the datagram is not a list")
        if fields[0] == CHUNK_FORMAT:
            return decode_chunk(fields)
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

    def __init__(self, lists: list[Any], now_s: float) -> None:
        self._lists = lists
        self._now_s = now_s
        self.invalid: list[str] = []

    def decode(self, index: int, decode_item: Decoder) -> tuple[Any, ...]:
        """Return the valid items of a list; messages of earlier versions lack some."""
        if index >= len(self._lists):
            return ()
        items = self._lists[index]
        if not isinstance(items, list):
            self.invalid.append(f"list {index}: {type(items).__name__}")
            return ()
        return tuple(self._decode_each(index, items, decode_item))

    def _decode_each(
        self, index: int, items: list[Any], decode_item: Decoder
    ) -> Iterable[Any]:
        for item in items:
            try:
                yield decode_item(item, self._now_s)
            except ValueError as error:
                self.invalid.append(f"list {index}: {error}")


def _decode_message(fields: list[Any], now_s: float) -> PeerMessage:
    if fields[0] != FORMAT:
        raise PeerMessageError("unknown message format")
    _, process, incarnation, leaving, *lists = fields
    if len(lists) < MIN_LISTS:
        raise PeerMessageError(f"a message of {len(lists)} lists")
    decoder = _ItemDecoder(lists, now_s)
    items = {
        fact.field: decoder.decode(index, fact.decode)
        for index, fact in enumerate(FACTS)
    }
    versions = items.pop(VERSION_FIELD)
    return PeerMessage(
        process=ProcessId(read_name(process)),
        incarnation=read_count(incarnation),
        leaving=read_flag(leaving),
        version=versions[0] if versions else ConfigVersion(0),
        invalid=tuple(decoder.invalid),
        **items,
    )


def _list_items(message: PeerMessage, fact: SharedFact) -> Sequence[Any]:
    """Return the items of a kind; a message has one version of the configuration."""
    items = getattr(message, fact.field)
    return (items,) if fact.field == VERSION_FIELD else items
