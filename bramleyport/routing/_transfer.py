"""Conditions and cost of the transfer of a KV cache between engines."""

from dataclasses import dataclass

from bramleyport.core import EngineRole, ServiceKind, UpstreamView, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferCost:
    """Represent the cost of the export and import of a prompt's KV cache."""

    # Bandwidth of one transfer, a share of the host's link.
    bytes_per_s: float = 2e9
    overhead_s: float = 0.02

    def forecast(self, prompt_tokens: int, bytes_per_token: float) -> float:
        """Return the seconds from the end of prefill to the start of decode."""
        return self.overhead_s + prompt_tokens * bytes_per_token / self.bytes_per_s


def can_split(work: Work, source: UpstreamView, target: UpstreamView) -> bool:
    """Return whether work may prefill on one engine and decode on the other."""
    if work.kind is not ServiceKind.LANGUAGE or not work.idempotent:
        return False
    if target.role is EngineRole.PREFILL or source.upstream == target.upstream:
        return False
    # Block digests cover neither adapter nor version, so blocks of another adapter or
    # version would be used by mistake.
    if work.adapter is not None or source.versions != target.versions:
        return False
    if not source.kv_address or not target.kv_address:
        return False
    # A different size means a different layout.
    return 0 < source.kv_bytes_per_token == target.kv_bytes_per_token
