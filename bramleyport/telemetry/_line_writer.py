"""Output of log lines that never blocks on a slow reader."""

import os
from typing import Final

# Bytes kept for a reader that lags behind; further lines are dropped and counted.
MAX_PENDING_BYTES: Final = 65_536


class LineWriter:
    """Represent a log output that drops lines while its reader lags behind."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = b""
        # Lines dropped since the last one that was written.
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or drop it if too many bytes are pending."""
        data = line.encode(errors="replace") + b"\n"
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.flush()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += data
        self.flush()

    def flush(self) -> None:
        """Write as many pending bytes as the descriptor accepts."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            return
        except OSError:
            # The reader closed the pipe, and there is no other place to log to.
            self.dropped += self._pending.count(b"\n")
            self._pending = b""

    def take_dropped(self) -> int:
        """Return and clear the number of dropped lines."""
        dropped, self.dropped = self.dropped, 0
        return dropped
