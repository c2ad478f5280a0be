"""Keep processors of the host busy beside a soak test."""

import subprocess
import sys
from typing import Final

from tests.child_processes import end_with_parent

# Each process also ends by itself, in case that its soak test is killed.
BUSY_PROGRAM: Final = """
import time
until_s = time.monotonic() + 180
while time.monotonic() < until_s:
    sum(range(10000))
"""


class BusyProcesses:
    """Represent processes that use all time of a processor each."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start the processes."""
        for _ in range(self._count):
            command = [sys.executable, "-c", BUSY_PROGRAM]
            self._processes.append(
                subprocess.Popen(command, preexec_fn=end_with_parent)
            )

    def stop(self) -> None:
        """Kill the processes."""
        for process in self._processes:
            process.kill()
            process.wait()
