"""Most recent log events of a process, shown on its status page."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

MAX_ENTRIES: Final = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalEntry:
    """Describe one logged event."""

    time: str
    event: int
    text: str
    fields: Mapping[str, object]


class Journal:
    """Track the most recent log events in memory."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._entries: deque[JournalEntry] = deque(maxlen=max_entries)

    def attach(self) -> int:
        """Start recording events and return the id of the log sink."""
        return logger.add(self._record, level="INFO", format="{message}")

    def list_latest(self, count: int) -> list[JournalEntry]:
        """Return the most recent entries, newest first."""
        return list(self._entries)[: -count - 1 : -1]

    def _record(self, message: "Message") -> None:
        record = message.record
        self._entries.append(
            JournalEntry(
                time=record["time"].strftime("%H:%M:%S"),
                event=record["extra"].get("event", 0),
                text=record["message"],
                fields=record["extra"].get("fields", {}),
            )
        )
