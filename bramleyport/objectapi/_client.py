"""HTTP client of the platform's object API."""

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeVar

import treq
from cattrs import BaseValidationError
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.web.http_headers import Headers

from bramleyport.core import (
    MalformedJsonError,
    Revision,
    make_strict_converter,
    parse_json,
)
from bramleyport.objectapi._running_timeout import run_within
from bramleyport.objectapi._types import (
    Document,
    Kind,
    Listing,
    ObjectName,
    ObjectVersion,
    StoredObject,
    StoreError,
    StoreFailure,
    WatchBatch,
    WatchEvent,
    check_number,
)
from bramleyport.telemetry import events, log_event
from bramleyport.transport import make_http_client

if TYPE_CHECKING:
    from collections.abc import Callable

CALL_TIMEOUT_S: Final = 3.0
WATCH_TIMEOUT_S: Final = 20.0

_STATUS_FAILURES: Final = {
    400: StoreFailure.INVALID,
    404: StoreFailure.NOT_FOUND,
    409: StoreFailure.CONFLICT,
    410: StoreFailure.EXPIRED,
    412: StoreFailure.CONFLICT,
    413: StoreFailure.TOO_LARGE,
    429: StoreFailure.UNAVAILABLE,
    503: StoreFailure.UNAVAILABLE,
}

DECODING_ERRORS: Final = (
    BaseValidationError,
    ArithmeticError,
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)
# Characters of the reason for which an object is left out that are logged.
MAX_REASON_CHARS: Final = 200
# Versions of stored objects are higher.
_ABSENT: Final = ObjectVersion(0)

T = TypeVar("T")

_converter = make_strict_converter()


@dataclass(frozen=True, slots=True, kw_only=True)
class _RawListing:
    """Describe a listing whose objects are not decoded yet."""

    revision: Revision
    items: tuple[Any, ...]

    def __post_init__(self) -> None:
        """Check the revision."""
        check_number(self.revision)


@dataclass(frozen=True, slots=True, kw_only=True)
class _RawBatch:
    """Describe the changes of a watch that are not decoded yet."""

    revision: Revision
    events: tuple[Any, ...]

    def __post_init__(self) -> None:
        """Check the revision."""
        check_number(self.revision)


