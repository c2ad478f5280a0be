"""Take up streams while the engines of their version are away, and count those lost."""

import asyncio
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Final

from loguru import logger

from bramleyport.core import RequestId, ServiceName, UpstreamId
from bramleyport.fleet import BegunStream, SoftwareVersion, StageChange, VersionShares
from bramleyport.gateway._clock import read_now
from tests.gateway_fleet import ENGINE, LANGUAGE, make_config
from tests.order_search._callers import CallRequest
from tests.order_search._observations import CallId, CallRecord
from tests.order_search._profiles import WORKING
from tests.order_search._search import SHORT_PROMPT, SeededRun
from tests.soak._lost_streams import LostStreams

if TYPE_CHECKING:
    from tests.order_search._upstreams import Upstream

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
SERVICE: Final = ServiceName(LANGUAGE)
ENGINES: Final = ("v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2", "v2")
PLAN_INTERVAL_S: Final = 0.25
SWITCH_S: Final = 3.0
# The stages of idle engines have been planned by then.
BEGIN_S: Final = 20.0
CRASH_S: Final = 21.0
END_S: Final = 32.0
AWAY_S: Final = (1.0, 1.5, 2.0)
REGISTERED_S: Final = 3.6
# From a crash to shares without the version.
NEW_SHARES_S: Final = 0.1
MAX_CRASHED: Final = 2
STREAMS: Final = 60
ARRIVALS_S: Final = 3.0
LIMIT_S: Final = 5.0


class VersionRun(SeededRun):
    """Represent one gateway that plans stages and serves streams of two versions."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, WORKING)
        self.lost_streams = LostStreams()
        self._engines: dict[str, Upstream] = {}
        self._versions: dict[str, str] = {}

    async def _serve(self) -> None:
        config = make_config()
        for route in config["routes"]:
            route["timeout_ms"] = round(LIMIT_S * 1000)
        config["services"][0]["engine"] = ENGINE | {"switch_s": SWITCH_S}
        self._build(config)
        self._add_shares((V1, 0.5), (V2, 0.5))
        for version in self.random.sample(ENGINES, len(ENGINES)):
            self._start_engine(version)
        self._start(self._plan_stages())
        self.network.add(CRASH_S, self._crash_decoders)
        await asyncio.sleep(BEGIN_S)
        for number in range(STREAMS):
            self._send_stream(number)
        await asyncio.sleep(END_S - BEGIN_S)
        self._count_streams()

    def _add_shares(self, *shares: tuple[SoftwareVersion, float]) -> None:
        """Add shares of versions to the earlier ones, as if the store had them."""
        versions = self._gateway.state.stream_versions
        known = [*versions.list_shares(SERVICE), VersionShares(shares)]
        versions.set_shares(SERVICE, known, read_now())

    def _start_engine(self, version: str) -> None:
        number = len(self._versions) + 1
        name, address = f"d{number}", f"10.0.0.{number}:80"
        self._versions[name] = version
        self._engines[name] = self._add_upstream(name, "decode", address, version)

    async def _plan_stages(self) -> None:
        """Carry out the changes that the gateway plans, without a lease."""
        stages = self._gateway._stages
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            now_s = read_now()
            for change, service in list(stages._list_changes(now_s)):
                stages._planners[service].record_change(
                    change.upstream, now_s, change.stage
                )
                target = self._gateway.state.members.find(change.upstream)
                assert target is not None
                stages._orders.record_ordered(target, change.stage, now_s)
                self._change_stage(change, now_s)

    def _change_stage(self, change: StageChange, now_s: float) -> None:
        state = self._gateway.state
        self.network.note(f"{change.upstream} is to {change.stage.value}")
        state.changing_until_s[change.upstream] = now_s + SWITCH_S

        def finish() -> None:
            known = state.members.find(change.upstream)
            if known is not None and change.upstream in self._engines:
                self._engines[change.upstream].stage = change.stage.value
                state.members.put(replace(known, stage=change.stage))

        self.network.add(SWITCH_S, finish)

    def _crash_decoders(self) -> None:
        """Crash the last engines of a version that decode."""
        names = [n for n, e in self._engines.items() if e.stage == "decode"]
        decoders = [name for name in names if self._versions[name] == V2]
        away_s = self.random.choice(AWAY_S)
        for name in decoders[:MAX_CRASHED]:
            self._engines.pop(name).crash()
            self.network.add(away_s, lambda: self._start_engine(V2))
            self.network.add(NEW_SHARES_S, lambda: self._add_shares((V1, 1.0)))
            self.network.add(REGISTERED_S, partial(self._drop, UpstreamId(name)))

    def _drop(self, upstream: UpstreamId) -> None:
        """Remove the registration of an upstream."""
        self._gateway.state.members.drop(upstream)
        self._gateway._remove_upstream(upstream)

    def _send_stream(self, number: int) -> None:
        """Begin a stream, or take up one of the version that crashes."""
        record = CallRecord(
            CallId(f"call-{number}"), 0, "/stream/x", False, BEGIN_S + LIMIT_S
        )
        headers = SHORT_PROMPT | {"Prompt-Prefix": f"c{number}:40"}
        if number % 2:
            origin = RequestId(f"origin-{number}")
            headers |= {"Resumes": origin, "Last-Event-Id": "1"}
            stream = BegunStream(origin=origin, service=SERVICE, version=V2)
            self._gateway.state.stream_versions.record_begun(stream, read_now())
        at_s = self.random.random() * ARRIVALS_S
        request = CallRequest(
            record=record, at_s=at_s, limit_s=LIMIT_S, headers=headers
        )
        self._send_call(replace(request, body=f"body {number}".encode()))

    def _count_streams(self) -> None:
        for number, record in enumerate(self.calls.values()):
            served = record.status == 200
            if number % 2:
                self.lost_streams.record_taken_up(record.call, V2, goes_on=served)
            else:
                self.lost_streams.record_new(begun=served)


def search_versions(seed: int) -> VersionRun:
    """Run one seed without log lines."""
    logger.disable("bramleyport")
    try:
        run = VersionRun(seed)
        run.run()
    finally:
        logger.enable("bramleyport")
    return run
