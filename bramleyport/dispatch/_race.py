"""Hedged attempts: two run concurrently and the first to answer is kept."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok

from bramleyport.core import Execution
from bramleyport.dispatch._attempt import AttemptResult, OnChunk
from bramleyport.retries import AttemptFailure

StartAttempt = Callable[[OnChunk], Coroutine[Any, Any, AttemptResult]]


class ChunkGate:
    """Let the chunks of the first attempt that sends one reach the caller."""

    def __init__(self, on_chunk: OnChunk) -> None:
        self.owner: int | None = None
        self.claimed = asyncio.Event()
        self._on_chunk = on_chunk

    def claim(self, attempt_index: int) -> bool:
        """Make an attempt the owner unless there is one, and return whether it owns."""
        if self.owner is None:
            self.owner = attempt_index
            self.claimed.set()
        return self.owner == attempt_index

    def make_chunk_handler(self, attempt_index: int) -> OnChunk:
        """Return the chunk handler of one attempt."""

        async def handle_chunk(chunk: bytes) -> None:
            if not self.claim(attempt_index):
                await asyncio.get_running_loop().create_future()
            await self._on_chunk(chunk)

        return handle_chunk


async def race_attempts(
    start_first: StartAttempt,
    find_second: Callable[[], StartAttempt | None],
    delay_s: float,
    on_chunk: OnChunk,
) -> AttemptResult:
    """Start a second attempt if the first sends no chunk within the delay."""
    gate = ChunkGate(on_chunk)
    tasks = [asyncio.ensure_future(start_first(gate.make_chunk_handler(0)))]
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
                tasks.append(asyncio.ensure_future(second(gate.make_chunk_handler(1))))
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
            # An answer without chunks becomes the owner when it ends.
            if isinstance(result, Ok):
                if gate.claim(index):
                    return result
                continue
            failures.append(result.err_value)
            if not pending:
                return Err(_pick_failure(failures))


def _pick_failure(failures: list[AttemptFailure]) -> AttemptFailure:
    """Return the failure of an attempt that may have run, or else the last one."""
    # A refusal of one attempt does not show that the other has not run.
    for failure in failures:
        if failure.execution is not Execution.NOT_RUN:
            return failure
    return failures[-1]
