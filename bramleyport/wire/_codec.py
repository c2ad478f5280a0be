"""Encode messages as CBOR and refuse malformed input."""

import io
from typing import Final

import cbor2
from cattrs import BaseValidationError
from result import Err, Ok, Result

from bramleyport.core import make_strict_converter
from bramleyport.wire._messages import MESSAGES, Message

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_ITEMS: Final = 200_000
MAX_DEPTH: Final = 12

_converter = make_strict_converter()


def encode(message: Message) -> bytes:
    """Encode a message as one CBOR frame."""
    return cbor2.dumps([message.tag, _converter.unstructure(message)])


def decode(data: bytes) -> Result[Message, str]:
    """Decode one CBOR frame or say why it is malformed."""
    if len(data) > MAX_FRAME_BYTES:
        return Err(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        source = io.BytesIO(data)
        value = cbor2.CBORDecoder(source).decode()
    except (
        cbor2.CBORError,
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
        MemoryError,
    ) as error:
        return Err(f"not CBOR: {type(error).__name__}")
    if source.read(1):
        return Err("bytes after the end of the message")
    reason = _check_limits(value)
    if reason:
        return Err(reason)
    return _structure(value)


def _structure(value: object) -> Result[Message, str]:
    if not (isinstance(value, list) and len(value) == 2):
        return Err("not a pair of tag and fields")
    tag, fields = value
    if not isinstance(tag, str) or not isinstance(fields, dict):
        return Err("not a pair of tag and fields")
    kind = MESSAGES.get(tag)
    if kind is None:
        return Err(f"unknown message tag {tag[:40]!r}")
    try:
        return Ok(_converter.structure(fields, kind))
    except (BaseValidationError, ValueError, TypeError, KeyError) as error:
        return Err(f"malformed {tag}: {type(error).__name__}")


def _check_limits(value: object) -> str | None:
    pending = [(value, 1)]
    items = 0
    while pending:
        node, depth = pending.pop()
        items += 1
        if items > MAX_ITEMS:
            return f"more than {MAX_ITEMS} items"
        if depth > MAX_DEPTH:
            return f"nested deeper than {MAX_DEPTH}"
        if isinstance(node, dict):
            pending.extend((child, depth + 1) for child in node.values())
        elif isinstance(node, list | tuple):
            pending.extend((child, depth + 1) for child in node)
    return None
