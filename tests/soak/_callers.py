"""Define callers that open, keep and reuse connections as the platform's do."""

import asyncio
import time
from collections.abc import Callable, Sequence
from random import Random

from tests.platform_standin import RawCaller
from tests.soak._checks import (
    Observations,
    SentCall,
    ServedVersion,
    check_answer,
    check_extra_route,
)
from tests.soak._configurations import make_version_path
from tests.soak._deadly_prompts import Prompts
from tests.soak._processes import GatewayProcess

KINDS = ("read", "post", "once", "stream", "extra")
# Calls that only one of the newest versions of the configuration routes.
VERSION_KIND = "version"
NEWEST_VERSIONS = 3
DEADLINE_MS = 1500
# A gateway that sends no answer for this long has lost the call.
ANSWER_TIMEOUT_S = 6.0
# Fraction of the connections that are used until the gateway closes them.
PERSISTENT_FRACTION = 0.4
# Fraction of the calls whose caller disconnects before the answer.
DISCONNECT_FRACTION = 0.03


class Callers:
    """Represent all callers; they send calls until `stopping` is set."""

    def __init__(
        self,
        observations: Observations,
        gateways: Sequence[GatewayProcess],
        random: Random,
    ) -> None:
        self._record = observations
        self._gateways = gateways
        self._random = random
        self.prompts = Prompts(random)
        self.kinds: tuple[str, ...] = KINDS
        # Returns the newest version of the configuration.
        self.read_version: Callable[[], int] = lambda: 1
        # Whether some requests have the same body as others, by kind.
        self.repeats_requests = False
        self._number = 0
        self.stopping = False

    async def send_calls(self) -> None:
        """Open one connection after another and send calls over each."""
        while not self.stopping:
            gateway = self._random.choice(self._gateways)
            await self._use(gateway, RawCaller(gateway.caller_proxy.port))
            await asyncio.sleep(self._random.random() * 0.05)

    async def is_serving(self, gateway: GatewayProcess, path: str = "/read/x") -> bool:
        """Return whether the gateway answers a call with status 200."""
        caller = RawCaller(gateway.caller_proxy.server_port)
        name = self._name("read")
        try:
            answer = await caller.call(path, method="GET", Request_Id=name)
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            caller.close()
        return answer.status == 200

    async def _use(self, gateway: GatewayProcess, caller: RawCaller) -> None:
        """Send some calls over one connection, or until the gateway closes it."""
        is_persistent = self._random.random() < PERSISTENT_FRACTION
        count = 10_000 if is_persistent else self._random.randint(1, 5)
        try:
            for _ in range(count):
                if self.stopping or not await self._call(gateway, caller):
                    return
                await asyncio.sleep(self._random.random() * 0.05)
        except (OSError, asyncio.IncompleteReadError):
            self._record.findings.calls["closed"] += 1
        except TimeoutError:
            self._record.findings.calls["unanswered"] += 1
        finally:
            caller.close()

    async def _call(self, gateway: GatewayProcess, caller: RawCaller) -> bool:
        """Send one call and return whether the connection can be reused."""
        kind = self._random.choice(self.kinds)
        name = self._name(kind)
        call = self._record.sent[name]
        headers = {"Request_Id": name, "Deadline_Ms": str(DEADLINE_MS)}
        body = "b"
        if self.repeats_requests:
            call.body = body = self.prompts.pick_body(kind, name)
            if kind in ("once", "stream"):
                headers |= self.prompts.make_headers(0, name[1:])
        elif kind in ("once", "stream"):
            call.deadly_part = self.prompts.pick_deadly_part()
            headers |= self.prompts.pick_headers(name[1:], call.deadly_part)
        path, version = f"/{kind}/x", 0
        if kind == VERSION_KIND:
            version = self._pick_version()
            path = f"{make_version_path(version)}x"
        started_s = gateway.started_s
        await caller.send(path, body=body.encode(), **headers)
        if self._random.random() < DISCONNECT_FRACTION:
            await asyncio.sleep(self._random.random() * 0.1)
            caller.close()
            call.disconnected_s = time.monotonic()
            return False
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            call.answer = await caller.receive()
        check_answer(self._record, name, kind, call.answer)
        if kind == "extra":
            check_extra_route(self._record, name, call.answer.status)
        if kind == VERSION_KIND and call.answer.status == 200:
            answered_s = time.monotonic()
            if gateway.started_s == started_s:
                self._record.versions.append(
                    ServedVersion(
                        gateway.name, started_s, version, call.sent_s, answered_s
                    )
                )
        return call.answer.headers.get("connection", "").lower() != "close"

    def _pick_version(self) -> int:
        newest = self.read_version()
        return self._random.randint(max(1, newest - NEWEST_VERSIONS + 1), newest)

    def _name(self, kind: str) -> str:
        self._number += 1
        # Without its "s", the name identifies the part of a prompt that is unique to
        # this call, so it must be hexadecimal.
        name = f"s{self._number:x}"
        self._record.sent[name] = SentCall(kind, time.monotonic())
        return name
