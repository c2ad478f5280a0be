"""Run coroutines on an event loop whose clock jumps to the next timer."""

import asyncio
import selectors
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Move the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Represent an event loop on which no time passes but that of its timers."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s
