"""Objects and errors of the platform's object API."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final, NewType

from bramleyport.core import Revision

ObjectName = NewType("ObjectName", str)
ObjectVersion = NewType("ObjectVersion", int)

Document = Mapping[str, Any]


# A huge revision would hide all later changes, also at the peers that hear of it, and
# messages between processes carry no whole numbers above 64 bits.
MAX_NUMBER: Final = 2**53


def check_number(value: int) -> None:
    """Raise ValueError for a number that no store gives to a version or a revision."""
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"not a number from 0 to {MAX_NUMBER}")


class Kind(str, Enum):
    """Represent the kinds of objects that the system uses."""

    SERVICES = "services"
    LEASES = "leases"
    ORDERS = "orders"
    CLAIMS = "claims"
    HOSTS = "hosts"
    REPORTS = "reports"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """Describe one object as returned by the platform."""

    kind: str
    name: ObjectName
    version: ObjectVersion
    revision: Revision
    spec: Document = field(default_factory=dict)
    status: Document = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Check the numbers that the store has given."""
        check_number(self.version)
        check_number(self.revision)


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """Describe all objects of a kind at one revision."""

    revision: Revision
    items: tuple[StoredObject, ...]


class WatchEventType(str, Enum):
    """Represent how a watched object changed."""

    PUT = "put"
    DELETED = "deleted"


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """Describe one change of a watched object."""

    type: WatchEventType
    object: StoredObject


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchBatch:
    """Describe the changes up to a revision."""

    revision: Revision
    events: tuple[WatchEvent, ...]


class StoreFailure(str, Enum):
    """Classify failed calls by what the caller can conclude."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"  # not executed
    UNKNOWN = "unknown"  # a write may have been executed
    INVALID = "invalid"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreError:
    """Describe a failed call to the object API."""

    failure: StoreFailure
    step: str
    peer: str
    message: str = ""
