"""Helpers of the HTTP stand-ins."""

import json
from typing import Any

from twisted.web.server import Request


def read_body(request: Request) -> bytes:
    """Return the whole body of a request."""
    body: bytes = request.content.read() if request.content else b""
    return body


def read_json(request: Request) -> Any:
    """Return the decoded JSON body of a request."""
    return json.loads(read_body(request))


def reply_json(request: Request, code: int, value: Any) -> bytes:
    """Set the status and content type and return a JSON body."""
    request.setResponseCode(code)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(value).encode()


def break_connection(request: Request) -> None:
    """Abort the connection without a response."""
    transport: Any = request.transport
    if transport is not None:
        transport.abortConnection()
