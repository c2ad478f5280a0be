"""Stand-in for the platform's object API."""

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from bramleyport.standins._http import break_connection, read_body, reply_json
from bramleyport.transport import run_as_deferred

MAX_VALUE_BYTES: Final = 1_000_000
MAX_HISTORY_EVENTS: Final = 10_000

StoredValue = dict[str, Any]
Handler = Callable[[], Awaitable[tuple[int, Any]]]


@dataclass(slots=True)
class StoreFaults:
    """Describe the faults that tests switch on."""

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


@dataclass(slots=True)
class ObjectStore:
    """Represent a store of versioned objects and the history that watches read."""

    revision: int = 0
    objects: dict[tuple[str, str], StoredValue] = field(default_factory=dict)
    history: list[tuple[int, str, StoredValue]] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, kind: str, name: str, body: StoredValue) -> StoredValue:
        """Store a new version of an object."""
        old = self.objects.get((kind, name))
        self.revision += 1
        value: StoredValue = {
            "kind": kind,
            "name": name,
            "version": old["version"] + 1 if old else 1,
            "revision": self.revision,
            "spec": body.get("spec", {}),
            "status": body.get("status", {}),
        }
        self.objects[kind, name] = value
        self._append_history("put", value)
        return value

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        value = self.objects.pop((kind, name))
        self.revision += 1
        self._append_history("deleted", {**value, "revision": self.revision})

    def list_all(self, kind: str) -> list[StoredValue]:
        """Return the objects of a kind by name."""
        return [self.objects[key] for key in sorted(self.objects) if key[0] == kind]

    def read_history(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        return [
            {"type": change, "object": value}
            for revision, change, value in self.history
            if revision > since and value["kind"] == kind
        ]

    def has_history_since(self, since: int) -> bool:
        """Return whether the history still has all changes after a revision."""
        return not self.history or since >= self.history[0][0] - 1

    def _append_history(self, change: str, value: StoredValue) -> None:
        self.history.append((self.revision, change, value))
        del self.history[:-MAX_HISTORY_EVENTS]
        self.changed.set()
        self.changed = asyncio.Event()


class ObjectApiStandin:
    """Represent a server of the object API, with faults on demand."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.faults = StoreFaults()
        self.app = Klein()
        self.app.route("/objects/<kind>", methods=["GET"])(self._list)
        self.app.route("/objects/<kind>/<name>", methods=["GET", "PUT", "DELETE"])(
            self._object
        )
        self.app.route("/watch/<kind>", methods=["GET"])(self._watch)

    def _list(self, request: Request, kind: str) -> "Deferred[bytes | None]":
        return self._serve(request, "list", lambda: self._get_list(kind))

    def _object(
        self, request: Request, kind: str, name: str
    ) -> "Deferred[bytes | None]":
        operation = request.method.decode().lower()
        return self._serve(
            request, operation, lambda: self._handle_object(request, kind, name)
        )

    def _watch(self, request: Request, kind: str) -> "Deferred[bytes | None]":
        return self._serve(request, "watch", lambda: self._handle_watch(request, kind))

    def _serve(
        self, request: Request, operation: str, handler: Handler
    ) -> "Deferred[bytes | None]":
        self.store.calls[operation] += 1
        return run_as_deferred(self._respond(request, operation, handler))

    async def _respond(
        self, request: Request, operation: str, handler: Handler
    ) -> bytes:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return _make_response(request, 503, {"error": "unavailable"})
        code, value = await handler()
        if operation in ("put", "delete") and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            break_connection(request)
            return b""
        return _make_response(request, code, value)

    async def _get_list(self, kind: str) -> tuple[int, Any]:
        items = self.store.list_all(kind)
        return 200, {"revision": self.store.revision, "items": items}

    async def _handle_object(
        self, request: Request, kind: str, name: str
    ) -> tuple[int, Any]:
        current = self.store.objects.get((kind, name))
        if request.method == b"GET":
            return (200, current) if current else (404, {"error": "not found"})
        if not _meets_condition(request, current):
            return 412, {"error": "version conflict", "object": current}
        if request.method == b"DELETE":
            self.store.delete(kind, name)
            return 200, {}
        raw_body = read_body(request)
        if len(raw_body) > MAX_VALUE_BYTES:
            return 413, {"error": "value above one megabyte"}
        try:
            body = json.loads(raw_body)
        except ValueError:
            return 400, {"error": "not JSON"}
        return 200, self.store.put(kind, name, body)

    async def _handle_watch(self, request: Request, kind: str) -> tuple[int, Any]:
        since = int(request.args.get(b"since", [b"0"])[0])
        timeout_s = float(request.args.get(b"timeout_s", [b"20"])[0])
        if not self.store.has_history_since(since):
            return 410, {"error": "revision too old"}
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        changes = self.store.read_history(kind, since)
        while not changes and loop.time() < deadline_s and not self.faults.outage:
            try:
                async with asyncio.timeout(min(1.0, deadline_s - loop.time())):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
            changes = self.store.read_history(kind, since)
        return 200, {"revision": self.store.revision, "events": changes}


def _meets_condition(request: Request, current: StoredValue | None) -> bool:
    if request.getHeader(b"if-none-match") == b"*":
        return current is None
    if current is None:
        return False
    return request.getHeader(b"if-match") == b'"%d"' % current["version"]


def _make_response(request: Request, code: int, value: Any) -> bytes:
    if isinstance(value, dict) and "version" in value:
        request.setHeader(b"etag", b'"%d"' % value["version"])
    return reply_json(request, code, value)
