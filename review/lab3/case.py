"""Run a case: keep its record, and turn its result into an exit code."""

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

LIMIT_S = 112.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


class Record:
    """Represent what was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        self._start_s = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at_s: float | None = None) -> None:
        """Add a line, at the time at which it happened."""
        moment_s = time.monotonic() if at_s is None else at_s
        self._lines.append((moment_s, text))

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(text, flush=True)

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        with path.open("w") as file:
            for moment_s, text in sorted(self._lines, key=lambda line: line[0]):
                file.write(f"{moment_s - self._start_s:9.3f} s  {text}\n")


Case = Callable[[Record, bool], Awaitable[bool]]


def run(case: Case, folder: Path) -> None:
    """Run a case, with its disruption unless TROUBLE is 0, and exit.

    The case returns whether the rule was broken.
    """
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = NOT_RUN
    try:
        broken = asyncio.run(_limit(case(record, trouble)))
        code = BROKEN if broken else HELD
        record.say("the rule was broken" if broken else "the rule held")
    except Exception:
        record.say(traceback.format_exc())
    record.write(folder / "record.txt")
    sys.exit(code)


async def _limit(result: Awaitable[bool]) -> bool:
    return await asyncio.wait_for(result, LIMIT_S)
