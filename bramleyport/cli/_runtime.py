"""Runtime of the daemons: Twisted's asyncio reactor and process signals."""

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

import click

from bramleyport.core import StepError

EXIT_START_FAILED: Final = 1
# Each token allocates a few dozen short-lived objects. An entry spends 154 us on a
# token with this value and 165 us with Python's default of 700.
GC_THRESHOLD: Final = 20_000


class Daemon(Protocol):
    """Represent a service that a process runs until it is stopped."""

    async def start(self) -> None:
        """Start serving."""
        ...

    async def stop(self) -> None:
        """Finish running work, then stop serving."""
        ...


def install_reactor() -> None:
    """Install the asyncio reactor, before an import installs the default one."""
    from twisted.internet import asyncioreactor

    installed = sys.modules.get("twisted.internet.reactor")
    if isinstance(installed, asyncioreactor.AsyncioSelectorReactor):
        return
    # The loop must also be the current one of the thread, because Twisted starts its
    # first callbacks before the loop runs.
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(_log_loop_error)
    asyncioreactor.install(loop)


def tune_garbage_collector() -> None:
    """Exclude objects that exist after startup from collections, and collect rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, *gc.get_threshold()[1:])


def run_daemon(
    build: Callable[[], Daemon], on_started: Callable[[], Awaitable[None]] | None = None
) -> int:
    """Run a daemon until SIGTERM or SIGINT and return the exit code.

    A StepError during startup is reported in one line; other errors are raised.
    """
    from twisted.internet import reactor as _reactor
    from twisted.internet.defer import Deferred

    # Twisted types its global reactor as an interface without methods.
    reactor: Any = _reactor
    failures: list[BaseException] = []
    started: list[Daemon] = []

    async def start() -> None:
        try:
            daemon = build()
            started.append(daemon)
            await daemon.start()
            tune_garbage_collector()
            if on_started is not None:
                await on_started()
        except Exception as error:  # reported below once the reactor has stopped
            failures.append(error)
            reactor.stop()

    def stop() -> "Deferred[None]":
        return Deferred.fromFuture(asyncio.ensure_future(_stop_all(started)))

    reactor.callWhenRunning(lambda: asyncio.ensure_future(start()))
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    if not failures:
        return 0
    if isinstance(failures[0], StepError):
        return report_failed_start(failures[0])
    raise failures[0]


def report_failed_start(error: StepError) -> int:
    """Log and print why a process could not start, and return its exit code."""
    from bramleyport.telemetry import log_event, operator_events

    log_event(
        operator_events.START_FAILED,
        step=error.step,
        peer=error.peer,
        reason=error.reason,
    )
    click.echo(f"could not start: {error}", err=True)
    return EXIT_START_FAILED


def _log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    from bramleyport.telemetry import events, log_event

    error = context.get("exception")
    log_event(
        events.HANDLER_FAILED, step="loop", error=repr(error), note=context["message"]
    )


async def _stop_all(daemons: list[Daemon]) -> None:
    # Once the reactor has ended, the default actions of these signals would end the
    # process with a failure although all its work is done.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT})
    for daemon in daemons:
        await daemon.stop()
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
