"""Apply the objects of the store one by one, so that an odd one costs no other."""

import traceback
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Final, TypeVar

from bramleyport.platform import (
    Listing,
    MalformedDocumentError,
    NamelessObject,
    ObjectName,
    StoredObject,
)
from bramleyport.telemetry import gateway_events, log_event

if TYPE_CHECKING:
    from bramleyport.telemetry import Event

T = TypeVar("T")
# Reasons of objects without a name that are remembered, so that each is logged once.
MAX_NAMELESS_REASONS: Final = 100


class ObjectGuard:
    """Isolate failures to decode or apply single objects, and log each of them once."""

    def __init__(self, invalid_event: "Event") -> None:
        self._invalid_event = invalid_event
        self._reasons: dict[ObjectName, str] = {}
        self._nameless_reasons: set[str] = set()

    def decode(
        self, item: StoredObject, decode: Callable[[StoredObject], T]
    ) -> T | None:
        """Return what an object describes, or None if it is invalid."""
        try:
            found = decode(item)
        except MalformedDocumentError as error:
            self._report(item, self._invalid_event, str(error))
            return None
        except Exception as error:
            self._report(item, gateway_events.OBJECT_NOT_APPLIED, locate_error(error))
            return None
        self._reasons.pop(item.name, None)
        return found

    def apply(self, item: StoredObject, action: Callable[[], T]) -> T | None:
        """Run an action for an object; return None if it fails unexpectedly."""
        try:
            return action()
        except Exception as error:
            self._report(item, gateway_events.OBJECT_NOT_APPLIED, locate_error(error))
            return None

    def record_listing(self, listing: Listing) -> None:
        """Log the nameless entries of a list, and forget objects that are gone."""
        self._report_nameless(listing.nameless)
        if not listing.is_complete:
            return
        names = {item.name for item in listing.objects}
        for name in [name for name in self._reasons if name not in names]:
            del self._reasons[name]

    def forget(self, name: ObjectName) -> None:
        """Forget what was logged about an object that was removed."""
        self._reasons.pop(name, None)

    def _report_nameless(self, entries: Sequence[NamelessObject]) -> None:
        """Log the entries of which not even the names can be read."""
        for entry in entries:
            if entry.reason in self._nameless_reasons:
                continue
            if len(self._nameless_reasons) >= MAX_NAMELESS_REASONS:
                self._nameless_reasons.clear()
            self._nameless_reasons.add(entry.reason)
            log_event(self._invalid_event, object="", reason=entry.reason)

    def _report(self, item: StoredObject, event: "Event", reason: str) -> None:
        if self._reasons.get(item.name) == reason:
            return
        self._reasons[item.name] = reason
        log_event(event, object=item.name, revision=item.revision, reason=reason)


def locate_error(error: Exception) -> str:
    """Return the type of an error and where it was raised.

    Its message may hold a value that is nested too deeply to be shown.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f" in {frames[-1].name}, line {frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}{place}"
