"""Run two attempts of a request side by side and keep the first that answers."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok

from bramleyport.core import Execution
from bramleyport.dispatch._attempt import AttemptResult, OnChunk
from bramleyport.retries import AttemptFailure

Start = Callable[[OnChunk], Coroutine[Any, Any, AttemptResult]]


class ChunkGate:
    """Let the chunks of one attempt through and hold back the others."""

    def __init__(self, on_chunk: OnChunk) -> None:
        self.owner: int | None = None
        self.claimed = asyncio.Event()
        self._on_chunk = on_chunk

    def claim(self, runner: int) -> bool:
        """Make a runner the owner unless another one is."""
        if self.owner is None:
            self.owner = runner
            self.claimed.set()
        return self.owner == runner

    def make_taker(self, runner: int) -> OnChunk:
        """Return what takes the chunks of one runner."""

        async def take(chunk: bytes) -> None:
            if not self.claim(runner):
                await asyncio.get_running_loop().create_future()
            await self._on_chunk(chunk)

        return take


async def race_attempts(
    start_first: Start,
    find_second: Callable[[], Start | None],
    delay_s: float,
    on_chunk: OnChunk,
) -> AttemptResult:
    """Start a second attempt if the first shows nothing within the delay."""
    gate = ChunkGate(on_chunk)
    tasks = [asyncio.ensure_future(start_first(gate.make_taker(0)))]
    claimed = asyncio.ensure_future(gate.claimed.wait())
    try:
        await asyncio.wait(
            {tasks[0], claimed},
            timeout=delay_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if gate.owner is None and not tasks[0].done():
            second = find_second()
            if second is not None:
                tasks.append(asyncio.ensure_future(second(gate.make_taker(1))))
        return await _await_answer(gate, tasks, claimed)
    finally:
        claimed.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _await_answer(
    gate: ChunkGate,
    tasks: "list[asyncio.Task[AttemptResult]]",
    claimed: "asyncio.Task[bool]",
) -> AttemptResult:
    pending = set(tasks)
    failures: list[AttemptFailure] = []
    while True:
        await asyncio.wait({*pending, claimed}, return_when=asyncio.FIRST_COMPLETED)
        if gate.owner is not None:
            for index, task in enumerate(tasks):
                if index != gate.owner:
                    task.cancel()
            return await tasks[gate.owner]
        for index, task in enumerate(tasks):
            if task not in pending or not task.done():
                continue
            pending.discard(task)
            result = task.result()
            # An answer without chunks claims the gate at its end.
            if isinstance(result, Ok):
                if gate.claim(index):
                    return result
                continue
            failures.append(result.err_value)
            if not pending:
                return Err(_pick_failure(failures))


def _pick_failure(failures: list[AttemptFailure]) -> AttemptFailure:
    """Return a failure of an attempt that may have run, if there is one."""
    # A refusal of one attempt does not show that the other one never ran.
    for failure in failures:
        if failure.execution is not Execution.NOT_RUN:
            return failure
    return failures[-1]
