"""Client of the platform API, which takes usage reports and scale orders."""

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from bramleyport.core import (
    AccountId,
    FencingNumber,
    ProcessId,
    ServiceName,
    ZoneName,
)
from bramleyport.fleet import Address
from bramleyport.http1 import (
    ConnectionPool,
    ExchangeError,
    HttpClient,
    HttpRequest,
    PoolLimits,
)

# Time for one call. The next try is not delayed by one that is never answered.
CALL_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 0.5
MAX_CONNECTIONS: Final = 2
# An answer has no content that is used.
MAX_ANSWER_BYTES: Final = 65_536


class DutyResult(str, Enum):
    """Represent the result of a call to the platform API."""

    ACCEPTED = "accepted"
    # It takes no further calls this second.
    LIMITED = "limited"
    REFUSED = "refused"
    # It may have been accepted, or may be later.
    UNANSWERED = "unanswered"
    # Nothing was sent, since this process does not hold the duties.
    NOT_HELD = "not_held"


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Describe the requests of one window by account."""

    window: int
    counts: Mapping[AccountId, int]


@dataclass(frozen=True, slots=True)
class ScaleOrder:
    """Describe how many upstreams of a service a zone has to have."""

    service: ServiceName
    zone: ZoneName
    desired: int


@dataclass(frozen=True, slots=True)
class DutyAnswer:
    """Describe how a call ended, and under which fencing number it was sent."""

    result: DutyResult
    fencing: FencingNumber | None
    reason: str = ""


FindFencing = Callable[[], FencingNumber | None]


class DutyClient:
    """Represent the platform API."""

    def __init__(self, client: HttpClient, address: Address, holder: ProcessId) -> None:
        limits = PoolLimits(
            max_connections=MAX_CONNECTIONS, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        self._pool = ConnectionPool(client, address, limits)
        self._holder = holder

    async def send(
        self, call: UsageReport | ScaleOrder, find_fencing: FindFencing
    ) -> DutyAnswer:
        """Send a call under the fencing number that is in force as it is written."""
        fencing: FencingNumber | None = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                connection = await self._pool.acquire(fresh=True)
                try:
                    # This process may have been suspended while it connected.
                    fencing = find_fencing()
                    if fencing is None:
                        connection.abort()
                        return DutyAnswer(DutyResult.NOT_HELD, None)
                    connection.send(_make_request(call, self._holder, fencing))
                    answer = await connection.read_head()
                    body = await connection.read_body(MAX_ANSWER_BYTES)
                except BaseException:
                    connection.abort()
                    raise
                self._pool.release(connection)
        except TimeoutError:
            reason = f"no answer within {CALL_TIMEOUT_S:.1f} s"
            return DutyAnswer(DutyResult.UNANSWERED, fencing, reason)
        except ExchangeError as error:
            return DutyAnswer(DutyResult.UNANSWERED, fencing, error.reason)
        text = body[:120].decode(errors="replace")
        return DutyAnswer(
            _decode_status(answer.status), fencing, f"{answer.status} {text}"
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()


def _decode_status(status: int) -> DutyResult:
    if 200 <= status < 300:
        return DutyResult.ACCEPTED
    return DutyResult.LIMITED if status == 429 else DutyResult.REFUSED


def _make_request(
    call: UsageReport | ScaleOrder, holder: ProcessId, fencing: FencingNumber
) -> HttpRequest:
    if isinstance(call, UsageReport):
        target = b"/usage"
        document = {"window_id": call.window, "counts": dict(call.counts)}
    else:
        target = b"/scale"
        document = {
            "service": call.service,
            "zone": call.zone,
            "desired": call.desired,
        }
    return HttpRequest(
        method=b"POST",
        target=target,
        headers=[
            (b"Content-Type", b"application/json"),
            (b"Duty-Holder", holder.encode("latin-1", "replace")),
            (b"Fence-Token", str(fencing).encode()),
        ],
        body=json.dumps(document, separators=(",", ":")).encode(),
    )
