"""Parsing of the load reports that engines publish."""

from collections.abc import Mapping
from typing import Any, Final

from bramleyport.core import (
    EngineLoad,
    EngineRates,
    EngineRole,
    UpstreamView,
    is_encodable,
    read_amount,
    read_count,
)

MAX_RATE: Final = 1e12
MAX_BYTES_PER_TOKEN: Final = 1e12


class MalformedReportError(ValueError):
    """Report an answer of an engine that is no load report."""


def apply_report(view: UpstreamView, report: Mapping[str, Any], now_s: float) -> None:
    """Update the view of an engine from its load report.

    Raise MalformedReportError and leave the view unchanged if a field is missing or of
    another type.
    """
    try:
        role = EngineRole(report["role"])
        models = _read_names(report["models"])
        versions = _read_names(report.get("versions", []))
        adapters = _read_names(report["adapters"])
        block_tokens = read_count(report["block_tokens"])
        rates = _read_rates(report)
        load = _read_load(report, now_s)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise MalformedReportError(repr(error)) from error
    view.role = role
    view.models = models
    view.versions = versions
    view.adapters = adapters
    view.block_tokens = block_tokens
    view.rates = rates
    view.load = load
    _apply_kv(view, report.get("kv"))


def _read_rates(report: Mapping[str, Any]) -> EngineRates:
    return EngineRates(
        prefill_tokens_per_s=read_amount(report["prefill_tokens_per_s"], MAX_RATE),
        decode_tokens_per_s=read_amount(report["decode_tokens_per_s"], MAX_RATE),
        max_streams=read_count(report["max_streams"]),
    )


def _read_load(report: Mapping[str, Any], now_s: float) -> EngineLoad:
    return EngineLoad(
        taken_s=now_s,
        running=read_count(report["running"]),
        queued=read_count(report["queued"]),
        queued_prefill_tokens=read_count(report["queued_prefill_tokens"]),
        running_decode_tokens=read_count(report["running_decode_tokens"]),
        blocks_used=read_count(report["blocks_used"]),
        blocks_total=read_count(report["blocks_total"]),
    )


def _apply_kv(view: UpstreamView, kv: object) -> None:
    """Update the data for KV transfers, or clear it if the engine reports none."""
    view.kv_address, view.kv_bytes_per_token = "", 0.0
    if not isinstance(kv, dict):
        return
    address, size = kv.get("address"), kv.get("bytes_per_token")
    if not isinstance(address, str) or not is_encodable(address):
        return
    try:
        bytes_per_token = read_amount(size, MAX_BYTES_PER_TOKEN)
    except ValueError:
        return
    if bytes_per_token > 0:
        view.kv_address, view.kv_bytes_per_token = address, bytes_per_token


def _read_names(value: Any) -> frozenset[Any]:
    if not isinstance(value, list | tuple):
        raise TypeError(f"not a list of names: {type(value).__name__}")
    if not all(isinstance(name, str) and is_encodable(name) for name in value):
        raise ValueError("a name that is no text")
    return frozenset(value)
