"""Send answers of the gateway itself or of upstreams to callers."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, Literal

from bramleyport.core import REFUSAL_STATUSES, RequestId
from bramleyport.fleet import Repeatability
from bramleyport.gateway._attempt_record import Attempts, NotRunProof
from bramleyport.http1 import Answer, CallerConnection
from bramleyport.platform import encode_answer_headers, encode_own_headers

# An unexpected error rarely repeats for the same call.
RETRY_AFTER_ERROR_S: Final = 0.1
TEXT_TYPE: Final = (b"Content-Type", b"text/plain")
# Why a request is answered 401.
UNKNOWN_KEY: Final = "unknown_key"
# Statuses that say nothing of whether a call has run.
OwnStatus = Literal[
    HTTPStatus.OK,
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.UNAUTHORIZED,
    HTTPStatus.NOT_FOUND,
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.GATEWAY_TIMEOUT,
]


@dataclass(frozen=True, slots=True)
class RelayableAnswer:
    """Describe an answer of an upstream that the caller may get unchanged."""

    answer: Answer


def make_relayable(
    answer: Answer, repeatability: Repeatability
) -> RelayableAnswer | None:
    """Return the answer unless it would promise that a call that ran has not run.

    Calls that may be repeated keep no such promise.
    """
    if answer.status in REFUSAL_STATUSES and not repeatability.may_repeat:
        return None
    return RelayableAnswer(answer)


def reply(
    connection: CallerConnection,
    status: OwnStatus,
    request: RequestId | None,
    reason: str,
) -> None:
    """Send a final answer of the gateway itself, which promises nothing."""
    _reply(connection, status, request, reason, None)


def reply_unknown_key(connection: CallerConnection, request: RequestId | None) -> None:
    """Answer a request whose key names no client account."""
    reply(connection, HTTPStatus.UNAUTHORIZED, request, UNKNOWN_KEY)


def refuse(
    connection: CallerConnection,
    proof: NotRunProof,
    request: RequestId | None,
    reason: str,
    retry_after_s: float,
) -> None:
    """Refuse a call that has not run, and tell the caller when to send it again."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    _reply(connection, status, request, reason, retry_after_s)


def reply_not_ready(connection: CallerConnection) -> None:
    """Answer the load balancer that this gateway takes no calls."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    _reply(connection, status, None, "not ready", None)


def relay_answer(connection: CallerConnection, relayable: RelayableAnswer) -> None:
    """Relay the complete answer of an upstream unchanged."""
    answer = relayable.answer
    headers = encode_answer_headers(answer.headers)
    connection.answer(answer.status, answer.reason, headers, answer.body)


def answer_failed_call(
    connection: CallerConnection, request: RequestId | None, attempts: Attempts
) -> None:
    """End a call that can't be served further, with an answer if none has begun."""
    if not connection.answerable:
        connection.truncate_answer()
        return
    proof = attempts.close_unless_run()
    if proof is None:
        reply(connection, HTTPStatus.BAD_GATEWAY, request, "call_ended")
    else:
        refuse(connection, proof, request, "call_ended", RETRY_AFTER_ERROR_S)


def _reply(
    connection: CallerConnection,
    status: HTTPStatus,
    request: RequestId | None,
    reason: str,
    retry_after_s: float | None,
) -> None:
    headers = [*encode_own_headers(request, retry_after_s), TEXT_TYPE]
    phrase = status.phrase.encode()
    connection.answer(status.value, phrase, headers, f"{reason}\n".encode())