class ObjectClient:
    """Represent a connection to the object API; errors are returned, not raised."""

    def __init__(
        self, base_url: str, on_call: "Callable[[str, str], None] | None" = None
    ) -> None:
        self.base_url = base_url.rstrip("/")
        self._on_call = on_call
        self._http, self._pool = make_http_client(persistent=True)

    async def get(
        self, kind: Kind, name: ObjectName
    ) -> Result[StoredObject, StoreError]:
        """Read one object."""
        url = f"/objects/{kind.value}/{name}"
        reply = await self._call("get", "GET", url)
        return reply.and_then(lambda value: self._decode_object(value, kind, name))

    async def list_all(self, kind: Kind) -> Result[Listing, StoreError]:
        """Read all objects of a kind."""
        reply = await self._call("list", "GET", f"/objects/{kind.value}")
        return reply.and_then(self._decode_listing)

    async def create(
        self, kind: Kind, name: ObjectName, spec: Document, status: Document
    ) -> Result[StoredObject, StoreError]:
        """Create an object; fail with a conflict if it exists."""
        condition = {"If-None-Match": "*"}
        return await self._put(kind, name, spec, status, condition, _ABSENT)

    async def update(
        self,
        kind: Kind,
        name: ObjectName,
        version: ObjectVersion,
        spec: Document,
        status: Document,
    ) -> Result[StoredObject, StoreError]:
        """Replace an object; fail with a conflict if its version differs."""
        condition = {"If-Match": f'"{version}"'}
        return await self._put(kind, name, spec, status, condition, version)

    async def delete(
        self, kind: Kind, name: ObjectName, version: ObjectVersion
    ) -> Result[None, StoreError]:
        """Delete an object; fail with a conflict if its version differs."""
        url = f"/objects/{kind.value}/{name}"
        condition = {"If-Match": f'"{version}"'}
        reply = await self._call("delete", "DELETE", url, headers=condition)
        return reply.map(lambda _: None)

    async def watch(
        self, kind: Kind, since: Revision, timeout_s: float = WATCH_TIMEOUT_S
    ) -> Result[WatchBatch, StoreError]:
        """Wait for changes to objects of a kind after a revision."""
        url = f"/watch/{kind.value}?since={since}&timeout_s={timeout_s}"
        reply = await self._call(
            "watch", "GET", url, call_timeout_s=timeout_s + CALL_TIMEOUT_S
        )
        return reply.and_then(self._decode_batch)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections().asFuture(asyncio.get_running_loop())

    async def _put(
        self,
        kind: Kind,
        name: ObjectName,
        spec: Document,
        status: Document,
        condition: dict[str, str],
        replaced: ObjectVersion,
    ) -> Result[StoredObject, StoreError]:
        url = f"/objects/{kind.value}/{name}"
        body = json.dumps({"spec": spec, "status": status}).encode()
        reply = await self._call("put", "PUT", url, body=body, headers=condition)
        return reply.and_then(
            lambda value: self._decode_object(value, kind, name, replaced)
        )

    async def _call(
        self,
        step: str,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[Any, StoreError]:
        result = await self._send_request(
            step, method, url, body, headers or {}, call_timeout_s
        )
        outcome = result.err_value.failure.value if isinstance(result, Err) else "ok"
        if self._on_call is not None:
            self._on_call(step, outcome)
        if isinstance(result, Err) and result.err_value.failure in (
            StoreFailure.UNAVAILABLE,
            StoreFailure.UNKNOWN,
        ):
            log_event(
                events.STORE_CALL_FAILED,
                step=step,
                peer=self.base_url,
                url=url,
                reason=result.err_value.message,
            )
        return result

    async def _send_request(
        self,
        step: str,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        call_timeout_s: float,
    ) -> Result[Any, StoreError]:
        try:
            response, content = await run_within(
                call_timeout_s, self._exchange(method, url, body, headers)
            )
        except ConnectError as error:
            return Err(self._make_error(StoreFailure.UNAVAILABLE, step, repr(error)))
        except Exception as error:  # Twisted raises many types when a request fails
            return Err(self._make_error(StoreFailure.UNKNOWN, step, repr(error)))
        if response.code >= 400:
            failure = _STATUS_FAILURES.get(response.code, StoreFailure.UNKNOWN)
            text = content[:200].decode(errors="replace")
            return Err(self._make_error(failure, step, f"{response.code} {text}"))
        try:
            return Ok(parse_json(content) if content else None)
        except MalformedJsonError as error:
            return Err(self._make_error(StoreFailure.UNKNOWN, step, repr(error)))

    async def _exchange(
        self, method: str, url: str, body: bytes | None, headers: dict[str, str]
    ) -> tuple[Any, bytes]:
        """Send a request and return its response and the whole body."""
        response = await _await_deferred(
            self._http.request(
                method,
                self.base_url + url,
                data=body,
                headers=Headers({n: [v] for n, v in headers.items()}),
            )
        )
        return response, await _await_deferred(treq.content(response))

    def _decode(self, value: Any, kind: type[T]) -> Result[T, StoreError]:
        try:
            return Ok(_converter.structure(value, kind))
        except DECODING_ERRORS as error:
            return Err(self._make_error(StoreFailure.UNKNOWN, "decode", repr(error)))

    def _decode_object(
        self,
        value: Any,
        kind: Kind,
        name: ObjectName,
        replaced: ObjectVersion = _ABSENT,
    ) -> Result[StoredObject, StoreError]:
        """Return the object of an answer, or an error if the call was another.

        A store may send a second copy of an answer on a connection in use again.
        """
        found = self._decode(value, StoredObject)
        if isinstance(found, Err):
            return found
        stored = found.ok_value
        same = stored.kind == kind.value and stored.name == name
        if same and stored.version > replaced:
            return found
        self._replace_connections()
        reason = f"the answer to another call: {stored.kind}/{stored.name}"
        error = self._make_error(StoreFailure.UNKNOWN, "decode", reason)
        log_event(
            events.STORE_CALL_FAILED,
            step=error.step,
            peer=self.base_url,
            url=f"/objects/{kind.value}/{name}",
            reason=reason[:MAX_REASON_CHARS],
        )
        return Err(error)

    def _replace_connections(self) -> None:
        """Send later calls on new connections; the old ones may be an answer behind."""
        closing = self._pool.closeCachedConnections()
        self._http, self._pool = make_http_client(persistent=True)
        closing.addErrback(lambda _: None)

    def _decode_listing(self, value: Any) -> Result[Listing, StoreError]:
        """Return a listing without the objects that are not valid."""
        listing = self._decode(value, _RawListing)
        return listing.map(
            lambda found: Listing(
                revision=found.revision,
                items=tuple(self._decode_each(found.items, StoredObject)),
            )
        )

    def _decode_batch(self, value: Any) -> Result[WatchBatch, StoreError]:
        """Return the changes of a watch without those that are not valid."""
        batch = self._decode(value, _RawBatch)
        return batch.map(
            lambda found: WatchBatch(
                revision=found.revision,
                events=tuple(self._decode_each(found.events, WatchEvent)),
            )
        )

    def _decode_each(self, items: Iterable[Any], kind: type[T]) -> Iterable[T]:
        for item in items:
            decoded = self._decode(item, kind)
            if isinstance(decoded, Ok):
                yield decoded.ok_value
                continue
            log_event(
                events.OBJECT_INVALID,
                peer=self.base_url,
                reason=decoded.err_value.message[:MAX_REASON_CHARS],
            )

    def _make_error(self, failure: StoreFailure, step: str, message: str) -> StoreError:
        return StoreError(
            failure=failure, step=step, peer=self.base_url, message=message
        )


async def _await_deferred(deferred: "Deferred[Any]") -> Any:
    return await deferred.asFuture(asyncio.get_running_loop())
