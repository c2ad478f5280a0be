"""Guard that log output which nobody reads drops lines and never blocks the process."""

import os
from collections.abc import Iterator

import pytest

from bramleyport.telemetry._line_writer import MAX_PENDING_BYTES, LineWriter

Pipe = tuple[int, int]


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    reading, writing = os.pipe()
    yield reading, writing
    for descriptor in (reading, writing):
        try:
            os.close(descriptor)
        except OSError:
            continue


def test_lines_arrive_in_order(pipe: Pipe) -> None:
    writer = LineWriter(pipe[1])
    writer.write("a")
    writer.write("b")
    assert os.read(pipe[0], 100) == b"a\nb\n"


def test_full_pipe_drops_lines_and_counts_them(pipe: Pipe) -> None:
    writer = LineWriter(pipe[1])
    for _ in range(1_000):
        writer.write("x" * 999)
    assert writer.dropped > 0
    while len(os.read(pipe[0], 1_000_000)) >= MAX_PENDING_BYTES:
        writer.flush()
    dropped = writer.take_dropped()
    assert dropped > 0
    assert writer.take_dropped() == 0


def test_lines_are_dropped_whole(pipe: Pipe) -> None:
    writer = LineWriter(pipe[1])
    for _ in range(300):
        writer.write("y" * 999)
    data = b""
    os.set_blocking(pipe[0], False)
    for _ in range(100):
        try:
            data += os.read(pipe[0], 65_536)
        except BlockingIOError:
            break
        writer.flush()
    lines = data.split(b"\n")[:-1]
    assert lines
    assert {len(line) for line in lines} == {999}


def test_closed_reader_counts_dropped_lines(pipe: Pipe) -> None:
    writer = LineWriter(pipe[1])
    os.close(pipe[0])
    writer.write("z")
    assert writer.take_dropped() == 1
