"""CBOR encoding of messages, and validation of received frames."""

from collections.abc import Sequence
from dataclasses import is_dataclass
from typing import Any, Final

import cbor2
from cattrs import BaseValidationError, Converter
from cattrs.gen import make_dict_unstructure_fn
from result import Err, Ok, Result

from bramleyport.core import make_strict_converter
from bramleyport.wire._compact import BATCH_CODE, COMPACT_VERSION, expand, shorten
from bramleyport.wire._limits import check_limits
from bramleyport.wire._messages import MESSAGES, PROTOCOL_MIN, Message


def _make_converter() -> Converter:
    converter = make_strict_converter()

    def omit_defaults(kind: type[Any]) -> Any:
        return make_dict_unstructure_fn(kind, converter, _cattrs_omit_if_default=True)

    # Omitting defaults keeps heartbeats small, which are most of the traffic.
    converter.register_unstructure_hook_factory(is_dataclass, omit_defaults)
    return converter


_converter = _make_converter()
# Header of a two-item array and its first item, the code of a batch.
_BATCH_HEADER: Final = b"\x82" + cbor2.dumps(BATCH_CODE)


def encode(message: Message, version: int = PROTOCOL_MIN) -> bytes:
    """Encode a message as one CBOR frame for a protocol version."""
    fields = _converter.unstructure(message)
    if version >= COMPACT_VERSION:
        return cbor2.dumps(shorten(message.tag, fields))
    return cbor2.dumps([message.tag, fields])


def join_batch(parts: Sequence[bytes]) -> bytes:
    """Join encoded messages into one CBOR frame; a single one is returned unchanged.

    Only peers that support `BATCH_VERSION` can decode a batch.
    """
    if len(parts) == 1:
        return parts[0]
    # CBOR items need no separators, so the messages need not be encoded again.
    return _BATCH_HEADER + _encode_array_header(len(parts)) + b"".join(parts)


def _encode_array_header(count: int) -> bytes:
    return cbor2.dumps([None] * count)[:-count]


def decode_all(data: bytes) -> Result[list[Message], str]:
    """Decode a CBOR frame that holds one message or a batch."""
    value = _decode_cbor(data)
    if isinstance(value, Err):
        return value
    pairs = _read_batch(value.ok_value)
    if pairs is None:
        return _structure(value.ok_value).map(lambda message: [message])
    messages: list[Message] = []
    for pair in pairs:
        result = _structure(pair)
        if isinstance(result, Err):
            return result
        messages.append(result.ok_value)
    return Ok(messages)


def decode(data: bytes) -> Result[Message, str]:
    """Decode a CBOR frame that holds one message, or return why it is malformed."""
    value = _decode_cbor(data)
    return value if isinstance(value, Err) else _structure(value.ok_value)


def _decode_cbor(data: bytes) -> Result[object, str]:
    reason = check_limits(data)
    if reason:
        return Err(reason)
    try:
        return Ok(cbor2.loads(data))
    except (
        cbor2.CBORError,
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
        MemoryError,
    ) as error:
        return Err(f"not CBOR: {type(error).__name__}")


def _read_batch(value: object) -> list[object] | None:
    if not (isinstance(value, list) and len(value) == 2):
        return None
    code, pairs = value
    is_batch = type(code) is int and code == BATCH_CODE and isinstance(pairs, list)
    return pairs if is_batch else None


def _structure(value: object) -> Result[Message, str]:
    if not (isinstance(value, list) and len(value) == 2):
        return Err("not a pair of tag and fields")
    tag, fields = value
    if not isinstance(fields, dict):
        return Err("not a pair of tag and fields")
    if type(tag) is int:
        try:
            tag, fields = expand(tag, fields)
        except KeyError:
            return Err(f"unknown message number {tag}")
    if not isinstance(tag, str):
        return Err("not a pair of tag and fields")
    kind = MESSAGES.get(tag)
    if kind is None:
        return Err(f"unknown message tag {tag[:40]!r}")
    try:
        return Ok(_converter.structure(fields, kind))
    except (BaseValidationError, ValueError, TypeError, KeyError) as error:
        return Err(f"malformed {tag}: {type(error).__name__}")
