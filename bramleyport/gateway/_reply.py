"""Send answers of the gateway itself or of upstreams to callers."""

from http import HTTPStatus
from typing import Final

from bramleyport.core import RequestId
from bramleyport.http1 import Answer, CallerConnection
from bramleyport.platform import encode_answer_headers, encode_own_headers

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
