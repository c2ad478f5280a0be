"""Test that gateways with stale information spread their calls evenly."""

from dataclasses import replace
from random import Random

import pytest

from bramleyport.core import ProcessId, RequestId, ServiceName, UpstreamId
from bramleyport.fleet import (
    Choice,
    Chooser,
    EvenLoad,
    Prompt,
    Registration,
    Repeatability,
    Stage,
    UnseenLoad,
    Work,
)
from bramleyport.fleet._even_load import assign, find_level
from bramleyport.fleet._unseen_load import find_group
from tests.fleet_builders import (
    ENGINE,
    PLACE,
    PLAIN,
    FleetModel,
    make_call,
    make_engine,
    make_prompt,
    make_route,
)
from tests.stale_load_model import Scenario, StaleLoadModel

OWN = ProcessId("g1")
PROMPT = make_prompt(("own", 2_000))
# Share of prompt tokens by which runs differ that evict other prefixes by chance.
CACHED_TOLERANCE = 0.001


class SpreadFleet(FleetModel):
    """Represent one of several gateways, with unseen work of its peers."""

    def __init__(
        self, *upstreams: Registration, gateways: int = 3, seed: int = 1
    ) -> None:
        super().__init__(*upstreams)
        self.unseen = UnseenLoad(OWN)
        self.chooser = Chooser(
            PLACE,
            self.members,
            self.loads,
            self.prefixes,
            self.speeds,
            self.decode_times,
            EvenLoad(OWN, self.members, self.unseen, Random(seed), lambda: gateways),
        )

    def hear(self, upstream: Registration, calls: int, prefill_s: float = 0.05) -> None:
        for number in range(calls):
            work = Work(
                request=RequestId(f"h{number}"),
                upstream=upstream.upstream,
                priority=0,
                prefill_s=prefill_s,
                started_s=0.0,
                origin=f"g{2 + number % 20}",
            )
            self.unseen.record_work(work, upstream)

    def choose_many(
        self, prompt: Prompt = PROMPT, *, plain: bool = False, limited: str = ""
    ) -> list[Choice]:
        route = make_route(Repeatability.IDEMPOTENT, service=PLAIN)
        call = make_call(route=route) if plain else make_call(prompt)
        found = [
            self.chooser.choose(call, ENGINE, (), 0.0, limited={UpstreamId(limited)})
            for _ in range(40)
        ]
        return [choice for choice in found if choice is not None]


def list_targets(choices: list[Choice]) -> set[str]:
    return {choice.upstream.upstream for choice in choices}


@pytest.mark.parametrize("gateways", [3, 30, 300])
def test_queues_are_near_those_of_full_knowledge(gateways: int) -> None:
    full = StaleLoadModel(Scenario(age_s=0.0)).run()
    for age_s in (0.0, 0.025, 0.1, 0.4):
        found = StaleLoadModel(Scenario(age_s=age_s, gateways=gateways)).run()
        assert found.p99_wait_s <= 1.2 * full.p99_wait_s, age_s


def test_queues_are_near_those_of_full_knowledge_as_updates_are_paced() -> None:
    # Updates on long prompts are sent at once.
    full = StaleLoadModel(Scenario(age_s=0.0, use=0.9)).run()
    scenario = Scenario(age_s=0.025, long_age_s=0.005, gateways=3, use=0.9)
    found = StaleLoadModel(scenario).run()
    assert found.p99_wait_s <= 1.2 * full.p99_wait_s


@pytest.mark.parametrize(("use", "age_s", "gateways"), [(0.7, 0.1, 3), (0.9, 0.4, 30)])
def test_queues_are_shorter_and_prefixes_are_found_as_often(
    use: float, age_s: float, gateways: int
) -> None:
    # All gateways sent to the engine that seemed least loaded until news arrived.
    results = [
        StaleLoadModel(
            Scenario(age_s=age_s, gateways=gateways, use=use, even=even, calls=3_000)
        ).run()
        for even in (False, True)
    ]
    lowest, even = results
    assert even.p99_wait_s < lowest.p99_wait_s
    assert even.regret_s < lowest.regret_s
    assert even.cached >= lowest.cached - CACHED_TOLERANCE


def make_upstreams(*, plain: bool) -> list[Registration]:
    names = [f"u{number}" for number in range(4)]
    if plain:
        return [make_engine(name, None, service=PLAIN) for name in names]
    return [make_engine(name) for name in names]


@pytest.mark.parametrize("plain", [False, True])
def test_calls_spread_only_while_work_of_peers_is_unseen(plain: bool) -> None:
    upstreams = make_upstreams(plain=plain)
    fleet = SpreadFleet(*upstreams)
    first = fleet.choose_many(plain=plain)
    assert list_targets(first) == {"u0"}
    assert "spread" not in first[0].explanation.numbers
    fleet.hear(upstreams[0], 200)
    choices = fleet.choose_many(plain=plain)
    assert len(list_targets(choices)) == 4
    assert {choice.explanation.numbers["spread"] for choice in choices} == {4.0}


