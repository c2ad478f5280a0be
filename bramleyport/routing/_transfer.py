"""Cost of moving a KV cache from one engine to another."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferCost:
    """Forecast the export and import of a prompt's KV cache."""

    # The share of a host's link that one transfer gets.
    bytes_per_s: float = 2e9
    # 32 layers x 8 heads x 128 values x 2 (key and value) x 2 bytes.
    bytes_per_token: float = 131_072.0
    overhead_s: float = 0.02

    def forecast(self, prompt_tokens: int) -> float:
        """Return the seconds from the end of prefill to the start of decode."""
        return self.overhead_s + prompt_tokens * self.bytes_per_token / self.bytes_per_s
