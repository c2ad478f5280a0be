"""Guard client accounts: calls without a valid key run nowhere, and no key leaks."""

import json
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from loguru import logger

from bramleyport.cli._check import check
from bramleyport.core import AccountId
from bramleyport.fleet import AccountIndex, ApiKey, ClientAccount, RankTable
from bramleyport.fleet._ranks import MAX_RANKS
from bramleyport.platform import decode_configuration
from tests.gateway_fleet import GatewayFleet, make_config, make_route
from tests.platform_standin import (
    RawRequest,
    decline,
    lose_answer,
    script_first_request,
)
from tests.test_split_runs import SplitFleet

Run = Callable[[Coroutine[Any, Any, Any]], Any]
KEY = "key-of-north-1"
SECOND_KEY = "key-of-north-2"
OTHER_KEY = "key-of-south"
ACCOUNTS = [
    {"name": "north", "api_keys": [KEY, SECOND_KEY], "priority": 1},
    {"name": "south", "api_keys": [OTHER_KEY]},
]


def make_account_config(version: int = 1, **fields: Any) -> dict[str, Any]:
    config = make_config(version)
    open_route = make_route("open", "/open/", "idempotent", anonymous=True)
    order_route = make_route("order", "/order/", "non_idempotent", timeout_ms=10_000)
    config["routes"] = [*config["routes"], open_route, order_route]
    return config | {"tenants": ACCOUNTS} | fields


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[SplitFleet]:
    fleet = SplitFleet(tmp_path)
    run(start(fleet))
    yield fleet
    run(fleet.stop())


async def start(fleet: GatewayFleet) -> None:
    await fleet.start()
    await apply(fleet, make_account_config(2))


async def apply(fleet: GatewayFleet, config: dict[str, Any]) -> None:
    fleet.store.put("config", "main", config)
    await fleet.wait_for(lambda: fleet.state.version == config["version"])


def list_calls(fleet: GatewayFleet) -> list[RawRequest]:
    """Return the requests of callers that reached an upstream, prefills too."""
    return [
        arrival.request
        for upstream in (*fleet.plain, *fleet.engines)
        for arrival in upstream.arrivals
        if "request-id" in arrival.request.headers
    ]


def test_every_attempt_names_the_account_and_bears_no_key(
    fleet: SplitFleet, run: Run
) -> None:
    fleet.plain[0].script = decline
    fleet.plain[1].script = lose_answer
    for path in ("/read/x", "/post/x", "/open/x"):
        run(fleet.make_caller().call(path, Api_Key=KEY, Tenant="south"))
    run(fleet.call_once(Api_Key=SECOND_KEY, Tenant="south"))
    calls = list_calls(fleet)
    assert any(call.headers.get("stage") == "prefill" for call in calls)
    assert any("kv-source" in call.headers for call in calls)
    assert {call.headers.get("tenant") for call in calls} == {"north"}
    assert not any("api-key" in call.headers for call in calls)
    own = [
        arrival.request
        for upstream in fleet.engines
        for arrival in upstream.arrivals
        if "request-id" not in arrival.request.headers
    ]
    assert not any("tenant" in request.headers for request in own)


@pytest.mark.parametrize("key", [None, "", "no-such-key", f"{KEY} {KEY}", f"x{KEY}"])
def test_request_without_a_known_key_is_answered_401_and_runs_nowhere(
    fleet: SplitFleet, run: Run, key: str | None
) -> None:
    headers = {} if key is None else {"Api_Key": key}
    answer = run(fleet.make_caller().call("/read/x", **headers))
    assert (answer.status, answer.body) == (401, b"unknown_key\n")
    assert list_calls(fleet) == []


def test_two_keys_in_one_request_are_no_key(fleet: SplitFleet, run: Run) -> None:
    headers = {"Api_Key": KEY, "Api-Key": KEY}
    answer = run(fleet.make_caller().call("/read/x", **headers))
    assert answer.status == 401
    assert list_calls(fleet) == []