@pytest.mark.parametrize("plain", [False, True])
def test_a_single_gateway_keeps_its_choices(plain: bool) -> None:
    # Work of a gateway that has left is still known for a while.
    upstreams = make_upstreams(plain=plain)
    fleet = SpreadFleet(*upstreams, gateways=1)
    fleet.hear(upstreams[0], 200)
    assert list_targets(fleet.choose_many(plain=plain)) == {"u0"}


def test_upstreams_with_more_load_than_may_be_unseen_get_nothing() -> None:
    upstreams = make_upstreams(plain=False)
    fleet = SpreadFleet(*upstreams)
    fleet.hear(upstreams[0], 200)
    fleet.send("u3", prefill_s=20.0)
    assert list_targets(fleet.choose_many()) == {"u0", "u1", "u2"}


def test_calls_stay_with_the_engine_that_has_their_prefix() -> None:
    # The prefix would be fetched or computed at each engine, and evict others.
    upstreams = make_upstreams(plain=False)
    fleet = SpreadFleet(*upstreams)
    fleet.prefixes.add(UpstreamId("u2"), PROMPT.parts, 500_000)
    fleet.prefixes.confirm(UpstreamId("u2"), PROMPT.parts)
    fleet.hear(upstreams[0], 200)
    assert list_targets(fleet.choose_many()) == {"u2"}


def test_first_uses_of_a_prefix_go_to_one_engine() -> None:
    # Each of the engines would compute it.
    upstreams = make_upstreams(plain=False)
    prompts = [make_prompt((f"s{number}", 3_000), ("own", 500)) for number in range(9)]
    targets = []
    for seed in (1, 2):
        fleet = SpreadFleet(*upstreams, seed=seed)
        fleet.hear(upstreams[0], 200)
        found = [list_targets(fleet.choose_many(prompt)) for prompt in prompts]
        targets.append(found)
    assert targets[0] == targets[1]
    assert all(len(found) == 1 for found in targets[0])
    assert len(set().union(*targets[0])) > 1


def test_engines_with_rate_limits_are_not_chosen_in_place_of_others() -> None:
    upstreams = make_upstreams(plain=False)
    fleet = SpreadFleet(*upstreams)
    fleet.hear(upstreams[0], 200)
    assert list_targets(fleet.choose_many(limited="u3")) == {"u0", "u1", "u2"}


def test_transfers_spread_over_the_engines_that_decode() -> None:
    upstreams = make_upstreams(plain=False)
    fleet = SpreadFleet(*upstreams)
    fleet.hear(upstreams[0], 200)
    source = make_engine("p", Stage.PREFILL)
    found = [
        fleet.chooser.choose_transfer(make_call(PROMPT), ENGINE, source, (), 0.0)
        for _ in range(40)
    ]
    assert len({item.target.upstream for item in found if item}) == 4


def test_each_of_a_few_gateways_gets_its_own_upstreams() -> None:
    # Gateways that take any of the best ones collide; one knows the load of its own.
    names = [UpstreamId(f"u{number}") for number in range(13)]
    shares = [assign(names, rank, 3) for rank in range(3)]
    assert sorted(map(len, shares)) == [4, 4, 5]
    assert set().union(*shares) == set(names)
    assert assign(names, 0, 14) == frozenset()


def test_level_covers_what_the_unseen_work_fills() -> None:
    assert find_level([1.0, 2.0, 9.0], 3.0) == (3.0, [0, 1])
    assert find_level([1.0, 1.0, 9.0], 0.0)[1] == [0, 1]
    assert find_level([5.0, 5.0], 1e-30)[1] == [0, 1]


def test_unseen_work_is_rate_times_delay_of_updates() -> None:
    unseen, upstream = UnseenLoad(OWN), make_engine("u")
    for number in range(1_000):
        now_s = number / 100
        work = Work(
            request=RequestId(f"r{number}"),
            upstream=upstream.upstream,
            priority=0,
            prefill_s=0.02,
            started_s=now_s,
        )
        unseen.record_delay(work.prefill_s, 0.095)
        unseen.record_work(replace(work, origin="g2"), upstream)
    estimate = unseen.estimate(find_group(upstream), 10.0)
    assert estimate.calls == pytest.approx(100 * 0.1, rel=0.05)
    assert estimate.prefill_s == pytest.approx(100 * 0.1 * 0.02, rel=0.05)
    # An idle engine has finished all but the newest call of 20 ms.
    assert estimate.limit_prefill(0.0) == pytest.approx(100 * 0.02 * 0.02, rel=0.05)
    assert estimate.limit_prefill(1.0) == estimate.prefill_s
    assert unseen.estimate(find_group(upstream), 20.0).calls < 0.01


def test_only_gateways_that_send_calls_of_a_service_share_it() -> None:
    """Guards against idle slots that wait for gateways without calls to take them."""
    unseen, upstream = UnseenLoad(OWN), make_engine("u")
    assert unseen.count_senders(upstream.service) == 1
    for number, origin in enumerate(["p1", "p2", "p1", ""]):
        work = Work(
            request=RequestId(f"r{number}"),
            upstream=upstream.upstream,
            priority=0,
            prefill_s=0.1,
            started_s=0.1 * number,
            origin=origin,
        )
        unseen.record_work(work, upstream)
    assert unseen.count_senders(upstream.service) == 3
    assert unseen.count_senders(ServiceName("other")) == 1
