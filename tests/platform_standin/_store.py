"""Define the stand-in of the platform's store."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import unquote

from tests.platform_standin._http import (
    RawRequest,
    RawServer,
    read_request,
    render_response,
)

Event = tuple[int, str, dict[str, Any], bool]
# Entries in one page of a list, as on the platform's pages.
PAGE_SIZE = 500


class CursorReading(Enum):
    """Name what a store makes of the name after which a list continues."""

    DECODED = "decoded"
    # Compared as it stands in the query.
    RAW = "raw"
    # What stands in the query is no name of the list: begin it again, or refuse it.
    RAW_RESTARTS = "raw restarts"
    RAW_REFUSED = "raw refused"
    # The same of the decoded name.
    RESTARTS = "restarts"
    # Escaped names are refused, or get no answer that can be read.
    ESCAPED_REFUSED = "escaped refused"
    ESCAPED_GARBLED = "escaped garbled"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Describe the content of a store at one moment."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[Event]
    oldest_revision: int


@dataclass(frozen=True, slots=True)
class RawJson:
    """Represent bytes that stand in a body as they are, valid JSON or not."""

    text: bytes


def render_json(document: Any) -> bytes:
    """Return a document as JSON, with the raw bytes that it contains."""
    raw: dict[bytes, bytes] = {}

    def stand_in(value: Any) -> str:
        if not isinstance(value, RawJson):
            raise TypeError(f"not serializable: {type(value)}")
        mark = f"raw bytes {len(raw)}"
        raw[json.dumps(mark).encode()] = value.text
        return mark

    body = json.dumps(document, default=stand_in).encode()
    for mark, text in raw.items():
        body = body.replace(mark, text)
    return body


class StoreStandin(RawServer):
    """Represent the platform's object store, with faults that tests switch on."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[Event] = []
        # Rises each time that the store comes back from a copy.
        self.era = 1
        # Whether answers name the era.
        self.names_era = True
        self.calls: list[str] = []
        self.oldest_revision = 0
        # If set, every call gets this status instead of its answer.
        self.refusal_status: int | None = None
        # Whether calls get no answer for 60 s.
        self.unresponsive = False
        self.page_size = PAGE_SIZE
        self.cursor_reading = CursorReading.DECODED
        # Delay of each answer.
        self.delay_s = 0.0
        # Whether the store accepts no connections.
        self.is_down = False
        # Selects the requests whose answers are made at once and sent on release.
        self.should_hold: Callable[[RawRequest], bool] = lambda request: False
        self.held_count = 0
        self._released = asyncio.Event()
        self._changed = asyncio.Event()
        self._cut_era = 0

    def has_spec(self, kind: str, name: str, spec: Any) -> bool:
        """Return whether writing an object would change nothing."""
        known = self.objects.get((kind, name))
        if not isinstance(known, dict) or "spec" not in known:
            return False
        return _is_unchanged(kind, known["spec"], spec)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object; a write that changes nothing leaves its revision."""
        if self.has_spec(kind, name, spec):
            return
        metadata = {"name": name, "revision": self.revision + 1}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.put_item(kind, name, item)

    def put_item(self, kind: str, name: str, item: Any) -> None:
        """Write an entry as it is, whatever its metadata says."""
        self.revision += 1
        self.objects[kind, name] = item
        self._record_event(kind, item, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        self.revision += 1
        item = self.objects.pop((kind, name))
        self._record_event(kind, item, deleted=True)

    def drop_superseded_events(self) -> None:
        """Drop all events but the last one of each object."""
        last = {
            item["metadata"]["name"]: event
            for event in self.events
            for item in [event[2]]
        }
        self.events = [event for event in self.events if event in last.values()]

    def copy(self) -> StoreCopy:
        """Return a copy of the content, from which the store may come back."""
        return StoreCopy(
            self.revision, dict(self.objects), list(self.events), self.oldest_revision
        )

    def restore(self, copy: StoreCopy, *, cut_watches: bool = True) -> None:
        """Come back from a copy in a new era.

        Waiting watches lose their connection, or the new era answers them.
        """
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self.events = list(copy.events)
        self.oldest_revision = copy.oldest_revision
        self.era += 1
        if cut_watches:
            self._cut_era = self.era
        self._changed.set()

    async def restore_after_outage(
        self, copy: StoreCopy, outage_s: float, *, cut_watches: bool = True
    ) -> None:
        """Be unreachable for a while and come back from a copy."""
        self.is_down = True
        self.reset_connections()
        await asyncio.sleep(outage_s)
        self.restore(copy, cut_watches=cut_watches)
        self.is_down = False

    def hold_answers(self, should_hold: Callable[[RawRequest], bool]) -> None:
        """Make the answers to some requests at once, but send them on release."""
        self._released = asyncio.Event()
        self.should_hold = should_hold

    def release_answers(self) -> None:
        """Send the held answers, and hold no more."""
        self.should_hold = lambda request: False
        self._released.set()

    def discard_history(self) -> None:
        """Expire all events; older watches get status 410 and must list again."""
        self.oldest_revision = self.revision
        self._changed.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not self.is_down and (request := await read_request(reader)) is not None:
            self.calls.append(f"{request.method} {request.target}")
            if self.unresponsive:
                await asyncio.sleep(60)
            status, document = self.refusal_status, {}
            if status is None:
                status, document = await self._answer(request)
            body = render_json(document)
            era = {"Store_Era": str(self.era)} if self.names_era else {}
            response = render_response(status, body, **era)
            if self.should_hold(request):
                self.held_count += 1
                await self._released.wait()
            await asyncio.sleep(self.delay_s)
            writer.write(response)
            await writer.drain()

    async def _answer(self, request: RawRequest) -> tuple[int, Any]:
        segments = [unquote(segment) for segment in request.path.split("/")[3:]]
        kind, name = segments[0], segments[1] if len(segments) > 1 else ""
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        if request.method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if request.method == "GET":
            return self._list(kind, request)
        return self._change(request, kind, name)

    def _list(self, kind: str, request: RawRequest) -> tuple[int, Any]:
        """Return the page of a list that a query asks for."""
        names = sorted(name for (k, name) in self.objects if k == kind)
        raw = request.raw_query.get("after", "")
        reading = self.cursor_reading
        is_raw = reading.value.startswith("raw")
        after = raw if is_raw else request.query.get("after", "")
        if after and "restarts" in reading.value and after not in names:
            after = ""
        if reading is CursorReading.RAW_REFUSED and after and after not in names:
            return 400, {}
        if "%" in raw and reading is CursorReading.ESCAPED_REFUSED:
            return 400, {}
        if "%" in raw and reading is CursorReading.ESCAPED_GARBLED:
            return 200, RawJson(b"nothing")
        rest = [name for name in names if name > after]
        items = [self.objects[kind, name] for name in rest[: self.page_size]]
        listing = {"items": items, "has_more": len(rest) > self.page_size}
        return 200, listing | {"current_rev": self.revision}

    def _change(self, request: RawRequest, kind: str, name: str) -> tuple[int, Any]:
        document = json.loads(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        name = name or metadata["name"]
        known = self.objects.get((kind, name))
        if request.method == "POST" and known:
            return 409, known
        if request.method != "POST" and known is None:
            return 404, {}
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        expected = metadata.get("revision")
        if known and expected not in (None, known["metadata"]["revision"]):
            return 409, known
        self.put(kind, name, document["spec"])
        return 200, self.objects[kind, name]

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since, era = int(query["watch"]), self.era
        deadline_s = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            if era < self._cut_era:
                raise ConnectionAbortedError
            if not self.oldest_revision <= since <= self.revision:
                return 410, {}
            found = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self.events
                if k == kind and revision > since
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if found or remaining_s <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _record_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self.events.append((self.revision, kind, item, deleted))
        self._changed.set()


def _is_unchanged(kind: str, known: Any, new: Any) -> bool:
    """Return whether a write changes nothing, or of an upstream only its counter."""
    if kind == "servers" and isinstance(known, dict) and isinstance(new, dict):
        return {**known, "seq": 0} == {**new, "seq": 0}
    return bool(known == new)
