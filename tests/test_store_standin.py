"""Guard that the stand-in of the store is restored as the platform's store is."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from tests.platform_standin import RawCaller, StoreStandin

Run = Callable[[Coroutine[Any, Any, Any]], Any]


class StoreReader:
    """Represent a client of the stand-in."""

    def __init__(self, store: StoreStandin) -> None:
        self._store = store

    async def call(
        self, target: str, method: str = "GET", spec: Any = None
    ) -> tuple[int, int, Any]:
        """Return the status, the era and the document of an answer."""
        caller = RawCaller(self._store.port)
        body = b"" if spec is None else json.dumps({"spec": spec}).encode()
        try:
            answer = await caller.call(f"/-/objects/{target}", body=body, method=method)
        finally:
            caller.close()
        document = json.loads(answer.body)
        return answer.status, int(answer.headers["store-era"]), document


def run_with_store(
    run: Run,
    script: Callable[[StoreStandin, StoreReader], Coroutine[Any, Any, None]],
) -> None:
    async def whole() -> None:
        store = StoreStandin()
        await store.start()
        try:
            await script(store, StoreReader(store))
        finally:
            await store.stop()

    run(whole())


# Guards against a stand-in whose errors hide that the store was restored.
def test_every_answer_names_the_era(run: Run) -> None:
    async def script(store: StoreStandin, reader: StoreReader) -> None:
        store.put("config", "main", {"version": 1})
        copy = store.copy()
        store.put("config", "main", {"version": 2})
        store.restore(copy)
        store.refusal_status = 503
        assert (await reader.call("config"))[:2] == (503, 2)
        store.refusal_status = None
        assert (await reader.call("config/none"))[:2] == (404, 2)
        status, era, document = await reader.call("config/main")
        assert (status, era, document["spec"]) == (200, 2, {"version": 1})

    run_with_store(run, script)


# Guards against a stand-in that remembers what was written after the copy.
def test_revisions_are_given_out_again(run: Run) -> None:
    async def script(store: StoreStandin, reader: StoreReader) -> None:
        store.put("config", "main", {"version": 1})
        copy = store.copy()
        store.put("config", "main", {"version": 2})
        old = store.revision
        store.restore(copy)
        assert (await reader.call(f"config?watch={old}&wait_ms=10"))[:2] == (410, 2)
        store.put("servers", "p", {"seq": 1})
        assert store.revision == old
        status, _, batch = await reader.call(f"config?watch={old}&wait_ms=10")
        assert (status, batch["events"]) == (200, [])

    run_with_store(run, script)


# Guards against a stand-in whose revision a repeated write raises.
def test_put_without_change_leaves_the_revision(run: Run) -> None:
    async def script(store: StoreStandin, reader: StoreReader) -> None:
        store.put("config", "main", {"version": 1})
        store.put("servers", "p", {"state": "ready", "seq": 1})
        revision = store.revision
        await reader.call("config/main", "PUT", {"version": 1})
        store.put("servers", "p", {"state": "ready", "seq": 2})
        assert store.revision == revision

    run_with_store(run, script)


# Guards against a stand-in that lets a watch wait on in an era that has ended.
@pytest.mark.parametrize("cut_watches", [True, False])
def test_waiting_watch_is_cut_or_answered_by_the_new_era(
    run: Run, cut_watches: bool
) -> None:
    async def script(store: StoreStandin, reader: StoreReader) -> None:
        copy = store.copy()
        store.put("config", "main", {"version": 2})
        target = f"config?watch={store.revision}&wait_ms=5000"
        watch = asyncio.ensure_future(reader.call(target))
        await asyncio.sleep(0.1)
        store.restore(copy, cut_watches=cut_watches)
        if cut_watches:
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await watch
        else:
            assert (await watch)[:2] == (410, 2)

    run_with_store(run, script)


# Guards against a late answer that names the new era.
def test_held_answer_is_of_the_era_that_made_it(run: Run) -> None:
    async def script(store: StoreStandin, reader: StoreReader) -> None:
        copy = store.copy()
        store.put("config", "main", {"version": 2})
        store.hold_answers(lambda request: True)
        late = asyncio.ensure_future(reader.call("config/main"))
        async with asyncio.timeout(5):
            while not store.held_count:
                await asyncio.sleep(0.01)
        store.restore(copy)
        store.release_answers()
        assert (await late)[:2] == (200, 1)
        assert (await reader.call("config/main"))[:2] == (404, 2)

    run_with_store(run, script)
