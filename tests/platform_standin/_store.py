"""Define the stand-in of the platform's store."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from tests.platform_standin._http import (
    RawRequest,
    RawServer,
    read_request,
    render_response,
)


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
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.calls: list[str] = []
        self.oldest_revision = 0
        # If set, every call gets this status instead of its answer.
        self.refusal_status: int | None = None
        # Whether calls get no answer for 60 s.
        self.unresponsive = False
        # Delay of each answer.
        self.delay_s = 0.0
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
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

    def discard_history(self) -> None:
        """Expire all events; older watches get status 410 and must list again."""
        self.oldest_revision = self.revision
        self._changed.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            self.calls.append(f"{request.method} {request.target}")
            if self.unresponsive:
                await asyncio.sleep(60)
            status, document = self.refusal_status, {}
            if status is None:
                status, document = await self._answer(request)
            await asyncio.sleep(self.delay_s)
            writer.write(render_response(status, render_json(document)))
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
            items = [item for (k, _), item in self.objects.items() if k == kind]
            listing = {"items": items, "has_more": False}
            return 200, listing | {"current_rev": self.revision}
        return self._change(request, kind, name)

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
        since = int(query["watch"])
        deadline_s = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            if since < self.oldest_revision:
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
