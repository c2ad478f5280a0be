"""Define shared fixtures: the event loop under Twisted's reactor, and the demo."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from typing import Any, TypeVar

import pytest
from hypothesis import settings

from bramleyport.cli._runtime import install_reactor
from tests.known_red import load_entries
from tests.ports import release_ports

install_reactor()

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")

pytest_plugins = ["pytester"]

# Only a task that ignores its cancellation reaches this limit.
END_LIMIT_S = 5.0

T = TypeVar("T")
Run = Callable[[Awaitable[T]], T]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests listed in KNOWN-RED.txt, so that they run and may fail."""
    entries = {entry.test: entry for entry in load_entries()}
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is not None:
            reason = f"known failure, issue {entry.issue}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Print the tests that may fail."""
    for entry in load_entries():
        terminalreporter.write_line(f"known failure: {entry.test}: {entry.seen}")


@pytest.fixture(scope="session")
def loop() -> asyncio.AbstractEventLoop:
    return asyncio.get_event_loop()


@pytest.fixture(autouse=True)
def end_tasks(loop: asyncio.AbstractEventLoop) -> Iterator[None]:
    """Cancel what a test leaves running; it would call ports that later tests reuse."""
    yield
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    if left:
        loop.run_until_complete(asyncio.wait(left, timeout=END_LIMIT_S))
    release_ports()
    # asyncio.run() leaves no event loop for the tests that follow.
    assert asyncio.get_event_loop() is loop


@pytest.fixture
def run(loop: asyncio.AbstractEventLoop) -> Callable[[Coroutine[Any, Any, T]], T]:
    """Return a function that runs a coroutine, with a time limit against hangs."""

    def call(coroutine: Coroutine[Any, Any, T]) -> T:
        return loop.run_until_complete(asyncio.wait_for(coroutine, 120))

    return call


@pytest.fixture
def demo(run: Callable[[Coroutine[Any, Any, Any]], Any]) -> Iterator[Any]:
    """Run the demo, with all its processes on loopback, for the time of a test."""
    from bramleyport.cli._demo import Demo

    demo = Demo(0, 1)
    run(demo.start())
    yield demo
    run(demo.stop())
