"""Record snapshots between peers by revision."""

from bramleyport.replication._store import Applied, Ignored, RecordStore, Snapshot

__all__ = ["Applied", "Ignored", "RecordStore", "Snapshot"]
