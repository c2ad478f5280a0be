"""Guard that gateways lose nothing while the store comes back from an old copy."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from result import Err

from bramleyport.fleet import TraitId, Verdict
from bramleyport.platform import StoreError, StoreFailure
from tests.platform_standin import RawRequest
from tests.restored_group import (
    CALLS_PER_S,
    CONFIG_LIMIT_S,
    DRAIN_LIMIT_S,
    SETTLED_S,
    UPSTREAMS,
    RestoredGroup,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]
ALL_UPSTREAMS = (*UPSTREAMS, "p8", "p9")
# An upstream writes its entry once in this time; it expires without three such writes.
HEARTBEAT_S = 1.2
EXPIRY_HEARTBEATS = 3
# Fewer than eight gateways watch the store themselves; of more, a few do so for all.
own_and_shared_watches = pytest.mark.parametrize(
    "gateways", [3, 9], ids=["own watches", "shared watches"]
)


def run_group(
    run: Run,
    folder: Path,
    gateways: int,
    script: Callable[[RestoredGroup], Coroutine[Any, Any, None]],
    *,
    names_era: bool = True,
) -> None:
    async def whole() -> None:
        group = RestoredGroup(folder, gateways)
        group.store.names_era = names_era
        try:
            await group.start()
            await script(group)
        finally:
            await group.stop()

    run(whole())


async def change_after_copy(group: RestoredGroup) -> None:
    """Raise the revision by three: a configuration, one upstream gone and one new."""
    group.write_config(2, "second")
    group.store.delete("servers", "p0")
    await group.add_upstream("p9")
    await group.wait_for_version(2)
    await group.wait_for_ready("p1", "p2", "p9")


def write_again(group: RestoredGroup, version: int) -> None:
    """Write again what was lost, after changes that nothing has shown yet.

    The changes take the revisions that the lost ones had.
    """
    group.write_config(version, "newest")
    group.store.delete("servers", "p1")
    group.get("p8").register(group.store)
    if ("servers", "p0") in group.store.objects:
        group.store.delete("servers", "p0")
    group.get("p9").register(group.store)


async def check_newest_state(group: RestoredGroup) -> None:
    """Check that all gateways route by the newest configuration and registrations."""
    await asyncio.sleep(SETTLED_S)
    settled_s = time.monotonic()
    assert set((await group.call_all("/newest/x")).values()) == {200}
    group.statuses.clear()
    await group.send_calls(1.0, CALLS_PER_S, "/newest/x")
    assert set(group.statuses) == {200}
    calls = {
        item.name: group.count_calls(item.name, settled_s) for item in group.upstreams
    }
    assert calls["p0"] == calls["p1"] == 0
    assert min(calls["p2"], calls["p8"], calls["p9"]) > 0


# Guards against gateways that watch the new history from a revision of the old one, or
# take updates on the new one as older than what they know.
@own_and_shared_watches
@pytest.mark.parametrize("cut_watches", [True, False], ids=["cut", "answered"])
def test_what_is_written_again_at_once_comes_into_force(
    run: Run, tmp_path: Path, gateways: int, cut_watches: bool
) -> None:
    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        await change_after_copy(group)
        await group.start_unregistered_upstream("p8")
        group.store.restore(copy, cut_watches=cut_watches)
        write_again(group, 3)
        await check_newest_state(group)

    run_group(run, tmp_path, gateways, script)


# Guards against gateways that know the era only of a call that they made by themselves.
@own_and_shared_watches
def test_what_is_written_again_after_an_outage_comes_into_force(
    run: Run, tmp_path: Path, gateways: int
) -> None:
    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        await change_after_copy(group)
        await group.start_unregistered_upstream("p8")
        await group.store.restore_after_outage(copy, 1.5)
        write_again(group, 3)
        await check_newest_state(group)

    run_group(run, tmp_path, gateways, script)


# Guards against gateways that follow the first of two restored stores and not the next.
@own_and_shared_watches
def test_store_restored_twice_in_a_second_is_followed(
    run: Run, tmp_path: Path, gateways: int
) -> None:
    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        await change_after_copy(group)
        await group.start_unregistered_upstream("p8")
        group.store.restore(copy)
        write_again(group, 3)
        await asyncio.sleep(1.0)
        group.store.restore(copy)
        write_again(group, 4)
        await check_newest_state(group)

    run_group(run, tmp_path, gateways, script)


# Guards against an answer that a store made before it was restored and that arrives
# afterwards: its revision is one that the new era has not given out yet, or given to
# another state.
@pytest.mark.parametrize("kind", ["config", "servers"])
def test_late_answer_of_an_ended_era_changes_nothing(
    run: Run, tmp_path: Path, kind: str
) -> None:
    def is_watch(request: RawRequest) -> bool:
        return f"/{kind}?watch" in request.target

    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        await group.start_unregistered_upstream("p8")
        group.store.hold_answers(is_watch)
        group.write_config(2, "second")
        group.store.delete("servers", "p0")
        await group.add_upstream("p9")
        await group.wait_for(lambda: group.store.held_count >= 3)
        group.store.restore(copy)
        write_again(group, 3)
        await asyncio.sleep(0.3)
        group.store.release_answers()
        await check_newest_state(group)

    run_group(run, tmp_path, 3, script)


# Guards against a copy that makes an upstream ready again that drains or has left.
@own_and_shared_watches
@pytest.mark.parametrize("leaving", ["draining", "removed"])
def test_copy_takes_back_no_leaving_upstream(
    run: Run, tmp_path: Path, gateways: int, leaving: str
) -> None:
    def leave(group: RestoredGroup) -> None:
        if leaving == "draining":
            group.get("p0").register(group.store, state="draining")
        else:
            group.store.delete("servers", "p0")

    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        leave(group)
        acknowledged_s = time.monotonic()
        await group.wait_for_ready("p1", "p2")
        group.store.restore(copy)
        await group.send_calls(5.0, CALLS_PER_S, "/read/x")
        leave(group)
        await group.send_calls(1.0, CALLS_PER_S, "/read/x")
        assert group.count_calls("p0", acknowledged_s + DRAIN_LIMIT_S) == 0
        assert group.count_calls("p1", acknowledged_s + DRAIN_LIMIT_S) > 0

    run_group(run, tmp_path, gateways, script)


# Guards against gateways that keep an upstream out although a later process has started
# under its id.
@own_and_shared_watches
def test_upstream_that_starts_again_is_used_after_a_restored_store(
    run: Run, tmp_path: Path, gateways: int
) -> None:
    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        upstream = group.get("p0")
        upstream.register(group.store, state="draining")
        await group.wait_for_ready("p1", "p2")
        group.store.restore(copy)
        upstream.born_ms += 5_000
        upstream.register(group.store)
        await asyncio.sleep(SETTLED_S)
        settled_s = time.monotonic()
        await group.send_calls(1.0, CALLS_PER_S, "/read/x")
        assert group.count_calls("p0", settled_s) > 0

    run_group(run, tmp_path, gateways, script)


# Guards against an upstream that is out for good because its entry had expired before
# the store was restored: it is alive, and what it writes changes only its counter, of
# which no watch tells.
@own_and_shared_watches
def test_upstream_whose_entry_had_expired_is_used_from_the_copy(
    run: Run, tmp_path: Path, gateways: int
) -> None:
    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        group.store.delete("servers", "p0")
        await group.wait_for_ready("p1", "p2")
        group.store.restore(copy)
        for _ in range(EXPIRY_HEARTBEATS + 1):
            group.get("p0").register(group.store)
            await asyncio.sleep(HEARTBEAT_S)
        await asyncio.sleep(SETTLED_S)
        settled_s = time.monotonic()
        await group.send_calls(1.0, CALLS_PER_S, "/read/x")
        assert group.count_calls("p0", settled_s) > 0

    run_group(run, tmp_path, gateways, script)


# Guards against a copy that takes back a configuration that gateways have.
@own_and_shared_watches
def test_copy_takes_back_no_configuration(
    run: Run, tmp_path: Path, gateways: int
) -> None:
    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        group.write_config(2, "newest")
        await group.wait_for_version(2)
        group.store.restore(copy)
        assert await group.watch_statuses("/newest/x", SETTLED_S) == {200}

    run_group(run, tmp_path, gateways, script)


# Guards against a gateway that starts from the copy while all others have a newer
# configuration, which the operator has not written again yet.
@own_and_shared_watches
def test_gateway_that_starts_beside_others_gets_their_configuration(
    run: Run, tmp_path: Path, gateways: int
) -> None:
    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        group.write_config(2, "newest")
        await group.wait_for_version(2)
        group.store.restore(copy)
        await group.start_gateway("late")
        await asyncio.sleep(CONFIG_LIMIT_S)
        assert await group.watch_statuses("/newest/x", 1.0) == {200}

    run_group(run, tmp_path, gateways, script)


# Guards against a gateway that drops what the others tell it of the new era, because it
# can't read the store itself.
def test_gateway_without_the_store_follows_the_new_era_by_others(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def refuse(step: str, request: Any, timeout_s: float) -> Any:
        error = StoreError(failure=StoreFailure.REFUSED, step=step, reason="429")
        return Err(error)

    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        group.write_config(2, "second")
        await group.wait_for_version(2)
        group.store.restore(copy)
        gateway = next(
            gateway
            for gateway in group.gateways.values()
            if not gateway._peers.is_store_watcher()
        )
        monkeypatch.setattr(gateway._store, "_exchange", refuse)
        await asyncio.sleep(0.5)
        group.write_config(3, "newest")
        await asyncio.sleep(SETTLED_S)
        assert set((await group.call_all("/newest/x")).values()) == {200}

    run_group(run, tmp_path, 9, script)


# Guards against gateways that follow no changes of a store that names no era.
@own_and_shared_watches
def test_store_that_names_no_era_is_followed(
    run: Run, tmp_path: Path, gateways: int
) -> None:
    async def script(group: RestoredGroup) -> None:
        await change_after_copy(group)
        await group.start_unregistered_upstream("p8")
        group.store.discard_history()
        group.store.reset_connections()
        write_again(group, 3)
        await check_newest_state(group)

    run_group(run, tmp_path, gateways, script, names_era=False)


# Guards against gateways that each call the store for ever after it was restored,
# because they wait for a revision of the old era.
def test_gateways_that_do_not_watch_make_no_calls_after_a_restored_store(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls: Counter[str] = Counter()

    def count_calls(name: str, store: Any) -> None:
        exchange = store._exchange

        async def count(step: str, request: Any, timeout_s: float) -> Any:
            if b"/config" in request.target or b"/servers" in request.target:
                calls[name] += 1
            return await exchange(step, request, timeout_s)

        monkeypatch.setattr(store, "_exchange", count)

    async def script(group: RestoredGroup) -> None:
        for name, gateway in group.gateways.items():
            count_calls(name, gateway._store)
        copy = group.store.copy()
        for version in range(2, 8):
            group.write_config(version, "newest")
            await group.wait_for_version(version)
        group.store.restore(copy)
        group.write_config(7, "newest")
        await asyncio.sleep(SETTLED_S)
        calls.clear()
        await asyncio.sleep(4.0)
        watchers = {
            name
            for name, gateway in group.gateways.items()
            if gateway._peers.is_store_watcher()
        }
        assert 0 < len(watchers) < len(group.gateways)
        assert set(calls) == watchers

    run_group(run, tmp_path, 9, script)


# Guards against gateways that are missing in the list of all once a copy lacks them, so
# that gateways that start later never hear from them.
def test_entry_that_a_copy_lacks_is_written_again(run: Run, tmp_path: Path) -> None:
    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        await group.start_gateway("late")
        entry = ("gateways", "late")
        await group.wait_for(lambda: entry in group.store.objects)
        group.store.restore(copy)
        await group.wait_for(lambda: entry in group.store.objects)

    run_group(run, tmp_path, 2, script)


PART = TraitId("dead")
VERDICT = Verdict(trait=PART, companions=frozenset((PART,)), crashes=5)


def is_withheld(gateway: Any) -> bool:
    return any(item.trait == PART for item in gateway.state.crash_evidence.verdicts)


def count_withholding(group: RestoredGroup) -> int:
    return sum(is_withheld(gateway) for gateway in group.gateways.values())


def is_stored(group: RestoredGroup) -> bool:
    return any(kind == "verdicts" for kind, _ in group.store.objects)


async def withhold_everywhere(group: RestoredGroup) -> None:
    """Let one gateway blame a part, and wait until the others know it by the store."""
    gateway = group.gateways["g0"]
    gateway.state.crash_evidence.apply_verdict(VERDICT)
    gateway._verdicts.write(VERDICT)
    await group.wait_for(lambda: count_withholding(group) == len(group.gateways))


# Guards against prompts that crash engines again because a copy lacks their verdict.
def test_verdict_that_a_copy_lacks_is_written_again(run: Run, tmp_path: Path) -> None:
    async def script(group: RestoredGroup) -> None:
        copy = group.store.copy()
        await withhold_everywhere(group)
        group.store.restore(copy)
        end_s = time.monotonic() + SETTLED_S
        while time.monotonic() < end_s:
            assert count_withholding(group) == len(group.gateways)
            await asyncio.sleep(0.01)
        assert is_stored(group)

    run_group(run, tmp_path, 3, script)


# Guards against a part that proved harmless and is withheld again because a copy still
# has its verdict.
def test_verdict_that_was_released_is_not_taken_back(run: Run, tmp_path: Path) -> None:
    async def script(group: RestoredGroup) -> None:
        await withhold_everywhere(group)
        copy = group.store.copy()
        gateway = group.gateways["g0"]
        gateway.state.crash_evidence.release(PART)
        gateway._verdicts.remove(PART)
        await group.wait_for(lambda: count_withholding(group) == 0)
        await group.wait_for(lambda: not is_stored(group))
        group.store.restore(copy)
        await asyncio.sleep(SETTLED_S)
        assert count_withholding(group) == 0
        assert not is_stored(group)

    run_group(run, tmp_path, 3, script)
