"""Stand-in of the platform's metadata store."""

import asyncio
import json
from typing import Any

from lab3.wire import Request, Server, read_request, render_json

ERA = {"Store-Era": "1"}


class Store(Server):
    """Represent the store: objects by kind and name, one revision, watches."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 10
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        # Channels on which a watch waits now, by kind.
        self.waiting: dict[asyncio.StreamWriter, str] = {}
        self.calls: list[str] = []

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object; one that differs in its seq alone makes no event."""
        known = self.objects.get((kind, name))
        if known is not None and _same(kind, known["spec"], spec):
            return
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision, "finalizers": []},
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        self._tell(kind, item, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._tell(kind, item, deleted=True)

    def cut_watches(self, kind: str | None = None) -> int:
        """Close the channels of the watches that wait; return how many there were."""
        cut = [w for w, waits in self.waiting.items() if kind in (None, waits)]
        for writer in cut:
            writer.close()
        return len(cut)

    def _tell(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self.events.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            self.calls.append(f"{request.method} {request.target}")
            status, document = await self._answer(request, writer)
            await asyncio.sleep(0.004)
            writer.write(render_json(status, document, ERA))
            await writer.drain()

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> tuple[int, Any]:
        _, _, kind, *names = request.path
        if request.method == "GET" and "watch" in request.query:
            self.waiting[writer] = kind
            try:
                return await self._watch(kind, request.query)
            finally:
                del self.waiting[writer]
        if request.method == "GET" and names:
            found = self.objects.get((kind, names[0]))
            return (200, found) if found else (404, {})
        if request.method == "GET":
            items = [item for (k, _), item in self.objects.items() if k == kind]
            listing = {"items": items, "has_more": False}
            return 200, listing | {"current_rev": self.revision}
        return self._change(request, kind, names)

    def _change(self, request: Request, kind: str, names: list[str]) -> tuple[int, Any]:
        document = json.loads(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        name = names[0] if names else metadata["name"]
        known = self.objects.get((kind, name))
        if request.method == "POST" and known is not None:
            return 409, known
        if request.method != "POST" and known is None:
            return 404, {}
        expected = metadata.get("revision") or request.query.get("revision")
        if known is not None and expected is not None:
            if int(expected) != known["metadata"]["revision"]:
                return 409, known
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        self.put(kind, name, document["spec"])
        return 200, self.objects[kind, name]

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self._changed
            found = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self.events
                if k == kind and revision > since
            ]
            left_s = until_s - loop.time()
            if found or left_s <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


def _same(kind: str, known: Any, new: Any) -> bool:
    if kind == "servers":
        return {**known, "seq": 0} == {**new, "seq": 0}
    return bool(known == new)
