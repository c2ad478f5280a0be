"""Storage of the lease and the orders of one pool in the object API."""

import time
from typing import TYPE_CHECKING

from result import Err, Ok

from bramleyport.authority import (
    LeaseConflict,
    LeaseEvent,
    LeaseFailed,
    LeaseInDoubt,
    LeaseRead,
    LeaseWritten,
    ListOrders,
    OrderNotWritten,
    OrderObject,
    OrderObjectRead,
    OrdersListed,
    OrderWritten,
    ReadLease,
    ReadOrderObject,
    TrackerEvent,
    WriteLease,
    WriteOrder,
    name_lease,
    read_lease,
    read_order,
    write_lease,
    write_order,
    write_progress,
)
from bramleyport.core import PoolName, RegionName, UpstreamId
from bramleyport.objectapi import (
    Kind,
    ObjectName,
    ObjectVersion,
    StoredObject,
    StoreFailure,
)
from bramleyport.telemetry import authority_events, log_event

if TYPE_CHECKING:
    from bramleyport.objectapi import ObjectClient


class PoolStore:
    """Perform the store calls of a controller and return their results as events."""

    def __init__(
        self, client: "ObjectClient", pool: PoolName, region: RegionName
    ) -> None:
        self._client = client
        self._pool = pool
        self._lease_name = ObjectName(name_lease(pool, region))

    async def read_lease(self, action: ReadLease) -> LeaseEvent:
        """Read the lease object."""
        result = await self._client.get(Kind.LEASES, self._lease_name)
        if isinstance(result, Err):
            if result.err_value.failure is StoreFailure.NOT_FOUND:
                return LeaseRead(op=action.op, lease=None, version=0)
            return LeaseFailed(op=action.op)
        lease = read_lease(result.ok_value.spec)
        if isinstance(lease, Err):
            log_event(
                authority_events.ORDER_OBJECT_INVALID,
                pool=self._pool,
                reason=lease.err_value,
            )
            return LeaseFailed(op=action.op)
        version = result.ok_value.version
        return LeaseRead(op=action.op, lease=lease.ok_value, version=version)

    async def write_lease(self, action: WriteLease) -> LeaseEvent:
        """Write the lease if it has the expected version."""
        spec = write_lease(action.lease)
        name = self._lease_name
        if action.expected is None:
            result = await self._client.create(Kind.LEASES, name, spec, {})
        else:
            assert isinstance(action.expected, int)
            version = ObjectVersion(action.expected)
            result = await self._client.update(Kind.LEASES, name, version, spec, {})
        if isinstance(result, Ok):
            return LeaseWritten(op=action.op, version=result.ok_value.version)
        failure = result.err_value.failure
        if failure is StoreFailure.CONFLICT:
            return LeaseConflict(op=action.op)
        if failure is StoreFailure.UNKNOWN:
            return LeaseInDoubt(op=action.op)
        return LeaseFailed(op=action.op)

    async def list_orders(self, action: ListOrders) -> OrdersListed | None:
        """Return the order objects of the pool, or None if the listing failed."""
        result = await self._client.list_all(Kind.ORDERS)
        if isinstance(result, Err):
            return None
        found = [self._parse(item) for item in result.ok_value.items]
        pool_objects = tuple(
            o for o in found if o is not None and o.order.pool == self._pool
        )
        return OrdersListed(op=action.op, objects=pool_objects)

    async def read_order(self, action: ReadOrderObject) -> TrackerEvent:
        """Read one order object."""
        upstream = action.upstream
        result = await self._client.get(Kind.ORDERS, ObjectName(upstream))
        if isinstance(result, Ok):
            found = self._parse(result.ok_value)
            return OrderObjectRead(op=action.op, upstream=upstream, object=found)
        if result.err_value.failure is StoreFailure.NOT_FOUND:
            return OrderObjectRead(op=action.op, upstream=upstream, object=None)
        return OrderNotWritten(op=action.op, upstream=upstream)

    async def write_order(self, action: WriteOrder) -> TrackerEvent:
        """Write one order object unless the lease may have expired."""
        order_object = action.object
        upstream = order_object.upstream
        if time.monotonic() >= action.until_s:
            return OrderNotWritten(op=action.op, upstream=upstream)
        result = await self._client.update(
            Kind.ORDERS,
            ObjectName(upstream),
            ObjectVersion(order_object.version),
            write_order(order_object.order),
            write_progress(order_object.progress),
        )
        if isinstance(result, Err):
            return OrderNotWritten(op=action.op, upstream=upstream)
        log_event(
            authority_events.ORDER_WRITTEN,
            upstream=upstream,
            sequence=order_object.order.sequence,
            fencing=order_object.order.sealed,
        )
        version = result.ok_value.version
        return OrderWritten(op=action.op, upstream=upstream, version=version)

    def _parse(self, item: StoredObject) -> OrderObject | None:
        upstream = UpstreamId(item.name)
        result = read_order(upstream, item.version, item.spec, item.status)
        if isinstance(result, Ok):
            return result.ok_value
        log_event(
            authority_events.ORDER_OBJECT_INVALID,
            upstream=upstream,
            reason=result.err_value,
        )
        return None
