"""Write log lines without ever waiting for their reader."""

import os
from typing import Final

# Bytes kept for a reader that has fallen behind; further lines are dropped and counted.
MAX_WAITING_BYTES: Final = 65_536


class LineWriter:
    """Write lines to a file descriptor and drop them while nobody reads."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting = b""
        # Lines dropped since the last one that was written.
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or drop it if too much waits already."""
        data = line.encode(errors="replace") + b"\n"
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self.flush()
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting += data
        self.flush()

    def flush(self) -> None:
        """Write what waits as far as the reader takes it."""
        try:
            while self._waiting:
                written = os.write(self._descriptor, self._waiting)
                self._waiting = self._waiting[written:]
        except BlockingIOError:
            return
        except OSError:
            # The reader has gone; there is nobody to tell.
            self.dropped += self._waiting.count(b"\n")
            self._waiting = b""

    def take_dropped(self) -> int:
        """Return and clear the number of dropped lines."""
        dropped, self.dropped = self.dropped, 0
        return dropped
