"""Define the stand-in of the platform API, which takes usage reports and orders."""

import asyncio
import json
import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from tests.platform_standin._http import RawServer, read_request, render_response


@dataclass(frozen=True, slots=True)
class DutyCall:
    """Describe one call that arrived, whether it was accepted or not."""

    path: str
    holder: str
    fencing: int
    document: dict[str, Any]
    accepted: bool
    at_s: float = field(default_factory=time.time)


class PlatformApiStandin(RawServer):
    """Represent the platform API, with faults that tests switch on."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[DutyCall] = []
        # If set, every call gets this status.
        self.status = 200
        # Whether the answers to calls that took effect are lost.
        self.loses_answers = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            call = DutyCall(
                path=request.path,
                holder=request.headers["duty-holder"],
                fencing=int(request.headers["fence-token"]),
                document=json.loads(request.body),
                accepted=self.status == 200,
            )
            self.calls.append(call)
            if self.loses_answers:
                return
            writer.write(render_response(self.status))
            await writer.drain()

    def list_accepted(self) -> dict[int, list[dict[str, int]]]:
        """Return the different counts that were accepted, by window."""
        windows: dict[int, list[dict[str, int]]] = defaultdict(list)
        for call in self.calls:
            if call.path == "/usage" and call.accepted:
                counts = call.document["counts"]
                known = windows[call.document["window_id"]]
                if counts not in known:
                    known.append(counts)
        return windows
