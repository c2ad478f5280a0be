"""Prefills for other engines, as the agent runs them."""

import time
from typing import TYPE_CHECKING

from bramleyport.agent._attempt import AgentAttempt
from bramleyport.agent._scheduler import WorkPart
from bramleyport.core import Execution, UpstreamId
from bramleyport.estimate import Observation
from bramleyport.telemetry import log_event, transfer_events
from bramleyport.upstreams import EngineClient, PlainClient
from bramleyport.wire import Execute, Prefill, Prefilled

if TYPE_CHECKING:
    from collections.abc import Callable

    from bramleyport.transport import Connection


class AgentPrefill(AgentAttempt):
    """Represent one prefill, whose KV blocks another engine will import."""

    def __init__(
        self,
        prefill: Prefill,
        connection: "Connection",
        read_address: "Callable[[], str]",
    ) -> None:
        super().__init__(_make_execute(prefill), connection)
        self.prefilled: Prefilled | None = None
        self._read_address = read_address

    @property
    def part(self) -> WorkPart:
        """Return which part of the request runs on this engine."""
        return WorkPart.PREFILL

    @property
    def answered(self) -> bool:
        """Return whether the prefill has completed."""
        return self.prefilled is not None

    def measure(self, upstream: UpstreamId) -> Observation | None:
        """Return the measured times, or None if the prefill failed."""
        if self.prefilled is None:
            return None
        return Observation(
            work=self.execute.work,
            upstream=upstream,
            output_tokens=0,
            cached_tokens=self.cached_tokens,
            wait_s=self.prefilled.wait_s,
            prefill_s=self.prefilled.prefill_s,
            decode_s=0.0,
        )

    async def _run_call(self, service: PlainClient) -> None:
        self.fail(Execution.NOT_RUN, "the upstream is no engine")

    async def _run_completion(self, engine: EngineClient) -> None:
        work = self.execute.work
        blocks = await engine.export_kv(
            self.execute.attempt, self._parse_prompt(), work.rank.priority, work.model
        )
        self.prefilled = Prefilled(
            attempt=self.execute.attempt,
            source=self._read_address(),
            blocks=blocks,
            wait_s=self._started_s - self._queued_s,
            prefill_s=time.monotonic() - self._started_s,
        )
        log_event(
            transfer_events.KV_EXPORTED,
            attempt=self.execute.attempt,
            blocks=len(blocks),
            wait_s=self.prefilled.wait_s,
            prefill_s=self.prefilled.prefill_s,
        )
        self.connection.post(self.prefilled)


def _make_execute(prefill: Prefill) -> Execute:
    return Execute(
        attempt=prefill.attempt,
        work=prefill.work,
        method="POST",
        path="",
        headers={},
        body=prefill.body,
        time_left_s=prefill.time_left_s,
    )