def test_anonymous_route_needs_no_key_and_passes_on_no_claimed_account(
    fleet: SplitFleet, run: Run
) -> None:
    answer = run(fleet.make_caller().call("/open/x", Tenant="north", Api_Key="bad"))
    assert answer.status == 200
    (call,) = list_calls(fleet)
    assert not {"tenant", "api-key"} & set(call.headers)


def test_path_without_a_route_stays_404(fleet: SplitFleet, run: Run) -> None:
    assert run(fleet.make_caller().call("/nowhere/x")).status == 404


def test_removed_key_is_refused_at_once_and_an_added_one_taken(
    fleet: SplitFleet, run: Run
) -> None:
    run(fleet.make_caller().call("/read/x", Api_Key=KEY))
    changed = [{"name": "north", "api_keys": ["new-key"]}]
    run(apply(fleet, make_account_config(3, tenants=changed)))
    assert run(fleet.make_caller().call("/read/x", Api_Key=KEY)).status == 401
    assert run(fleet.make_caller().call("/read/x", Api_Key="new-key")).status == 200


def test_call_that_waits_when_its_key_is_removed_is_not_sent(
    fleet: SplitFleet, run: Run
) -> None:
    async def remove_key_between_attempts() -> int:
        async def decline_once(upstream: Any, request: Any, writer: Any) -> Any:
            await apply(fleet, make_account_config(3, tenants=ACCOUNTS[1:]))
            return await decline(upstream, request, writer)

        for upstream in fleet.plain:
            upstream.script = decline_once
        headers = {"Api_Key": KEY, "Deadline_Ms": "10000"}
        return (await fleet.make_caller().call("/order/x", **headers)).status

    assert run(remove_key_between_attempts()) == 401
    assert len(list_calls(fleet)) == 1


@pytest.mark.parametrize(
    ("before", "after", "anonymous", "names"),
    [
        # The key was taken away, but the route needs none.
        (ACCOUNTS, ACCOUNTS[1:], True, ["north", None]),
        # The key is valid all the time, and of another account now.
        (ACCOUNTS, [{"name": "west", "api_keys": [KEY]}], False, ["north", "west"]),
        # There were no accounts, so the header was one like others.
        (None, ACCOUNTS, False, ["south", "north"]),
    ],
)
def test_call_that_waits_goes_on_under_what_its_key_names_now(
    fleet: SplitFleet,
    run: Run,
    before: list[Any] | None,
    after: list[Any],
    anonymous: bool,
    names: list[str | None],
) -> None:
    """Guards against a 401 where the key is valid, or none is needed."""

    def make(version: int, tenants: list[Any] | None) -> dict[str, Any]:
        config = make_account_config(version, tenants=tenants)
        config["routes"][-1]["anonymous"] = anonymous
        if tenants is None:
            del config["tenants"]
        return config

    async def change_accounts_between_attempts() -> int:
        async def change(upstream: Any, request: Any, writer: Any) -> Any:
            await apply(fleet, make(4, after))
            return await decline(upstream, request, writer)

        await apply(fleet, make(3, before))
        script_first_request(fleet.plain, change)
        headers = {"Api_Key": KEY, "Tenant": "south", "Deadline_Ms": "10000"}
        return (await fleet.make_caller().call("/order/x", **headers)).status

    assert run(change_accounts_between_attempts()) == 200
    calls = list_calls(fleet)
    assert {call.headers.get("tenant") for call in calls} == set(names)
    assert "api-key" not in {
        name
        for call in calls
        if call.headers.get("tenant") == names[-1]
        for name in call.headers
    }


def test_known_keys_stay_in_force_while_the_store_is_away(
    fleet: SplitFleet, run: Run
) -> None:
    run(fleet.store.stop())
    assert run(fleet.make_caller().call("/read/x", Api_Key=KEY)).status == 200
    assert run(fleet.make_caller().call("/read/x", Api_Key="bad")).status == 401


