"""Replicate records and hosts between processes by revision."""

from bramleyport.replication._replica import Changes, Replica, Send
from bramleyport.replication._revisions import RevisionedSet
from bramleyport.replication._store import (
    Applied,
    HostStore,
    Ignored,
    RecordStore,
    Snapshot,
)
from bramleyport.replication._topology import (
    Topology,
    TopologyPolicy,
    choose_links,
    choose_reporter,
    choose_watchers,
)

__all__ = [
    "Applied",
    "Changes",
    "HostStore",
    "Ignored",
    "RecordStore",
    "Replica",
    "RevisionedSet",
    "Send",
    "Snapshot",
    "Topology",
    "TopologyPolicy",
    "choose_links",
    "choose_reporter",
    "choose_watchers",
]
