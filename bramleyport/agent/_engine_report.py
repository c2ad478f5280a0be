"""Parsing of the load reports that engines publish."""

from collections.abc import Mapping
from typing import Any

from bramleyport.core import EngineLoad, EngineRates, EngineRole, UpstreamView


class MalformedReportError(ValueError):
    """Report an answer of an engine that is no load report."""


def apply_report(view: UpstreamView, report: Mapping[str, Any], now_s: float) -> None:
    """Update the view of an engine from its load report.

    Raise MalformedReportError and leave the view unchanged if a field is missing or of
    another type.
    """
    try:
        role = EngineRole(report["role"])
        models = frozenset(report["models"])
        versions = frozenset(report.get("versions", ()))
        adapters = frozenset(report["adapters"])
        block_tokens = int(report["block_tokens"])
        rates = _read_rates(report)
        load = _read_load(report, now_s)
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
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
        prefill_tokens_per_s=float(report["prefill_tokens_per_s"]),
        decode_tokens_per_s=float(report["decode_tokens_per_s"]),
        max_streams=int(report["max_streams"]),
    )


def _read_load(report: Mapping[str, Any], now_s: float) -> EngineLoad:
    return EngineLoad(
        taken_s=now_s,
        running=int(report["running"]),
        queued=int(report["queued"]),
        queued_prefill_tokens=int(report["queued_prefill_tokens"]),
        running_decode_tokens=int(report["running_decode_tokens"]),
        blocks_used=int(report["blocks_used"]),
        blocks_total=int(report["blocks_total"]),
    )


def _apply_kv(view: UpstreamView, kv: object) -> None:
    """Update the data for KV transfers, or clear it if the engine reports none."""
    view.kv_address, view.kv_bytes_per_token = "", 0.0
    if not isinstance(kv, dict):
        return
    address, size = kv.get("address"), kv.get("bytes_per_token")
    if isinstance(address, str) and isinstance(size, int | float) and size > 0:
        view.kv_address, view.kv_bytes_per_token = address, float(size)
