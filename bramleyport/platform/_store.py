"""Client of the platform's object store."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final
from urllib.parse import quote

from result import Err, Ok, Result

from bramleyport.core import Revision
from bramleyport.http1 import (
    Answer,
    ConnectionPool,
    ExchangeError,
    HttpClient,
    HttpRequest,
    PoolLimits,
)
from bramleyport.platform._documents import Document, MalformedDocumentError
from bramleyport.platform._objects import (
    ChangeBatch,
    Listing,
    NamelessObject,
    ObjectKind,
    ObjectName,
    StoredObject,
    decode_answered_object,
    decode_changes,
    decode_page,
)
from bramleyport.platform._settings import StoreSettings

# A healthy store answers in milliseconds; the limit allows for an overloaded one.
CALL_TIMEOUT_S: Final = 1.5
CONNECT_TIMEOUT_S: Final = 0.5
MAX_CONNECTIONS: Final = 8


class StoreFailure(str, Enum):
    """Classify failed calls by what they may have changed."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # The store no longer has the history since the revision of a watch.
    EXPIRED = "expired"
    # The store refused the call without any effect.
    REFUSED = "refused"
    # A write may have taken effect, or may still take effect.
    UNKNOWN = "unknown"
    INVALID = "invalid"


_FAILURES: Final = {
    400: StoreFailure.INVALID,
    404: StoreFailure.NOT_FOUND,
    409: StoreFailure.CONFLICT,
    410: StoreFailure.EXPIRED,
    429: StoreFailure.REFUSED,
    503: StoreFailure.REFUSED,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreError:
    """Describe a failed call to the store."""

    failure: StoreFailure
    step: str
    reason: str


class StoreClient:
    """Represent the store; failed calls return errors instead of raising them."""

    def __init__(
        self,
        client: HttpClient,
        settings: StoreSettings,
        on_call: Callable[[str, str], None] | None = None,
    ) -> None:
        limits = PoolLimits(
            max_connections=MAX_CONNECTIONS, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        self._pool = ConnectionPool(client, settings.address, limits)
        self._on_call = on_call

    async def list_objects(
        self, kind: ObjectKind, *, stale: bool = False
    ) -> Result[Listing, StoreError]:
        """Read all objects of a kind; a stale read may be seconds old."""
        objects: list[StoredObject] = []
        nameless: list[NamelessObject] = []
        after = ""
        cursors: set[str] = set()
        while True:
            query = [f"after={quote(after, safe='')}"] if after else []
            query += ["stale_ok=1"] if stale else []
            page = await self._call("list", "GET", _make_path(kind, query=query))
            if isinstance(page, Err):
                return page
            try:
                part = decode_page(page.ok_value)
            except MalformedDocumentError as error:
                return _make_malformed_error("list", str(error))
            objects += part.listing.objects
            nameless += part.listing.nameless
            if not part.has_more:
                revision = part.listing.revision
                return Ok(Listing(revision, tuple(objects), tuple(nameless)))
            after = part.last_name
            if not after or after in cursors:
                return _make_malformed_error("list", "the pages don't advance")
            cursors.add(after)

    async def get(
        self, kind: ObjectKind, name: ObjectName
    ) -> Result[StoredObject, StoreError]:
        """Read one object."""
        reply = await self._call("get", "GET", _make_path(kind, name))
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(decode_answered_object(reply.ok_value))
        except MalformedDocumentError as error:
            return _make_malformed_error("get", str(error))

    async def watch(
        self, kind: ObjectKind, since: Revision, wait_s: float, answer_s: float
    ) -> Result[ChangeBatch, StoreError]:
        """Wait for changes after a revision.

        The store waits for up to `wait_s`; its answer may take `answer_s` longer.
        """
        query = [f"watch={since}", f"wait_ms={int(wait_s * 1000)}"]
        reply = await self._call(
            "watch",
            "GET",
            _make_path(kind, query=query),
            timeout_s=wait_s + answer_s,
        )
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(decode_changes(reply.ok_value))
        except MalformedDocumentError as error:
            return _make_malformed_error("watch", str(error))

    async def create(
        self, kind: ObjectKind, name: ObjectName, document: Document
    ) -> Result[StoredObject, StoreError]:
        """Create an object; it is a conflict if the object exists."""
        body = {"metadata": {"name": name}, "spec": document}
        return await self._write("create", "POST", _make_path(kind), body)

    async def replace(
        self,
        kind: ObjectKind,
        name: ObjectName,
        document: Document,
        revision: Revision | None = None,
    ) -> Result[StoredObject, StoreError]:
        """Replace an object; given a revision, only if the object still has it."""
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            metadata["revision"] = revision
        body = {"metadata": metadata, "spec": document}
        return await self._write("replace", "PUT", _make_path(kind, name), body)

    async def remove(
        self, kind: ObjectKind, name: ObjectName
    ) -> Result[None, StoreError]:
        """Remove an object."""
        reply = await self._call("remove", "DELETE", _make_path(kind, name))
        return reply.map(lambda _: None)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _write(
        self, step: str, method: str, path: str, body: Document
    ) -> Result[StoredObject, StoreError]:
        reply = await self._call(step, method, path, body)
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(decode_answered_object(reply.ok_value))
        except MalformedDocumentError as error:
            return _make_malformed_error(step, str(error))

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        body: Document | None = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[bytes, StoreError]:
        request = HttpRequest(
            method=method.encode(),
            target=path.encode(),
            headers=[(b"Content-Type", b"application/json")] if body else [],
            body=json.dumps(body).encode() if body else b"",
        )
        result = await self._exchange(step, request, timeout_s)
        if self._on_call is not None:
            outcome = "ok"
            if isinstance(result, Err):
                outcome = result.err_value.failure.value
            self._on_call(step, outcome)
        return result

    async def _exchange(
        self, step: str, request: HttpRequest, timeout_s: float
    ) -> Result[bytes, StoreError]:
        """Return the body of the answer to a call."""
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._run(request)
        except TimeoutError:
            reason = f"no answer within {timeout_s:.1f} s"
            return _make_error(StoreFailure.UNKNOWN, step, reason)
        except ExchangeError as error:
            failure = StoreFailure.REFUSED if error.unsent else StoreFailure.UNKNOWN
            return _make_error(failure, step, error.reason)
        if answer.status >= 300:
            failure = _FAILURES.get(answer.status, StoreFailure.UNKNOWN)
            text = answer.body[:120].decode(errors="replace")
            return _make_error(failure, step, f"{answer.status} {text}")
        return Ok(answer.body)

    async def _run(self, request: HttpRequest) -> Answer:
        connection = await self._pool.acquire()
        try:
            connection.send(request)
            head = await connection.read_head()
            body = await connection.read_body()
        except BaseException:
            # After an incomplete exchange the connection can't be used again.
            connection.abort()
            raise
        self._pool.release(connection)
        return Answer(head.status, head.reason, head.headers, body)


def _make_path(
    kind: ObjectKind, name: ObjectName | None = None, query: list[str] | None = None
) -> str:
    path = f"/-/objects/{kind.value}"
    if name is not None:
        path += f"/{quote(name, safe='')}"
    return path + (f"?{'&'.join(query)}" if query else "")


def _make_error(failure: StoreFailure, step: str, reason: str) -> Err[StoreError]:
    return Err(StoreError(failure=failure, step=step, reason=reason))


def _make_malformed_error(step: str, reason: str) -> Err[StoreError]:
    return _make_error(StoreFailure.UNKNOWN, step, reason)
