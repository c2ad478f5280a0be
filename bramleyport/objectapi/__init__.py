"""Client of the platform's object API."""

from bramleyport.objectapi._client import ObjectClient
from bramleyport.objectapi._types import (
    Document,
    Kind,
    Listing,
    ObjectName,
    ObjectVersion,
    StoredObject,
    StoreError,
    StoreFailure,
    WatchBatch,
    WatchEvent,
    WatchEventType,
)

__all__ = [
    "Document",
    "Kind",
    "Listing",
    "ObjectClient",
    "ObjectName",
    "ObjectVersion",
    "StoreError",
    "StoreFailure",
    "StoredObject",
    "WatchBatch",
    "WatchEvent",
    "WatchEventType",
]
