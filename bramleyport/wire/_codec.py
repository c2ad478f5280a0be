"""Encode messages as CBOR and refuse malformed input."""

from dataclasses import is_dataclass
from typing import Any

import cbor2
from cattrs import BaseValidationError, Converter
from cattrs.gen import make_dict_unstructure_fn
from result import Err, Ok, Result

from bramleyport.core import make_strict_converter
from bramleyport.wire._compact import COMPACT_VERSION, expand, shorten
from bramleyport.wire._limits import check_limits
from bramleyport.wire._messages import MESSAGES, PROTOCOL_MIN, Message


def _make_converter() -> Converter:
    converter = make_strict_converter()

    def omit_defaults(kind: type[Any]) -> Any:
        return make_dict_unstructure_fn(kind, converter, _cattrs_omit_if_default=True)

    # Heartbeats are most of the traffic, and most of their fields keep the default.
    converter.register_unstructure_hook_factory(is_dataclass, omit_defaults)
    return converter


_converter = _make_converter()


def encode(message: Message, version: int = PROTOCOL_MIN) -> bytes:
    """Encode a message as one CBOR frame of a protocol version."""
    fields = _converter.unstructure(message)
    if version >= COMPACT_VERSION:
        return cbor2.dumps(shorten(message.tag, fields))
    return cbor2.dumps([message.tag, fields])


def decode(data: bytes) -> Result[Message, str]:
    """Decode one CBOR frame or say why it is malformed."""
    reason = check_limits(data)
    if reason:
        return Err(reason)
    try:
        value = cbor2.loads(data)
    except (
        cbor2.CBORError,
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
        MemoryError,
    ) as error:
        return Err(f"not CBOR: {type(error).__name__}")
    return _structure(value)


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
