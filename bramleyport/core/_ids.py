"""Identifier types shared by all packages."""

from typing import NewType

AccountId = NewType("AccountId", str)
AdapterName = NewType("AdapterName", str)
AttemptId = NewType("AttemptId", str)
FencingNumber = NewType("FencingNumber", int)
ModelName = NewType("ModelName", str)
ModelVersion = NewType("ModelVersion", str)
PoolName = NewType("PoolName", str)
PrefixBlock = NewType("PrefixBlock", bytes)
ProcessId = NewType("ProcessId", str)
RegionName = NewType("RegionName", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
ServiceName = NewType("ServiceName", str)
# Rises each time the platform restores its store from a copy.
StoreEra = NewType("StoreEra", int)
UpstreamId = NewType("UpstreamId", str)
ZoneName = NewType("ZoneName", str)
