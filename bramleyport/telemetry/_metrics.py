"""Prometheus metrics of one process."""

from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

FIRST_TOKEN_BUCKETS_S: Final = [0.05, 0.1, 0.2, 0.4, 0.61, 1, 2, 5, 15, 60]
BETWEEN_TOKENS_BUCKETS_S: Final = [0.005, 0.01, 0.02, 0.04, 0.057, 0.1, 0.25, 1]
ANSWER_BUCKETS_S: Final = [0.1, 0.5, 1, 2, 5, 10, 30, 60, 300, 1800]


class Metrics:
    """Represent the counters, gauges and histograms that a process exposes."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._count("bramleyport_requests_total", "Requests by result")
        self.rejected = self._count("bramleyport_rejected_total", "Rejects by reason")
        self.attempts = self._count("bramleyport_attempts_total", "Attempts by result")
        self.store_calls = self._count(
            "bramleyport_store_calls_total", "Object API calls by kind and result"
        )
        self.decisions = self._count(
            "bramleyport_decisions_total", "Decisions by kind and reason"
        )
        self.role_changes = self._count(
            "bramleyport_role_changes_total", "Role changes applied by pool and role"
        )
        self.orders_refused = self._count(
            "bramleyport_orders_refused_total",
            "Orders refused for an old fencing number by pool and refuser",
        )
        self.splits = self._count(
            "bramleyport_splits_total", "Prefills for another engine by result"
        )
        self.imports = self._count(
            "bramleyport_kv_imports_total", "Imports of KV blocks by result"
        )
        self.orders = self._count(
            "bramleyport_orders_total", "Orders by progress or refusal"
        )
        self.duty_calls = self._count(
            "bramleyport_duty_calls_total",
            "Calls to the platform API by duty and result",
        )
        self.gauges = Gauge(
            "bramleyport_state", "State by name", registry=self.registry
        )
        self.scale = Gauge(
            "bramleyport_scale",
            "Upstreams of a service in a zone: serving, and ordered",
            registry=self.registry,
        )
        self.upstream_limits = Gauge(
            "bramleyport_upstream_limit",
            "Rate limits that upstreams name: requests a second, and age in seconds",
            registry=self.registry,
        )
        self.account_capacity = Gauge(
            "bramleyport_account_capacity",
            "What accounts have of services that they share: slots, or prefill seconds",
            registry=self.registry,
        )
        self.first_token_s = self._histogram(
            "bramleyport_first_token_seconds", FIRST_TOKEN_BUCKETS_S
        )
        self.between_tokens_s = self._histogram(
            "bramleyport_between_tokens_seconds", BETWEEN_TOKENS_BUCKETS_S
        )
        self.queue_wait_s = self._histogram(
            "bramleyport_queue_wait_seconds", FIRST_TOKEN_BUCKETS_S
        )
        self.answer_s = self._histogram("bramleyport_answer_seconds", ANSWER_BUCKETS_S)

    def render_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        content, _ = render(self.registry, ["text/plain"])
        return content

    def _count(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _histogram(self, name: str, buckets: list[float]) -> Histogram:
        return Histogram(
            name,
            "By tenant or service, and rank",
            buckets=buckets,
            registry=self.registry,
        )
