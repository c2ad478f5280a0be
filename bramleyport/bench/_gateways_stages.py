"""Change the stages of modelled engines as the stage planner decides."""

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from bramleyport.bench._gateways_state import SERVICE, SimulationState
from bramleyport.bench._gateways_view import ModelledGateway
from bramleyport.fleet import EngineView, Registration, StageChange, StagePlanner

if TYPE_CHECKING:
    from bramleyport.core import UpstreamId

POLL_INTERVAL_S: Final = 0.25
# Time for an engine to finish its running calls before it changes.
FINISH_TIME_S: Final = 0.7
LOWEST_PRIORITY: Final = 9


class ModelledStages:
    """Represent the gateway that plans the stages of all engines."""

    def __init__(self, state: SimulationState) -> None:
        self._state = state
        self._planner = StagePlanner()
        self._changes: dict[UpstreamId, StageChange] = {}

    def start(self) -> None:
        """Start to poll the state of the engines."""
        self._state.clock.call_later(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._state.clock.call_later(POLL_INTERVAL_S, self._poll)
        gateway = self._state.network.gateways[0]
        now_s = self._state.clock.now_s
        views = [
            self._make_view(gateway, item, now_s)
            for item in gateway.members.list_ready(SERVICE)
        ]
        change = self._planner.plan(views, self._state.traits.slots, now_s)
        if change is not None:
            self._begin(change, now_s)

    def _make_view(
        self, gateway: ModelledGateway, item: Registration, now_s: float
    ) -> EngineView:
        load = gateway.loads.of(item.upstream)
        change = self._changes.get(item.upstream)
        return EngineView(
            registration=item,
            backlog_s=load.forecast_wait(LOWEST_PRIORITY, now_s),
            decoding_calls=load.count_decoding(),
            transfer_s=load.transfer_s,
            changing=change is not None,
            limited=gateway.limiter.find(item) is not None,
            ordered_stage=change.stage if change else None,
        )

    def _begin(self, change: StageChange, now_s: float) -> None:
        self._planner.record_change(change.upstream, now_s)
        self._changes[change.upstream] = change
        for gateway in self._state.network.gateways:
            gateway.avoided.add(change.upstream)
        duration_s = FINISH_TIME_S + self._state.traits.switch_s
        self._state.clock.call_later(duration_s, lambda: self._finish(change))

    def _finish(self, change: StageChange) -> None:
        del self._changes[change.upstream]
        self._state.engines[change.upstream].stage = change.stage
        for gateway in self._state.network.gateways:
            gateway.avoided.discard(change.upstream)
            known = gateway.members.find(change.upstream)
            assert known is not None
            gateway.members.put(replace(known, stage=change.stage))
