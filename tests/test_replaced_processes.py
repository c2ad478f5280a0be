"""Guard streams against processes of another version under the same identifier."""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from tests.platform_standin import VersionedEngine
from tests.test_software_versions import (
    BROKEN_PATH,
    PATH,
    Stream,
    VersionedGroup,
    run_versions,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

VERSIONS = ("v1", "v1", "v2", "v2")
STREAMS = 24


def replace_process(versioned: VersionedGroup, engine: VersionedEngine) -> None:
    """Start another version at once, under the identifier and at the port it had.

    It registers before it takes connections; the old ones end with the old process.
    """
    engine.version = "v2"
    engine.born_ms += 1000
    engine.register(versioned.group.store)
    engine.reset_connections()


# Guards against streams that go on, or begin, at a process of another version that has
# taken the place of the registered one.
@pytest.mark.parametrize("path", [PATH, BROKEN_PATH])
def test_streams_of_replaced_processes_are_not_joined(
    run: Run, tmp_path: Path, path: str
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS) as versioned:
            names = sorted(versioned.group.gateways)
            for engine in versioned.engines:
                engine.pause_s = 0.1
            for number in range(STREAMS):
                stream = Stream(f"s{number}", names[number % 3])
                versioned.streams.append(stream)
            calls = [
                asyncio.ensure_future(
                    versioned._call(stream, stream.gateway, stream.request, path)
                )
                for stream in versioned.streams
            ]
            await asyncio.sleep(0.25)
            for engine in versioned.engines[:2]:
                replace_process(versioned, engine)
            await asyncio.gather(*calls)
            await versioned.resume(versioned.choose_other)
            begun = {stream.versions[0] for stream in versioned.streams}
            assert begun == {"v1", "v2"}
            versioned.check(complete=STREAMS // 4)

    run(check())