def test_keys_stand_in_no_log_line(fleet: SplitFleet, run: Run) -> None:
    odd = [*ACCOUNTS, {"name": "odd", "api_keys": KEY}, {"name": 3, "api_keys": [KEY]}]
    shared = [{"name": "east", "api_keys": [OTHER_KEY, "bad\nkey", 5]}]
    lines: list[str] = []
    sink = logger.add(lines.append)
    run(apply(fleet, make_account_config(3, tenants=[*odd, *shared])))
    for key in (KEY, OTHER_KEY, "guessed-key"):
        run(fleet.make_caller().call("/read/x", Api_Key=key))
    logger.remove(sink)
    text = "".join(lines)
    assert "south and east" in text
    for secret in (KEY, OTHER_KEY, "guessed-key", "bad"):
        assert secret not in text


def test_priority_of_an_account_goes_before_that_of_the_route(
    fleet: SplitFleet, run: Run
) -> None:
    run(fleet.call_once(Api_Key=KEY))
    run(fleet.call_once(Api_Key=OTHER_KEY))
    ranks = {
        (call.headers["tenant"], call.headers["request-priority"])
        for call in list_calls(fleet)
    }
    assert ranks == {("north", "1"), ("south", "0")}


def test_without_accounts_no_header_is_touched(fleet: SplitFleet, run: Run) -> None:
    run(apply(fleet, make_config(3)))
    run(fleet.make_caller().call("/read/x", Api_Key="k", Tenant="t"))
    (call,) = list_calls(fleet)
    assert (call.headers["api-key"], call.headers["tenant"]) == ("k", "t")


@pytest.mark.parametrize(
    "odd",
    [None, 5, [], {}, {"name": "x"}, {"name": "a\nb", "api_keys": []}]
    + [{"name": "x", "api_keys": ["k"], "priority": value} for value in (-1, "1", 0.5)],
)
def test_odd_account_costs_nothing_but_itself(odd: Any) -> None:
    config = make_account_config(1, tenants=[odd, *ACCOUNTS])
    accounts = decode_configuration(config).accounts
    assert accounts is not None
    assert len(accounts) == 3
    assert accounts.find(ApiKey("k")) is None


def test_key_of_two_accounts_belongs_to_neither() -> None:
    names = ("a", "b", "c")
    index = AccountIndex(
        ClientAccount(name=AccountId(name), keys=(ApiKey("same"), ApiKey(name)))
        for name in names
    )
    assert index.find(ApiKey("same")) is None
    assert [index.find(ApiKey(name)) is not None for name in names] == [True] * 3
    assert index.problems[0] == "one key is held by a and b"


def test_account_is_represented_without_its_keys() -> None:
    account = ClientAccount(name=AccountId("a"), keys=(ApiKey("secret"),))
    assert "secret" not in repr(account)


def test_check_names_invalid_accounts(tmp_path: Path) -> None:
    path = tmp_path / "main.json"
    path.write_text(json.dumps(make_account_config()))
    assert CliRunner().invoke(check, ["configuration", str(path)]).exit_code == 0
    shared = [*ACCOUNTS, {"name": "east", "api_keys": [KEY]}]
    path.write_text(json.dumps(make_account_config(tenants=shared)))
    result = CliRunner().invoke(check, ["configuration", str(path)])
    assert result.exit_code != 0
    assert "north and east" in result.output
    assert KEY not in result.output


def test_route_orders_the_calls_of_accounts_with_one_priority() -> None:
    """Guards against short urgent calls that wait behind long ones of their account."""
    table = RankTable([1, 1, 0], [0, 1, 2])
    pairs = [(0, 0), (None, 0), (0, 1), (0, 2), (1, 0), (1, 1), (None, 1), (1, 2)]
    ranks = [table.find(account, route) for account, route in pairs]
    assert ranks == sorted(ranks)
    assert table.find(1, 0) < table.find(1, 2) < table.find(None, 2) < MAX_RANKS
    many = RankTable(range(40), range(5))
    assert {many.find(39, 4), many.find(0, 0)} == {MAX_RANKS - 1, 0}


def test_without_priorities_of_accounts_routes_keep_theirs() -> None:
    assert RankTable([], [0, 7]).find(None, 7) == 7
