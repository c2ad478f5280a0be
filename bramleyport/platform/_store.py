"""Client of the platform's object store."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, Final
from urllib.parse import quote

from result import Err, Ok, Result

from bramleyport.core import StoreEra, StoreRevision
from bramleyport.http1 import (
    Answer,
    ConnectionPool,
    ExchangeError,
    HttpClient,
    HttpRequest,
    PoolLimits,
)
from bramleyport.platform._documents import Document, MalformedDocumentError
from bramleyport.platform._headers import decode_store_era
from bramleyport.platform._list_cursors import ListCursors
from bramleyport.platform._objects import (
    ChangeBatch,
    Listing,
    ListPage,
    ObjectKind,
    ObjectName,
    StoredObject,
    decode_answered_object,
    decode_changes,
    decode_page,
    join_pages,
)
from bramleyport.platform._settings import StoreSettings
from bramleyport.platform._store_eras import StoreEras
from bramleyport.telemetry import gateway_events, log_event

# A healthy store answers in milliseconds; the limit allows for an overloaded one.
CALL_TIMEOUT_S: Final = 1.5
CONNECT_TIMEOUT_S: Final = 0.5
MAX_CONNECTIONS: Final = 8
STALE_QUERY: Final = "stale_ok=1"
# What a name in a query may hold as it is. Some stores compare what is escaped as it
# stands.
CURSOR_CHARS: Final = ",/@"


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
    # The answer can't be decoded.
    MALFORMED = "malformed"
    # The answer is of an era that has ended; what it says is no longer in the store.
    OUTDATED = "outdated"


_FAILURES: Final = {
    400: StoreFailure.INVALID,
    404: StoreFailure.NOT_FOUND,
    409: StoreFailure.CONFLICT,
    410: StoreFailure.EXPIRED,
    429: StoreFailure.REFUSED,
    503: StoreFailure.REFUSED,
}
# A store that serves others may answer so.
_REFUSALS: Final = (StoreFailure.REFUSED, StoreFailure.UNKNOWN)


@dataclass(frozen=True, slots=True)
class _StoreAnswer:
    era: StoreEra
    body: bytes


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
        # Called after each answer that is no refusal.
        self.on_answered: list[Callable[[], None]] = []
        self.eras = StoreEras()

    async def list_objects(
        self,
        kind: ObjectKind,
        *,
        stale: bool = False,
        needed: ObjectName | None = None,
    ) -> Result[Listing, StoreError]:
        """Read all objects of a kind; a stale read may be seconds old.

        The list has the revision of its first page: what changes between two pages is
        among the changes after it, whether or not the later pages show it, too. A list
        whose later pages can't be read is incomplete, not an error. An object that is
        needed is then read by itself.
        """
        first = await self._read_page(kind, "", stale=stale)
        if isinstance(first, Err):
            return first
        pages = [first.ok_value]
        reason = await self._read_further_pages(kind, pages, stale=stale)
        if len({page.listing.revision.era for page in pages}) > 1:
            reason = "the store was restored between two pages"
            return _make_error(StoreFailure.EXPIRED, "list", reason)
        listing = join_pages(pages)
        if listing.is_complete:
            return Ok(listing)
        log_event(
            gateway_events.LIST_INCOMPLETE,
            kind=kind.value,
            objects=len(listing.objects),
            reason=reason,
        )
        return await self._add_needed(kind, listing, needed)

    async def get(
        self, kind: ObjectKind, name: ObjectName
    ) -> Result[StoredObject, StoreError]:
        """Read one object."""
        reply = await self._call("get", "GET", _make_path(kind, name))
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(decode_answered_object(reply.ok_value.body, reply.ok_value.era))
        except MalformedDocumentError as error:
            return _make_malformed_error("get", str(error))

    async def watch(
        self, kind: ObjectKind, since: StoreRevision, wait_s: float, answer_s: float
    ) -> Result[ChangeBatch, StoreError]:
        """Wait for changes after a revision.

        The store waits for up to `wait_s`; its answer may take `answer_s` longer. A
        watch whose era has ended is expired: the store may have given out the revision
        again, and then it answers with the changes after another state.
        """
        query = [f"watch={since.number}", f"wait_ms={int(wait_s * 1000)}"]
        path = _make_path(kind, query=query)
        try:
            async with asyncio.timeout(None) as limit:
                with self.eras.guard_watch(limit):
                    if since.era == self.eras.newest:
                        reply = await self._call(
                            "watch", "GET", path, timeout_s=wait_s + answer_s
                        )
        except TimeoutError:
            return _make_ended_era_error("watch")
        if since.era != self.eras.newest:
            return _make_ended_era_error("watch")
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(decode_changes(reply.ok_value.body, reply.ok_value.era))
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
        revision: StoreRevision | None = None,
    ) -> Result[StoredObject, StoreError]:
        """Replace an object; given a revision, only if the object still has it.

        An object never has a revision of an era that has ended.
        """
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            if revision.era != self.eras.newest:
                reason = f"revision {revision} is of an era that has ended"
                return _make_error(StoreFailure.CONFLICT, "replace", reason)
            metadata["revision"] = revision.number
        body = {"metadata": metadata, "spec": document}
        result = await self._write("replace", "PUT", _make_path(kind, name), body)
        if revision is None or isinstance(result, Err):
            return result
        if result.ok_value.revision.era != revision.era:
            # The number was compared with one that means another state.
            reason = "the store was restored while the call was under way"
            return _make_error(StoreFailure.UNKNOWN, "replace", reason)
        return result

    async def remove(
        self, kind: ObjectKind, name: ObjectName
    ) -> Result[None, StoreError]:
        """Remove an object."""
        reply = await self._call("remove", "DELETE", _make_path(kind, name))
        return reply.map(lambda _: None)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _read_page(
        self, kind: ObjectKind, after: str, *, stale: bool
    ) -> Result[ListPage, StoreError]:
        query = [f"after={quote(after, safe=CURSOR_CHARS)}"] if after else []
        query += [STALE_QUERY] if stale else []
        answer = await self._call("list", "GET", _make_path(kind, query=query))
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(decode_page(answer.ok_value.body, answer.ok_value.era))
        except MalformedDocumentError as error:
            return _make_malformed_error("list", str(error))

    async def _read_further_pages(
        self, kind: ObjectKind, pages: list[ListPage], *, stale: bool
    ) -> str:
        """Add the pages after the first one; return why the next can't be read."""
        cursors = ListCursors()
        cursors.record_page(pages[0].names)
        reason = "the pages don't advance"
        while pages[-1].has_more and (after := cursors.choose()) is not None:
            result = await self._read_page(kind, after, stale=stale)
            if isinstance(result, Err):
                error = result.err_value
                reason = f"{error.failure.value}: {error.reason}"
                if error.failure is StoreFailure.REFUSED:
                    break
                continue
            page = result.ok_value
            if cursors.record_page(page.names) or not page.has_more:
                pages.append(page)
        return reason

    async def _add_needed(
        self, kind: ObjectKind, listing: Listing, needed: ObjectName | None
    ) -> Result[Listing, StoreError]:
        """Read the object that is needed if a list does not have it."""
        if needed is None or any(item.name == needed for item in listing.objects):
            return Ok(listing)
        found = await self.get(kind, needed)
        if isinstance(found, Err):
            return Ok(listing)
        if found.ok_value.revision.era != listing.revision.era:
            return Ok(listing)
        return Ok(replace(listing, objects=(*listing.objects, found.ok_value)))

    async def _write(
        self, step: str, method: str, path: str, body: Document
    ) -> Result[StoredObject, StoreError]:
        reply = await self._call(step, method, path, body)
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(decode_answered_object(reply.ok_value.body, reply.ok_value.era))
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
    ) -> Result[_StoreAnswer, StoreError]:
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
    ) -> Result[_StoreAnswer, StoreError]:
        """Return the answer to a call unless its era has ended."""
        # A stale read may be answered by what the store was some time ago.
        is_stale = request.target.endswith(STALE_QUERY.encode())
        known = None if is_stale else self.eras.named
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._run(request)
        except TimeoutError:
            reason = f"no answer within {timeout_s:.1f} s"
            return _make_error(StoreFailure.UNKNOWN, step, reason)
        except ExchangeError as error:
            failure = StoreFailure.REFUSED if error.unsent else StoreFailure.UNKNOWN
            return _make_error(failure, step, error.reason)
        era = self.eras.record(decode_store_era(answer.headers), known)
        if era < self.eras.newest:
            reason = f"answer of era {era} after one of era {self.eras.newest}"
            return _make_error(StoreFailure.OUTDATED, step, reason)
        failure = _FAILURES.get(answer.status, StoreFailure.UNKNOWN)
        if answer.status < 300 or failure not in _REFUSALS:
            for notify in self.on_answered:
                notify()
        if answer.status >= 300:
            text = answer.body[:120].decode(errors="replace")
            return _make_error(failure, step, f"{answer.status} {text}")
        return Ok(_StoreAnswer(era, answer.body))

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
    return _make_error(StoreFailure.MALFORMED, step, reason)


def _make_ended_era_error(step: str) -> Err[StoreError]:
    reason = "the store was restored from a copy"
    return _make_error(StoreFailure.EXPIRED, step, reason)
