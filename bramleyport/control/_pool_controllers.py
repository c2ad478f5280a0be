"""Controllers of the pools whose leases this entry may hold."""

import asyncio
import time
from typing import TYPE_CHECKING, Final

from bramleyport.authority import choose_candidates
from bramleyport.control._order_counter import OrderCounter
from bramleyport.control._pool_controller import (
    RELEASE_TIMEOUT_S,
    Planner,
    PoolController,
)
from bramleyport.core import (
    PoolName,
    ProcessId,
    RegionName,
    ServiceKind,
    UpstreamId,
    UpstreamView,
)
from bramleyport.links._pool_links import PoolLinks
from bramleyport.membership import Host, HostState, ProcessRole
from bramleyport.telemetry import Metrics, events, lease_events, log_event
from bramleyport.wire import OrderNotice, OrderReport

if TYPE_CHECKING:
    from bramleyport.links._agent_links import AgentLinks
    from bramleyport.links._hub import PeerHub
    from bramleyport.objectapi import ObjectClient
    from bramleyport.settings import EntrySettings

REFRESH_INTERVAL_S: Final = 0.5


class PoolControllers:
    """Start and stop pool controllers according to membership and records."""

    def __init__(
        self,
        settings: "EntrySettings",
        client: "ObjectClient",
        links: "AgentLinks",
        planner: Planner | None,
        hub: "PeerHub",
        metrics: Metrics,
    ) -> None:
        self.pools: dict[PoolName, PoolController] = {}
        self._settings = settings
        self._region = RegionName(settings.process.region)
        self._client = client
        self._links = links
        self._planner = planner
        self._hub = hub
        self._metrics = metrics
        self._pool_links = PoolLinks(links)
        self._restricted = frozenset(PoolName(name) for name in settings.pools)
        self._hosts: tuple[Host, ...] | None = None
        self._known: frozenset[PoolName] = frozenset()
        self._chosen: frozenset[PoolName] = frozenset()
        self._controlled: set[PoolName] = set()
        self._runs: dict[PoolName, asyncio.Task[None]] = {}
        self._stopping = False

    def start(self) -> list["asyncio.Task[None]"]:
        """Start refreshing the controllers and return the task."""
        return [asyncio.ensure_future(self._run_refresh())]

    async def stop(self) -> None:
        """Release all leases; a lease expires if the store is unavailable."""
        self._stopping = True
        for controller in self.pools.values():
            controller.set_candidate(candidate=False)
        runs = list(self._runs.values())
        if runs:
            _, late = await asyncio.wait(runs, timeout=RELEASE_TIMEOUT_S)
            for pool in [p for p, run in self._runs.items() if run in late]:
                log_event(lease_events.LEASE_NOT_RELEASED, pool=pool, error="time-out")
            for run in late:
                run.cancel()
            await asyncio.gather(*runs, return_exceptions=True)
        await self._pool_links.close()

    def list_leases(self) -> dict[PoolName, bool]:
        """Return whether this entry holds the lease of each known pool."""
        now_s = time.monotonic()
        return {
            name: name in self.pools and self.pools[name].lease_manager.may_act(now_s)
            for name in self._list_pools() | self._controlled
        }

    def report(self, report: OrderReport) -> None:
        """Pass an agent's report to the controllers."""
        for pool in self.pools.values():
            pool.report(report.upstream)

    def list_views(self) -> list[UpstreamView]:
        """Return the views of the engines in this entry's subset and outside it."""
        # An engine that has just joined the subset is briefly in both lists.
        views = {v.upstream: v for v in self._pool_links.list_views()}
        views.update({v.upstream: v for v in self._links.list_views()})
        return list(views.values())

    def refresh(self) -> None:
        """Choose the candidates again; start and stop controllers accordingly."""
        chosen = frozenset() if self._stopping else self._choose_pools()
        for pool, controller in self.pools.items():
            controller.set_candidate(pool in chosen)
        for pool in sorted(chosen - set(self.pools)):
            self._start(pool)
        held = frozenset(pool for pool, held in self.list_leases().items() if held)
        self._pool_links.update(held)

    async def _run_refresh(self) -> None:
        while True:
            try:
                self.refresh()
            except Exception as error:  # the next pass may succeed
                log_event(events.HANDLER_FAILED, step="candidates", error=repr(error))
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def _choose_pools(self) -> frozenset[PoolName]:
        """Return the pools for whose lease this entry is a candidate."""
        hosts, known = self._hub.membership.hosts, self._list_pools()
        if not hosts:
            # Without a host list, an entry would be a candidate for every pool.
            return frozenset()
        if hosts is self._hosts and known == self._known:
            return self._chosen
        self._hosts, self._known = hosts, known
        own = ProcessId(self._settings.process.process)
        entries = _list_entries(hosts, self._region) | {own}
        chosen = frozenset(
            pool
            for pool in known
            if own in choose_candidates(pool, self._region, entries)
        )
        if chosen != self._chosen:
            log_event(
                lease_events.CANDIDACY_CHANGED,
                pools=sorted(chosen),
                known=len(known),
                entries=len(entries),
            )
            self._chosen = chosen
        return chosen

    def _list_pools(self) -> frozenset[PoolName]:
        """Return the models of the records and of the region's known engines."""
        records = self._hub.replica.records.records
        pools = {PoolName(r.model.name) for r in records.values() if r.model}
        for view in self._links.list_views():
            if view.kind is ServiceKind.LANGUAGE and view.region == self._region:
                pools.update(PoolName(model) for model in view.models)
        return frozenset(pools & self._restricted if self._restricted else pools)

    def _start(self, pool: PoolName) -> None:
        controller = self.pools[pool] = PoolController(
            pool,
            self._region,
            self._settings.process.process,
            self._client,
            self._planner,
            self.list_views,
            self._notify,
            OrderCounter(pool, self._metrics),
        )
        self._controlled.add(pool)
        run = self._runs[pool] = asyncio.ensure_future(controller.run())
        run.add_done_callback(lambda _: self._end(pool))

    def _end(self, pool: PoolName) -> None:
        del self.pools[pool], self._runs[pool]

    def _notify(self, upstream: UpstreamId, sequence: int) -> None:
        # A replaced agent also gets the notice, and so finds that it is superseded.
        notice = OrderNotice(upstream=upstream, sequence=sequence)
        links = self._links.find_all(upstream) + self._pool_links.find_all(upstream)
        for link in links:
            if link.connection is not None:
                link.connection.post(notice)


def _list_entries(hosts: tuple[Host, ...], region: RegionName) -> set[ProcessId]:
    return {
        host.process
        for host in hosts
        if host.role is ProcessRole.ENTRY
        and host.state is HostState.LIVE
        and host.region == region
    }
