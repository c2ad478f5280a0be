"""Entries that only write claims, connected by sockets, with one store."""

import asyncio
from typing import TYPE_CHECKING, Final

from bramleyport.core import ProcessId, RegionName, Revision, ZoneName
from bramleyport.keyed._claim_peers import ClaimPeers
from bramleyport.keyed._claim_writer import ClaimWriter
from bramleyport.links._hub import PeerHub
from bramleyport.membership import Host, HostList, HostState, ProcessRole
from bramleyport.objectapi import ObjectClient
from bramleyport.replication import HostStore, RecordStore, Replica, Topology
from bramleyport.transport import Identity, listen

if TYPE_CHECKING:
    from websockets.asyncio.server import Server

LOOPBACK: Final = "127.0.0.1"
ZONE: Final = ZoneName("zone-0")
REGION: Final = RegionName("region-0")


class ClaimNode:
    """Represent the parts of an entry that write claims."""

    def __init__(self, name: str, store_url: str, *, forwards: bool = True) -> None:
        self.process = ProcessId(name)
        self._identity = Identity(
            process=self.process, zone=ZONE, region=REGION, secret=b"claims"
        )
        self.hub = PeerHub(
            self._identity,
            Replica(RecordStore(), HostStore()),
            Topology(self.process, ZONE),
        )
        self.client = ObjectClient(store_url)
        self.peers = ClaimPeers(self.process, self.hub)
        self.claims = ClaimWriter(self.client, self.peers if forwards else None)
        self.peers.write = self.claims.write
        self._server: Server | None = None

    async def start(self) -> Host:
        """Listen for peers and return the entry's row of the host list."""
        self._server = await listen(
            LOOPBACK,
            0,
            self._identity,
            self.hub.read_revision,
            self.hub.attach,
            self.hub.handle,
            self.hub.detach,
        )
        self.hub.start()
        return Host(
            process=self.process,
            role=ProcessRole.ENTRY,
            address=LOOPBACK,
            port=next(iter(self._server.sockets)).getsockname()[1],
            zone=ZONE,
            region=REGION,
            state=HostState.LIVE,
        )

    def update_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Apply the list of all entries."""
        self.hub.report(HostList(revision=Revision(1), hosts=hosts))
        self.hub.update_topology()

    async def stop(self) -> None:
        """Close all connections at once, like an entry that is killed."""
        await self.hub.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        await self.client.close()


async def start_nodes(
    count: int, store_url: str, *, forwards: bool = True
) -> list[ClaimNode]:
    """Start entries that are in each other's host lists."""
    nodes = [
        ClaimNode(f"entry-{n}", store_url, forwards=forwards) for n in range(count)
    ]
    hosts = tuple([await node.start() for node in nodes])
    for node in nodes:
        node.update_hosts(hosts)
    return nodes


async def stop_nodes(nodes: list[ClaimNode]) -> None:
    """Stop entries."""
    await asyncio.gather(*(node.stop() for node in nodes))
