"""Run coroutines on Twisted's asyncio reactor until a signal stops them."""

import asyncio
import gc
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

import click

from bramleyport.core import StepError

EXIT_FAILED: Final = 1
# Each token makes a few dozen short-lived objects. At Python's 700 an entry spent
# 165 us on a token, at this value 154 us (medians of three runs).
GC_THRESHOLD: Final = 20_000


class Daemon(Protocol):
    """Start and stop as a unit."""

    async def start(self) -> None:
        """Begin serving."""
        ...

    async def stop(self) -> None:
        """Finish what runs, then stop serving."""
        ...


def install_reactor() -> None:
    """Install the reactor before anything imports the default one."""
    from twisted.internet import asyncioreactor

    installed = sys.modules.get("twisted.internet.reactor")
    if isinstance(installed, asyncioreactor.AsyncioSelectorReactor):
        return
    # Twisted starts its first callbacks before the loop runs, so the loop must also be
    # the thread's current one.
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(_log_loop_error)
    asyncioreactor.install(loop)


def settle_garbage_collector() -> None:
    """Leave what the start built out of later collections, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, *gc.get_threshold()[1:])


def run_daemon(
    build: Callable[[], Daemon], on_started: Callable[[], Awaitable[None]] | None = None
) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code.

    A start that fails at a known step is reported in one line; any other error is
    raised.
    """
    from twisted.internet import reactor as _reactor
    from twisted.internet.defer import Deferred

    # Twisted types its global reactor as an interface without methods.
    reactor: Any = _reactor
    failures: list[BaseException] = []
    running: list[Daemon] = []

    async def start() -> None:
        try:
            daemon = build()
            running.append(daemon)
            await daemon.start()
            settle_garbage_collector()
            if on_started is not None:
                await on_started()
        except Exception as error:  # reported by the caller once the reactor stopped
            failures.append(error)
            reactor.stop()

    def stop() -> "Deferred[None]":
        return Deferred.fromFuture(asyncio.ensure_future(_stop_all(running)))

    reactor.callWhenRunning(lambda: asyncio.ensure_future(start()))
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    if not failures:
        return 0
    if isinstance(failures[0], StepError):
        return fail_start(failures[0])
    raise failures[0]


def fail_start(error: StepError) -> int:
    """Report why a process can't start and return its exit code."""
    from bramleyport.telemetry import log_event, operator_events

    log_event(
        operator_events.START_FAILED,
        step=error.step,
        peer=error.peer,
        reason=error.reason,
    )
    click.echo(f"could not start: {error}", err=True)
    return EXIT_FAILED


def _log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    from bramleyport.telemetry import events, log_event

    error = context.get("exception")
    log_event(
        events.HANDLER_FAILED, step="loop", error=repr(error), note=context["message"]
    )


async def _stop_all(daemons: list[Daemon]) -> None:
    for daemon in daemons:
        await daemon.stop()
