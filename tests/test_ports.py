"""Guard the processes of tests against a port that another one was given."""

import subprocess
import sys
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from typing import Any

from tests import ports
from tests.platform_standin import StoreStandin

Run = Callable[[Coroutine[Any, Any, Any]], Any]

PORTS = 50
PROCESSES = 8
# Both processes draw from the same port on, and keep what they drew until told.
DRAW = f"""
import itertools, sys
from tests import ports
ports._offsets = itertools.count(0)
print(*[ports.find_port() for _ in range({PORTS})], flush=True)
sys.stdin.read()
"""


def start_drawing() -> subprocess.Popen[str]:
    return start_process(DRAW)


def start_process(program: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-c", program],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def read_ports(process: subprocess.Popen[str]) -> set[str]:
    assert process.stdout is not None
    return set(process.stdout.readline().split())


# Guards against two processes that draw before either has bound its ports.
def test_processes_that_draw_at_once_draw_different_ports() -> None:
    with start_drawing() as first, start_drawing() as second:
        drawn = [read_ports(first), read_ports(second)]
    assert [len(ports) for ports in drawn] == [PORTS, PORTS]
    assert not drawn[0] & drawn[1]


# Guards against ports that stay reserved once their process has ended.
def test_ports_of_an_ended_process_are_drawn_again() -> None:
    with start_drawing() as first:
        drawn = read_ports(first)
    with start_drawing() as second:
        assert read_ports(second) & drawn


# Guards against processes that keep the ports of all their tests: eight of them ran out
# of ports.
def test_processes_that_run_many_tests_leave_ports_for_each_other() -> None:
    run_tests = f"""
import sys
from tests import ports
for _ in range({ports.RESERVED_PORTS}):
    ports.find_port()
    ports.release_ports()
print(len(ports._reserved), flush=True)
sys.stdin.read()
"""
    with ExitStack() as running:
        processes = [
            running.enter_context(start_process(run_tests)) for _ in range(PROCESSES)
        ]
        assert [len(read_ports(process)) for process in processes] == [1] * PROCESSES


# Guards against a server of another process at the port of a stopped stand-in: whoever
# still calls the stand-in would reach that server, and run the script of its test.
def test_port_of_a_stopped_stand_in_is_given_to_no_other_process(run: Run) -> None:
    store = StoreStandin()

    async def start_and_stop() -> None:
        await store.start()
        await store.stop()

    run(start_and_stop())
    reserve = f"from tests import ports; print(ports._reserve({store.port}))"
    command = [sys.executable, "-c", reserve]
    reserved = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=True)
    assert reserved.stdout.strip() == "False"
