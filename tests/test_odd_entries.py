"""Guard that one odd entry of another writer costs the other entries nothing.

An entry that was nested too deeply, had a number too large or a port out of range made
gateways stop to follow their lists.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from loguru import logger
from result import Ok

from bramleyport.core import Revision, StoreEra, StoreRevision
from bramleyport.fleet import TraitId
from bramleyport.gateway import _lease, _state_updaters
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._state_updaters import RegistrationUpdater
from bramleyport.gateway._verdict_store import _make_name
from bramleyport.platform import (
    Change,
    ChangeBatch,
    Listing,
    ObjectKind,
    ObjectName,
    StoreClient,
    StoredObject,
    decode_registration,
)
from bramleyport.platform._store import _StoreAnswer
from bramleyport.telemetry import gateway_events
from tests.gateway_fleet import PLAIN, GatewayFleet, make_config, make_route
from tests.platform_standin import ODD_FIELDS, ODD_METADATA, RawJson, UpstreamStandin
from tests.platform_standin._odd_entries import REFUSED_DEPTH, make_nested
from tests.platform_standin._store import render_json

Run = Callable[[Coroutine[Any, Any, Any]], Any]
# Several times what a change takes to come into force.
CHANGE_LIMIT_S = 5.0
NESTED = make_nested(REFUSED_DEPTH)


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    """Provide a fleet that is not started."""
    fleet = GatewayFleet(tmp_path)
    yield fleet
    run(fleet.stop())


def make_upstream(name: str) -> UpstreamStandin:
    """Return an upstream that is registered, but never called."""
    upstream = UpstreamStandin(name, service=PLAIN)
    upstream.port = 9
    return upstream


def list_names(fleet: GatewayFleet) -> set[str]:
    return {item.upstream for item in fleet.state.members.list_all()}


async def check_following(fleet: GatewayFleet, label: str) -> None:
    """Check that an upstream that comes and one that leaves are noticed."""
    came = f"came-{label.replace(' ', '-')}"
    make_upstream(came).register(fleet.store)
    for left in [name for kind, name in fleet.store.objects if name.startswith("came")]:
        if left != came:
            fleet.store.delete("servers", left)

    def is_followed() -> bool:
        return [n for n in list_names(fleet) if n.startswith("came")] == [came]

    try:
        await fleet.wait_for(is_followed, CHANGE_LIMIT_S)
    except TimeoutError:
        raise AssertionError(f"the list is not followed: {label}") from None


async def check_new_route(fleet: GatewayFleet, version: int = 7) -> None:
    """Check that a new route comes into force and is served."""
    added = make_route("added", "/added/", "idempotent")
    config = make_config(version)
    fleet.store.put("config", "main", config | {"routes": [*config["routes"], added]})
    await fleet.wait_for(
        lambda: fleet.state.configuration.version == version, CHANGE_LIMIT_S
    )
    assert (await fleet.make_caller().call("/added/x", method="GET")).status == 200


# Guards running gateways: all of them stopped to follow the list, for good.
def test_odd_registration_costs_no_other_change(fleet: GatewayFleet, run: Run) -> None:
    async def check() -> None:
        await fleet.start()
        for label, fields in ODD_FIELDS.items():
            make_upstream("odd").register(fleet.store, **fields)
            await check_following(fleet, label)
            assert "odd" not in list_names(fleet), label
        await check_new_route(fleet)
        assert len(list_names(fleet)) == 5

    run(check())


def test_odd_metadata_costs_no_other_change(fleet: GatewayFleet, run: Run) -> None:
    async def check() -> None:
        await fleet.start()
        for label, metadata in ODD_METADATA.items():
            item = {"metadata": metadata, "spec": {}}
            fleet.store.put_item("servers", label, item)
            await check_following(fleet, label)
        assert len(list_names(fleet)) == 5

    run(check())


# Guards starts: the gateway served nothing while the odd entries were in the lists.
def test_gateway_starts_beside_odd_entries(fleet: GatewayFleet, run: Run) -> None:
    async def check() -> None:
        for label, fields in ODD_FIELDS.items():
            make_upstream(label.replace(" ", "-")).register(fleet.store, **fields)
        for label, metadata in ODD_METADATA.items():
            item = {"metadata": metadata, "spec": {}}
            fleet.store.put_item("servers", label, item)
        for kind in ("config", "claims", "gateways", "verdicts"):
            fleet.store.put(kind, "odd", NESTED)
        async with asyncio.timeout(CHANGE_LIMIT_S):
            await fleet.start()
        assert len(list_names(fleet)) == 4
        assert (await fleet.make_caller().call("/post/x", body=b"b")).status == 200
        await check_following(fleet, "new")

    run(check())


# Guards the operator's next change: it never came into force.
def test_valid_configuration_follows_an_odd_one(fleet: GatewayFleet, run: Run) -> None:
    async def check() -> None:
        await fleet.start()
        fleet.store.put("config", "main", make_config(5) | {"more": NESTED})
        await asyncio.sleep(0.3)
        assert (await fleet.make_caller().call("/post/x", body=b"b")).status == 200
        await check_new_route(fleet)

    run(check())


# Guards calls: an upstream went on to be used by what its registration had said.
def test_upstream_with_an_odd_registration_is_not_used(
    fleet: GatewayFleet, run: Run
) -> None:
    async def check() -> None:
        await fleet.start()
        odd = fleet.plain[0]
        for relist in (False, True):
            odd.register(fleet.store, models=NESTED)
            if relist:
                fleet.store.discard_history()
            await fleet.wait_for(
                lambda: odd.name not in list_names(fleet), CHANGE_LIMIT_S
            )
            odd.register(fleet.store)
            await fleet.wait_for(lambda: odd.name in list_names(fleet), CHANGE_LIMIT_S)

    run(check())


# Guards the same if the change does not say which upstream it is about.
def test_upstream_with_odd_metadata_is_not_used(fleet: GatewayFleet, run: Run) -> None:
    async def check() -> None:
        await fleet.start()
        odd = fleet.plain[0]
        fleet.store.put_item("servers", odd.name, {"metadata": NESTED, "spec": {}})
        await fleet.wait_for(lambda: odd.name not in list_names(fleet), CHANGE_LIMIT_S)
        odd.register(fleet.store)
        await fleet.wait_for(lambda: odd.name in list_names(fleet), CHANGE_LIMIT_S)

    run(check())


# Guards the window after an outage, in which missing registrations may be renewed.
def test_odd_registration_is_not_used_after_an_outage(
    fleet: GatewayFleet, run: Run
) -> None:
    async def check() -> None:
        await fleet.start()
        updater = RegistrationUpdater(fleet.state, lambda upstream: None)
        fleet.state.members.record_restored(read_now())
        odd = StoredObject(
            name=ObjectName("p0"), revision=Revision(9), document={"state": "odd"}
        )
        updater.apply_listing(Listing(Revision(9), (odd,)))
        assert "p0" not in list_names(fleet)
        assert "p1" in list_names(fleet)

    run(check())


# Guards the other entries of a batch against a fault of the code that applies one.
def test_unexpected_failure_costs_one_entry_only(
    fleet: GatewayFleet,
    run: Run,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail_for_one(name: str, document: Any) -> Any:
        if name == "p0":
            raise KeyError("unexpected")
        return decode_registration(name, document)

    monkeypatch.setattr(_state_updaters, "decode_registration", fail_for_one)

    async def check() -> None:
        for upstream in fleet.plain:
            upstream.port = 9
            upstream.register(fleet.store)
        await fleet.start(registered=False)
        await fleet.wait_for(lambda: list_names(fleet) == {"p1"}, CHANGE_LIMIT_S)
        fleet.plain[0].register(fleet.store, slots=1)
        await check_following(fleet, "new")

    run(check())


# Guards the same for what follows from an object that was decoded.
@pytest.mark.parametrize("listed", [False, True], ids=["watch", "list"])
def test_unexpected_failure_of_a_consequence_costs_one_entry_only(
    fleet: GatewayFleet, run: Run, listed: bool
) -> None:
    def fail_for_one(upstream: str) -> None:
        if upstream == "p0":
            raise KeyError("unexpected")

    async def check() -> None:
        await fleet.start()
        updater = RegistrationUpdater(fleet.state, fail_for_one)
        for upstream in fleet.plain:
            # A restarted process has lost what is known of the earlier one.
            upstream.register(fleet.store, born=upstream.born_ms + 1, slots=1)
        objects = tuple(
            StoredObject(
                name=ObjectName(item["metadata"]["name"]),
                revision=Revision(item["metadata"]["revision"]),
                document=item["spec"],
            )
            for (kind, _), item in fleet.store.objects.items()
            if kind == "servers"
        )
        if listed:
            updater.apply_listing(Listing(Revision(99), objects))
        else:
            changes = tuple(Change(item, removed=False) for item in objects)
            updater.apply_changes(ChangeBatch(Revision(99), changes))
        assert fleet.state.members.find("p1").slots == 1
        assert len(list_names(fleet)) == 4

    run(check())


def test_odd_gateway_entry_costs_no_other(fleet: GatewayFleet, run: Run) -> None:
    async def check() -> None:
        fleet.store.put("gateways", "odd", {"address": NESTED})
        fleet.store.put("gateways", "odd-2", {"address": "127.0.0.1:\u00b2"})
        fleet.store.put("gateways", "g2", {"address": "127.0.0.1:9"})
        await fleet.start()
        await fleet.wait_for(
            lambda: set(fleet.gateway._peers._addresses) == {"g2"}, CHANGE_LIMIT_S
        )

    run(check())


# Guards withheld prompts: an odd verdict hid the ones that were stored after it.
def test_odd_verdict_costs_no_other(fleet: GatewayFleet, run: Run) -> None:
    async def check() -> None:
        await fleet.start()
        verdict = {"part": "a", "companions": ["a"], "crashes": 9, "trials": 0}
        odd: list[Any] = [NESTED, verdict | {"crashes": 10**400}]
        odd += [verdict | {"part": "\ud800"}, verdict | {"companions": ["\ud800"]}]
        odd += [verdict | {"part": RawJson(b"9" * 5_000)}]
        for number, item in enumerate(odd):
            fleet.store.put("verdicts", f"odd-{number}", item)
            part = f"part-{number}"
            stored = {"part": part, "companions": [part], "crashes": 9, "trials": 0}
            fleet.store.put("verdicts", f"v-{number}", stored)
            await fleet.wait_for(
                lambda part=part: any(
                    item.trait == part for item in fleet.state.crash_evidence.verdicts
                ),
                CHANGE_LIMIT_S,
            )

    run(check())


# Guards calls against a deadly prompt whose stored verdict was overwritten.
def test_verdict_that_becomes_odd_stays_in_force(fleet: GatewayFleet, run: Run) -> None:
    verdict = {"part": "a", "companions": ["a"], "crashes": 9, "trials": 0}

    def list_parts() -> set[str]:
        return {item.trait for item in fleet.state.crash_evidence.verdicts}

    async def check() -> None:
        await fleet.start()
        fleet.store.put("verdicts", "v", verdict)
        await fleet.wait_for(lambda: list_parts() == {"a"}, CHANGE_LIMIT_S)
        for number, relist in enumerate((False, True)):
            fleet.store.put("verdicts", "v", NESTED)
            if relist:
                fleet.store.discard_history()
            other = verdict | {"part": f"b{number}", "companions": []}
            fleet.store.put("verdicts", f"other-{number}", other)
            await fleet.wait_for(
                lambda part=other["part"]: part in list_parts(), CHANGE_LIMIT_S
            )
            assert "a" in list_parts()
        # Now not even the name of the object can be read.
        fleet.store.put_item("verdicts", "v", {"metadata": NESTED, "spec": {}})
        fleet.store.put("verdicts", "last", verdict | {"part": "c", "companions": []})
        await fleet.wait_for(lambda: "c" in list_parts(), CHANGE_LIMIT_S)
        await asyncio.sleep(0.3)
        assert "a" in list_parts()
        fleet.store.put("verdicts", "v", verdict)
        fleet.store.delete("verdicts", "v")
        await fleet.wait_for(lambda: "a" not in list_parts(), CHANGE_LIMIT_S)

    run(check())


def make_page(names: list[Any], *, has_more: bool) -> bytes:
    """Return a page of entries; a name that is no string makes its entry odd."""
    items = [
        {"metadata": {"name": name, "revision": 1}, "spec": {}, "status": NESTED}
        for name in names
    ]
    return render_json({"items": items, "has_more": has_more, "current_rev": 9})


# Pages, the names that are found in them, and whether these are all names.
PAGES: list[tuple[list[list[Any]], list[str], bool]] = [
    ([["a", "b"], ["c"]], ["a", "b", "c"], True),
    ([["a", 7], [8, "c"]], ["a", "c"], True),
    ([["a", "\u0663"], ["c"]], ["a", "c"], True),
    # What is on the last page stays unknown, and the upstreams on it are kept.
    ([["a"], ["b"], ["a"], ["c"]], ["a", "b"], False),
    ([["a"], [], [], ["c"]], ["a"], False),
]


# Guards paging: it never ended, or the entries behind an odd one were not read.
def test_pages_are_read_to_the_end(run: Run, monkeypatch: pytest.MonkeyPatch) -> None:
    answers: list[bytes] = []

    async def answer(*_: Any, **__: Any) -> Any:
        body = answers.pop(0) if len(answers) > 1 else answers[0]
        return Ok(_StoreAnswer(StoreEra(2), body))

    async def check(found: list[str], is_complete: bool) -> None:
        async with asyncio.timeout(CHANGE_LIMIT_S):
            listing = await store.list_objects(ObjectKind.REGISTRATIONS)
        assert isinstance(listing, Ok)
        assert listing.ok_value.is_complete is is_complete
        assert sorted(item.name for item in listing.ok_value.objects) == found
        assert listing.ok_value.revision == StoreRevision(StoreEra(2), Revision(9))

    monkeypatch.setattr(StoreClient, "_call", answer)
    store = object.__new__(StoreClient)
    for pages, found, is_complete in PAGES:
        answers[:] = [
            make_page(names, has_more=number < len(pages))
            for number, names in enumerate(pages, 1)
        ]
        run(check(found, is_complete))


# Guards changes of stages: the job ended for good, so that no engine got an order.
def test_odd_lease_does_not_end_its_job(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    reads: list[Any] = []

    def fail(spec: Any) -> Any:
        reads.append(spec)
        raise RecursionError("unexpected")

    monkeypatch.setattr(_lease, "read_lease", fail)

    async def check() -> None:
        fleet.store.put("leases", "stages", {"holder": 1})
        await fleet.start()
        stages = fleet.gateway._stages
        stages._wanted_until_s = float("inf")
        stages._ensure_lease()
        await fleet.wait_for(lambda: len(reads) >= 3, CHANGE_LIMIT_S)
        stages._lease_task.cancel()

    run(check())


# Guards the log: an odd entry was reported each time that it was read.
def test_odd_entry_is_logged_once(fleet: GatewayFleet, run: Run) -> None:
    async def check() -> None:
        await fleet.start()
        for number in range(3):
            make_upstream("odd").register(fleet.store, slots=10**400)
            await check_following(fleet, f"new {number}")

    logged: list[int] = []
    sink = logger.add(lambda m: logged.append(m.record["extra"].get("event", 0)))
    run(check())
    logger.remove(sink)
    assert logged.count(gateway_events.REGISTRATION_INVALID.number) == 1


# Guards against a watch that is repeated for ever, because its answer can't be decoded.
@pytest.mark.parametrize("spec", [b'{"a":', b"]", b'"a'])
def test_following_goes_on_after_an_unbalanced_entry_is_gone(
    fleet: GatewayFleet, run: Run, spec: bytes
) -> None:
    async def check() -> None:
        await fleet.start()
        fleet.store.put("servers", "odd", RawJson(spec))
        await asyncio.sleep(1.5)
        fleet.store.delete("servers", "odd")
        await check_following(fleet, "unbalanced")

    run(check())


# Guards against another writer's object that releases the valid verdict on its part.
def test_second_object_of_a_part_releases_nothing(
    fleet: GatewayFleet, run: Run
) -> None:
    async def check() -> None:
        part = TraitId("5c1e07a2")
        spec = {"part": part, "companions": [], "crashes": 3, "trials": 0}
        fleet.store.put("verdicts", _make_name(part), spec)
        await fleet.start()
        evidence = fleet.state.crash_evidence
        await fleet.wait_for(lambda: evidence.verdicts)
        for crashes in (0, 3):
            fleet.store.put("verdicts", "other", spec | {"crashes": crashes})
            await asyncio.sleep(0.3)
            fleet.store.delete("verdicts", "other")
            await asyncio.sleep(0.5)
        assert [item.trait for item in evidence.verdicts] == [part]
        assert ("verdicts", _make_name(part)) in fleet.store.objects

    run(check())
