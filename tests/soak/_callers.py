"""Callers that use and keep connections as those of the platform do."""

import asyncio
import time
from collections.abc import Sequence
from random import Random

from tests.platform_standin import RawCaller
from tests.soak._checks import Record, Sent, check_answer, check_extra_route
from tests.soak._processes import GatewayProcess

KINDS = ("read", "post", "once", "stream", "extra")
PATIENCE_MS = 1500
# A gateway that owes an answer for this long has lost the call.
UNANSWERED_S = 6.0
# Part of the connections that are kept until the gateway closes them.
KEEPING_PART = 0.4
LEAVING_PART = 0.03
PREFIXES = 5


class Callers:
    """Send calls over kept connections until told to end."""

    def __init__(
        self, record: Record, gateways: Sequence[GatewayProcess], random: Random
    ) -> None:
        self._record = record
        self._gateways = gateways
        self._random = random
        self._number = 0
        self.ending = False

    async def call_often(self) -> None:
        """Open one connection after another."""
        while not self.ending:
            gateway = self._random.choice(self._gateways)
            await self._use(RawCaller(gateway.callers.port))
            await asyncio.sleep(self._random.random() * 0.05)

    async def serves(self, gateway: GatewayProcess) -> bool:
        """Return whether a gateway answers a call."""
        caller = RawCaller(gateway.callers.server_port)
        name = self._name("read")
        try:
            answer = await caller.call("/read/x", method="GET", Request_Id=name)
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            caller.close()
        return answer.status == 200

    async def _use(self, caller: RawCaller) -> None:
        """Use one connection for some calls, or until it is closed."""
        keep = self._random.random() < KEEPING_PART
        count = 10_000 if keep else self._random.randint(1, 5)
        try:
            for _ in range(count):
                if self.ending or not await self._call(caller):
                    return
                await asyncio.sleep(self._random.random() * 0.05)
        except (OSError, asyncio.IncompleteReadError):
            self._record.findings.calls["closed"] += 1
        except TimeoutError:
            self._record.findings.calls["unanswered"] += 1
        finally:
            caller.close()

    async def _call(self, caller: RawCaller) -> bool:
        """Send one call; return whether the connection can be used again."""
        kind = self._random.choice(KINDS)
        name = self._name(kind)
        call = self._record.sent[name]
        headers = {"Request_Id": name, "Deadline_Ms": str(PATIENCE_MS)}
        if kind in ("once", "stream"):
            prefix = self._random.randrange(PREFIXES)
            headers |= {"Model": "m", "Token_Counts": "4000,10"}
            headers |= {"Prompt_Prefix": f"a{prefix}:3000,{name[1:]}:1000"}
        await caller.send(f"/{kind}/x", body=b"b", **headers)
        if self._random.random() < LEAVING_PART:
            await asyncio.sleep(self._random.random() * 0.1)
            caller.close()
            call.left_s = time.monotonic()
            return False
        async with asyncio.timeout(UNANSWERED_S):
            call.answer = await caller.receive()
        check_answer(self._record, name, kind, call.answer)
        if kind == "extra":
            check_extra_route(self._record, name, call.answer.status)
        return call.answer.headers.get("connection", "").lower() != "close"

    def _name(self, kind: str) -> str:
        self._number += 1
        # Also the identifier of the part of a prompt that only this call has.
        name = f"s{self._number:x}"
        self._record.sent[name] = Sent(kind, time.monotonic())
        return name
