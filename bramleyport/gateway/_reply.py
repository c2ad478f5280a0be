"""Send answers of the gateway itself or of upstreams to callers."""

from http import HTTPStatus
from typing import Final

from bramleyport.core import RequestId
from bramleyport.http1 import Answer, CallerConnection
from bramleyport.platform import encode_answer_headers, encode_own_headers

# An unexpected error rarely repeats for the same call.
RETRY_AFTER_ERROR_S: Final = 0.1
TEXT_TYPE: Final = (b"Content-Type", b"text/plain")


def reply(
    connection: CallerConnection,
    status: HTTPStatus,
    request: RequestId | None,
    reason: str,
    retry_after_s: float | None = None,
) -> None:
    """Send a final answer of the gateway itself."""
    headers = [*encode_own_headers(request, retry_after_s), TEXT_TYPE]
    phrase = status.phrase.encode()
    connection.answer(status.value, phrase, headers, f"{reason}\n".encode())


def relay_answer(connection: CallerConnection, answer: Answer) -> None:
    """Relay the complete answer of an upstream unchanged."""
    headers = encode_answer_headers(answer.headers)
    connection.answer(answer.status, answer.reason, headers, answer.body)


def answer_failed_call(
    connection: CallerConnection, request: RequestId | None, *, may_have_run: bool
) -> None:
    """End a call that can't be served further, with an answer if none has begun.

    Status 503 states that the call has not run, so it needs certainty.
    """
    if not connection.answerable:
        connection.truncate_answer()
    elif may_have_run:
        reply(connection, HTTPStatus.BAD_GATEWAY, request, "call_ended")
    else:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        reply(connection, status, request, "call_ended", RETRY_AFTER_ERROR_S)
