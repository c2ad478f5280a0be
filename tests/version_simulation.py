"""Simulate gateways that begin and take up streams while versions come and go."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import yaml
from result import Err, Ok

from bramleyport.core import (
    ProcessId,
    RequestId,
    Revision,
    ServiceName,
    StoreEra,
    StoreRevision,
    UpstreamId,
    ZoneName,
)
from bramleyport.fleet import (
    Address,
    Call,
    Configuration,
    ConfigVersion,
    Registration,
    Repeatability,
    Route,
    RouteName,
    RouteTable,
    ServiceShare,
    SoftwareVersion,
    Stage,
)
from bramleyport.gateway._attempt_record import Attempts
from bramleyport.gateway._begun_stream_store import BegunStreamStore
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._follower import Follower, UnsharedLink, WatchTimes
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._version_choice import VersionChooser
from bramleyport.gateway._version_store import KIND, VersionStore
from bramleyport.platform import (
    Change,
    ChangeBatch,
    Listing,
    ObjectName,
    StoredObject,
    StoreError,
    StoreFailure,
    decode_shares,
    load_node_settings,
)
from bramleyport.platform._store_eras import StoreEras
from tests.gateway_fleet import make_settings
from tests.virtual_loop import VirtualLoop

SERVICE = ServiceName("language")
V1, V2, V3 = map(SoftwareVersion, ("v1", "v2", "v3"))
GATEWAYS = ("g0", "g1", "g2")
LATENCY_S = 0.004
# Shortest time in which a caller notices that its stream broke and takes it up.
TAKE_UP_S = 0.05
TIMEOUT_S = 5.0
HOLD_S = 0.1
ERA = StoreEra(1)
ROUTE = Route(
    name=RouteName("stream"),
    host="calls.example",
    path_prefix="/",
    repeatability=Repeatability.STREAM_RESUMABLE,
    timeout_s=TIMEOUT_S,
    objective_s=1.0,
    priority=0,
    services=(ServiceShare(SERVICE, 1.0),),
    max_attempts=2,
)
ROUTES = RouteTable(
    Configuration(version=ConfigVersion(1), routes=(ROUTE,), services={})
)


class SharedStore:
    """Represent the store: objects by kind and name with conditional writes."""

    def __init__(self) -> None:
        self.number = 1
        self.objects: dict[tuple[Any, str], tuple[int, Any]] = {}
        self.changed = asyncio.Event()
        self.writes_by_kind: Counter[Any] = Counter()
        self.history: list[tuple[Any, Any]] = []

    def write(
        self, kind: Any, name: str, document: Any, expected: int | None
    ) -> int | None:
        """Write an object; return its revision, or None for a conflict."""
        known = self.objects.get((kind, name))
        if (known[0] if known else None) != expected:
            return None
        self.number += 1
        self.writes_by_kind[kind] += 1
        self.history.append((kind, document))
        self.objects[kind, name] = (self.number, document)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.number


class StoreLink:
    """Represent what one gateway reaches of the store."""

    def __init__(self, store: SharedStore) -> None:
        self.eras = StoreEras()
        self.cut = False
        self._store = store

    async def list_objects(self, kind: Any, **_: Any) -> Any:
        found = await self._answer(lambda: self._make_listing(kind))
        return found if isinstance(found, Err) else Ok(found)

    async def get(self, kind: Any, name: str) -> Any:
        found = await self._answer(lambda: self._store.objects.get((kind, name)))
        if isinstance(found, Err):
            return found
        return Ok(_make_object(name, found)) if found else _fail(StoreFailure.NOT_FOUND)

    async def create(self, kind: Any, name: str, document: Any) -> Any:
        return await self._write(kind, name, document, None)

    async def replace(
        self, kind: Any, name: str, document: Any, revision: StoreRevision
    ) -> Any:
        return await self._write(kind, name, document, revision.number)

    async def remove(self, kind: Any, name: str) -> Any:
        found = await self._answer(lambda: self._store.objects.pop((kind, name), None))
        return found if isinstance(found, Err) else Ok(None)

    async def watch(
        self, kind: Any, since: StoreRevision, wait_s: float, answer_s: float
    ) -> Any:
        if self._store.number <= since.number:
            try:
                async with asyncio.timeout(wait_s):
                    await self._store.changed.wait()
            except TimeoutError:
                pass
        found = await self._answer(lambda: self._make_changes(kind, since))
        return found if isinstance(found, Err) else Ok(found)

    async def _write(
        self, kind: Any, name: str, document: Any, expected: int | None
    ) -> Any:
        number = await self._answer(
            lambda: self._store.write(kind, name, document, expected) or 0
        )
        if isinstance(number, Err):
            return number
        if not number:
            return _fail(StoreFailure.CONFLICT)
        return Ok(_make_object(name, (number, document)))

    async def _answer(self, act: Any) -> Any:
        """Return the answer of the store unless the gateway is cut off by then."""
        await asyncio.sleep(LATENCY_S)
        if self.cut:
            return _fail(StoreFailure.REFUSED)
        found = act()
        await asyncio.sleep(LATENCY_S)
        return _fail(StoreFailure.UNKNOWN) if self.cut else found

    def _make_listing(self, kind: Any) -> Listing:
        items = (
            _make_object(name, found)
            for (stored, name), found in self._store.objects.items()
            if stored == kind
        )
        return Listing(StoreRevision(ERA, Revision(self._store.number)), tuple(items))

    def _make_changes(self, kind: Any, since: StoreRevision) -> ChangeBatch:
        changes = tuple(
            Change(item, removed=False)
            for item in self._make_listing(kind).objects
            if item.revision > since
        )
        return ChangeBatch(StoreRevision(ERA, Revision(self._store.number)), changes)


def _make_object(name: str, found: tuple[int, Any]) -> StoredObject:
    number, document = found
    revision = StoreRevision(ERA, Revision(number))
    return StoredObject(name=ObjectName(name), revision=revision, document=document)


def _fail(failure: StoreFailure) -> Err[StoreError]:
    return Err(StoreError(failure=failure, step="call", reason="cut"))


class SimulatedGateway:
    """Represent the parts of one gateway process that know versions of streams."""

    def __init__(self, world: "VersionWorld", name: str) -> None:
        self.name = ProcessId(name)
        settings = replace(world.settings, process=self.name)
        self.state = GatewayState(settings=settings)
        self.state.routes = ROUTES
        self.link = StoreLink(world.store)
        self.deaf = False
        store: Any = self.link
        self.versions = VersionStore(self.state, store)
        self.streams = BegunStreamStore(self.state, store)
        self.chooser = VersionChooser(self.state, self.versions, self.streams)
        times = WatchTimes(wait_s=20.0, shared_wait_s=20.0, pause_s=0.0, fresh_s=0.0)
        follower = Follower(store, KIND, self.versions, times, UnsharedLink(self.name))
        self._world = world
        self.state.on_streams = lambda: world.tell(self)
        self.state.on_shares = lambda: world.tell(self)
        world.configure(self.state)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(follower.run()),
            loop.create_task(self.versions.run()),
            loop.create_task(self.streams.run()),
            loop.create_task(self._announce()),
        ]

    async def _announce(self) -> None:
        while True:
            self._world.tell(self)
            await asyncio.sleep(1.0)

    def kill(self) -> None:
        for task in self._tasks:
            task.cancel()

    def make_context(self, request: str, origin: str) -> CallContext:
        now_s = asyncio.get_running_loop().time()
        call = Call(
            request=RequestId(request),
            route=ROUTE,
            service=SERVICE,
            arrived_s=now_s,
            deadline_s=now_s + TIMEOUT_S,
            origin=RequestId(origin),
        )
        unused: Any = None
        return CallContext(call, unused, unused, None, Attempts())


class VersionWorld:
    """Represent gateways, a store, engines of two versions, and their streams."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.random = Random(seed)
        path = folder / "node.yaml"
        path.write_text(yaml.safe_dump(make_settings(1)))
        self.settings = load_node_settings(path)
        self.loop = VirtualLoop()
        self.engines: dict[UpstreamId, Registration] = {}
        self.streams: dict[str, SoftwareVersion] = {}
        self.began_s: dict[str, float] = {}
        self.gateways: dict[str, SimulatedGateway] = {}
        self.begun = self.refused = self.resumed = self.unknown = 0
        self.mixed: list[str] = []
        # Streams refused as unknown though all shares in the store agree on them.
        self.needlessly_unknown: list[str] = []
        self._number = 0
        self.run(self._start())

    def run(self, coroutine: Any) -> Any:
        return self.loop.run_until_complete(coroutine)

    async def _start(self) -> None:
        self.store = SharedStore()
        for version in (V1, V1, V1, V2, V2):
            self.add_engine(version)
        for name in GATEWAYS:
            self.gateways[name] = SimulatedGateway(self, name)
        await asyncio.sleep(4.0)

    async def pass_time(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    def close(self) -> None:
        for gateway in self.gateways.values():
            gateway.kill()
        self.run(asyncio.sleep(0))
        self.loop.close()

    def add_engine(
        self, version: SoftwareVersion, *, names: Sequence[str] = GATEWAYS
    ) -> None:
        """Start an engine, whose registration only the named gateways read now."""
        self._number += 1
        engine = Registration(
            upstream=UpstreamId(f"e{self._number}"),
            service=SERVICE,
            address=Address("127.0.0.1", 1),
            zone=ZoneName("a"),
            slots=10,
            draining=False,
            started_ms=1,
            stage=Stage.DECODE,
            version=version,
        )
        self.engines[engine.upstream] = engine
        for gateway in self.gateways.values():
            if not gateway.link.cut and gateway.name in names:
                gateway.state.members.put(engine)

    def configure(self, state: GatewayState) -> None:
        """Set what a gateway reads of the configuration and the registrations."""
        own = state.settings.process
        others = [ProcessId(name) for name in GATEWAYS if name != own]
        state.roster.record_listed(others, self.loop.time())
        for engine in self.engines.values():
            state.members.put(engine)

    def crash(self, version: SoftwareVersion) -> None:
        """End all engines of a version; their registrations stay."""
        for name in [n for n, e in self.engines.items() if e.version == version]:
            del self.engines[name]

    def tell(self, sender: SimulatedGateway) -> None:
        """Send the pending messages of a gateway to the others, which may be cut."""
        streams = list(sender.state.pending_streams)
        sender.state.pending_streams.clear()
        known = sender.state.shares_knowledge.own
        now_s = self.loop.time()
        if sender.deaf:
            return
        for receiver in self.gateways.values():
            if receiver is sender or receiver.deaf:
                continue
            receiver.state.roster.record_heard(sender.name, now_s)
            if known is not None:
                receiver.state.shares_knowledge.record_told(sender.name, known, now_s)
            for stream in streams:
                receiver.state.stream_versions.record_begun(stream, now_s, is_own=False)

    async def begin(self, name: str) -> None:
        """Begin a stream at a gateway, with retries at engines that refuse it."""
        gateway = self.gateways[name]
        self._number += 1
        request = f"r{self._number}"
        context = gateway.make_context(request, request)
        if await gateway.chooser.prepare(context, 0) is not None:
            self.refused += 1
            return
        while self.loop.time() < context.find_wait_end():
            await gateway.chooser.settle(context)
            engine = self._choose(gateway, context)
            if engine is None:
                if not gateway.chooser.find_group(context, self.loop.time()).absent:
                    break
                # A gateway holds the call.
                await asyncio.sleep(HOLD_S)
                continue
            if engine.upstream in self.engines:
                gateway.chooser.record_begun(context, engine.version)
                self.streams[request] = engine.version
                self.began_s[request] = self.loop.time()
                self.begun += 1
                return
            now_s = self.loop.time()
            gateway.state.reachability.record_refused(engine.upstream, now_s)
            gateway.state.record_ended(engine.upstream, now_s)
        self.refused += 1

    def list_running(self) -> list[str]:
        """Return the streams whose callers have time left."""
        now_s = self.loop.time() + TAKE_UP_S
        return [
            request
            for request, began_s in self.began_s.items()
            if now_s - began_s <= TIMEOUT_S
        ]

    async def resume(self, name: str, origin: str) -> None:
        """Take a stream up at a gateway, and check where it would go on."""
        await asyncio.sleep(TAKE_UP_S)
        gateway = self.gateways[name]
        self._number += 1
        context = gateway.make_context(f"r{self._number}", origin)
        is_certain = self.is_certain(origin)
        if await gateway.chooser.prepare(context, 1) is not None:
            self.unknown += 1
            if is_certain and self.is_certain(origin) and not gateway.link.cut:
                self.needlessly_unknown.append(f"{origin} at {name}")
            return
        self.resumed += 1
        if context.version != self.streams[origin]:
            self.mixed.append(f"{origin} at {name}: {context.version}")

    def is_certain(self, origin: str) -> bool:
        """Return whether all shares in the store give a stream one version."""
        item = _make_object(SERVICE, self.store.objects[KIND, SERVICE])
        shares = decode_shares(item.read_document()).shares
        return len({known.choose(RequestId(origin)) for known in shares}) == 1

    def lose_power(self, name: str) -> None:
        """Stop a gateway, which answers nobody and stays in the list of gateways."""
        self.gateways[name].kill()
        self.gateways[name].deaf = True

    def drop_ended(self) -> None:
        """Drop the registrations of engines that have ended."""
        for gateway in self.gateways.values():
            for item in list(gateway.state.members.list_all()):
                if item.upstream not in self.engines and not gateway.link.cut:
                    gateway.state.members.drop(item.upstream)

    async def replace_gateway(self, name: str) -> None:
        """Kill a gateway and start it again, without what it knew."""
        self.gateways[name].kill()
        self.gateways[name] = SimulatedGateway(self, name)

    def reconnect(self, name: str) -> None:
        """End all cuts of a gateway; it reads the registrations again."""
        gateway = self.gateways[name]
        gateway.deaf = gateway.link.cut = False
        for engine in self.engines.values():
            gateway.state.members.put(engine)

    def _choose(
        self, gateway: SimulatedGateway, context: CallContext
    ) -> Registration | None:
        excluded = gateway.chooser.list_excluded(context)
        ready: Iterable[Registration] = gateway.state.members.list_ready(SERVICE)
        left = [item for item in ready if item.upstream not in excluded]
        return self.random.choice(left) if left else None
