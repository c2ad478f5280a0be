"""Define an engine that follows orders to change its stage."""

import asyncio
import json
import time
from typing import Any

from tests.platform_standin._http import RawRequest, render_response
from tests.platform_standin._store import StoreStandin
from tests.platform_standin._upstream import (
    UpstreamStandin,
    answer_own_request,
    is_prefill,
)
from tests.platform_standin._versions import VersionedEngine

RUNNING_POLL_S = 0.02


class StagedEngine(VersionedEngine):
    """Represent a versioned engine that either prefills or decodes, as ordered."""

    def __init__(self, name: str, *, service: str, stage: str = "") -> None:
        super().__init__(name, service=service, stage=stage)
        self.own_script = follow_orders
        # From the end of the running work to the new stage.
        self.switch_s = 3.0
        # When it took its last order.
        self.ordered_s = 0.0
        self._running = 0
        self._registered: tuple[StoreStandin, dict[str, Any]] | None = None
        self._switch: asyncio.Task[None] | None = None

    def register(self, store: StoreStandin, **changes: Any) -> None:
        self._registered = (store, changes)
        super().register(store, **changes)

    async def stop(self) -> None:
        if self._switch is not None:
            self._switch.cancel()
        await super().stop()

    def follow(self, order: dict[str, Any]) -> int:
        """Begin to carry out an order unless it is refused; return the status."""
        if self.busy or order["expected"] != self.accepted_orders:
            return 409
        if order["stage"] == self.stage:
            return 200
        self.record_order(order)
        self.busy = True
        self.ordered_s = time.monotonic()
        self._switch = asyncio.ensure_future(self._change_to(order["stage"]))
        return 202

    async def _change_to(self, stage: str) -> None:
        while self._running:
            await asyncio.sleep(RUNNING_POLL_S)
        await asyncio.sleep(self.switch_s)
        self.stage, self.busy = stage, False
        if self._registered is not None:
            store, changes = self._registered
            self.register(store, **changes)

    async def _serve_one(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.path.startswith("/-/"):
            await super()._serve_one(request, writer)
        elif self.busy:
            headers = {"Request_Id": request.headers.get("request-id", "")}
            writer.write(render_response(503, Not_Run="1", **headers))
        elif is_prefill(request) is not (self.stage == "prefill"):
            writer.write(render_response(421, Instance_Id=self.name))
        else:
            self._running += 1
            try:
                await super()._serve_one(request, writer)
            finally:
                self._running -= 1


async def follow_orders(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Carry out an order, or answer another request of a gateway itself."""
    assert isinstance(upstream, StagedEngine)
    if request.path == "/-/order":
        writer.write(render_response(upstream.follow(json.loads(request.body))))
    else:
        await answer_own_request(upstream, request, writer)
