"""Test the choice of upstreams by prefixes, queues and the state of upstreams."""

import pytest

from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet import Repeatability, Stage
from tests.fleet_builders import (
    ENGINE,
    PLAIN,
    FleetModel,
    make_call,
    make_engine,
    make_prompt,
    make_route,
)

LONG = make_prompt(("shared", 13_000), ("own", 4_000))
SHORT = make_prompt(("short", 150), ("own-short", 250))


def test_cached_prefix_outweighs_an_idle_engine() -> None:
    # Computing a shared prefix again would delay every call behind it.
    fleet = FleetModel(make_engine("cold"), make_engine("warm"))
    fleet.prefixes.add(UpstreamId("warm"), LONG.parts[:1], 500_000)
    fleet.prefixes.confirm(UpstreamId("warm"), LONG.parts[:1])
    choice = fleet.chooser.choose(make_call(LONG), ENGINE, (), 0.0)
    assert choice is not None
    assert choice.upstream.upstream == "warm"
    assert choice.prefill_tokens == 4_000


def test_prefix_is_fetched_when_its_holder_is_busy() -> None:
    fleet = FleetModel(make_engine("free"), make_engine("busy"))
    fleet.prefixes.add(UpstreamId("busy"), LONG.parts[:1], 500_000)
    fleet.prefixes.confirm(UpstreamId("busy"), LONG.parts[:1])
    fleet.send("busy", prefill_s=3.0)
    choice = fleet.chooser.choose(make_call(LONG), ENGINE, (), 0.0)
    assert choice is not None
    assert choice.upstream.upstream == "free"
    assert choice.prefix_source is not None
    assert choice.prefix_source.upstream == "busy"
    assert choice.prefill_tokens == 4_000


def test_prefix_in_prefill_is_not_fetched() -> None:
    # The engine that has the prefix in its queue has nothing to send yet.
    fleet = FleetModel(make_engine("free"), make_engine("prefilling"))
    fleet.send("prefilling", prefill_s=9.0, prompt=LONG)
    choice = fleet.chooser.choose(make_call(LONG), ENGINE, (), 0.0)
    assert choice is not None
    assert choice.upstream.upstream == "free"
    assert choice.prefix_source is None


def test_prefix_is_fetched_from_a_prefill_engine() -> None:
    # The retry of a broken stream computed the whole prompt again and delayed all calls
    # on its engine.
    fleet = FleetModel(make_engine("d"), make_engine("p", Stage.PREFILL))
    fleet.prefixes.add(UpstreamId("p"), LONG.parts, 500_000)
    fleet.prefixes.confirm(UpstreamId("p"), LONG.parts)
    choice = fleet.chooser.choose(make_call(LONG), ENGINE, (), 0.0, may_split=False)
    assert choice is not None
    assert choice.prefill is None
    assert choice.prefix_source is not None
    assert choice.prefix_source.upstream == "p"
    assert choice.prefill_tokens == 0


def test_long_prompt_is_split_to_a_prefill_engine() -> None:
    fleet = FleetModel(make_engine("d"), make_engine("p", Stage.PREFILL))
    choice = fleet.chooser.choose(make_call(LONG), ENGINE, (), 0.0)
    assert choice is not None
    assert choice.prefill is not None
    assert (choice.prefill.upstream, choice.upstream.upstream) == ("p", "d")


def test_short_prompt_is_prefilled_where_it_decodes() -> None:
    fleet = FleetModel(make_engine("d"), make_engine("p", Stage.PREFILL))
    choice = fleet.chooser.choose(make_call(SHORT), ENGINE, (), 0.0)
    assert choice is not None
    assert choice.prefill is None


def test_split_counts_the_queue_of_the_decode_engine() -> None:
    # The last prompt token waits for the prompts that the decode engine prefills.
    fleet = FleetModel(make_engine("d"), make_engine("p", Stage.PREFILL))
    fleet.send("d", prefill_s=2.0)
    choice = fleet.chooser.choose(make_call(LONG), ENGINE, (), 0.0)
    assert choice is not None
    assert choice.forecast_s >= 2.0


def test_flood_of_low_priority_delays_urgent_forecasts_by_one_prompt() -> None:
    # An engine prefills the prompt that it has begun to its end. Urgent prompts that
    # were forecast to wait for none all went to the engines with the longest prompts.
    fleet = FleetModel(make_engine("d"))
    for number in range(50):
        fleet.send("d", request=f"w{number}", prefill_s=0.2, priority=2)
    urgent = fleet.chooser.choose(make_call(SHORT), ENGINE, (), 0.0)
    late_route = make_route(priority=2)
    late = fleet.chooser.choose(make_call(SHORT, route=late_route), ENGINE, (), 0.0)
    assert urgent is not None
    assert late is not None
    assert urgent.wait_s == pytest.approx(0.2)
    assert late.wait_s > 5.0


def test_urgent_prompt_goes_where_it_overtakes_no_others() -> None:
    """Guards against urgent prompts that each delay a whole queue."""
    fleet = FleetModel(make_engine("a"), make_engine("b"))
    for number in range(6):
        fleet.send("a", request=f"w{number}", prefill_s=0.001, priority=2)
    fleet.send("b", prefill_s=0.015)
    prompt = make_prompt(("own", 400))
    choice = fleet.chooser.choose(make_call(prompt), ENGINE, (), 0.0)
    assert choice is not None
    assert choice.upstream.upstream == "b"


def test_calls_wait_for_a_slot_once_engines_are_full() -> None:
    # Two of three engines failed in a burst of calls of the lowest priority. The third
    # got all calls though its slots were full, and most calls timed out.
    fleet = FleetModel(make_engine("d"))
    late_route = make_route(priority=2)
    for number in range(160):
        fleet.send("d", request=f"w{number}", priority=2)
        fleet.loads.of(UpstreamId("d")).finish_prefill(RequestId(f"w{number}"), 0.0)
    late = make_call(SHORT, route=late_route)
    fleet.decode_times.record(late, 2.0)
    choice = fleet.chooser.choose(late, ENGINE, (), 0.0)
    urgent = fleet.chooser.choose(make_call(SHORT), ENGINE, (), 0.0)
    assert choice is not None
    assert urgent is not None
    assert choice.forecast_s == pytest.approx(97 * 2.0 / 64, rel=0.05)
    assert choice.decode_s == 2.0
    assert urgent.forecast_s < 0.1


def test_decode_time_counts_only_on_a_crowded_engine() -> None:
    # Half of the answers are far shorter than the mean, so rejecting their calls while
    # slots are free would be needless.
    fleet = FleetModel(make_engine("d"))
    call = make_call(SHORT)
    fleet.decode_times.record(call, 2.0)
    free = fleet.chooser.choose(call, ENGINE, (), 0.0)
    for number in range(32):
        fleet.send("d", request=f"w{number}")
    crowded = fleet.chooser.choose(call, ENGINE, (), 0.0)
    assert free is not None
    assert crowded is not None
    assert (free.decode_s, crowded.decode_s) == (0.0, 2.0)


def test_prompt_is_split_if_the_decode_engine_has_many_calls() -> None:
    # Prefill delays each call that decodes on the same engine.
    prompt = make_prompt(("shared", 300), ("own", 900))
    fleet = FleetModel(make_engine("d"), make_engine("p", Stage.PREFILL))
    idle = fleet.chooser.choose(make_call(prompt), ENGINE, (), 0.0)
    for number in range(30):
        fleet.send("d", request=f"w{number}")
        fleet.loads.of(UpstreamId("d")).finish_prefill(RequestId(f"w{number}"), 0.0)
    fleet.send("p", prefill_s=0.1)
    busy = fleet.chooser.choose(make_call(prompt), ENGINE, (), 0.0)
    assert idle is not None
    assert busy is not None
    assert busy.prefill is not None


def test_draining_and_excluded_upstreams_get_nothing() -> None:
    fleet = FleetModel(
        make_engine("leaving", draining=True), make_engine("failed"), make_engine("ok")
    )
    choice = fleet.chooser.choose(make_call(SHORT), ENGINE, {UpstreamId("failed")}, 0.0)
    assert choice is not None
    assert choice.upstream.upstream == "ok"


def test_no_decoder_means_no_choice() -> None:
    fleet = FleetModel(make_engine("p", Stage.PREFILL))
    assert fleet.chooser.choose(make_call(LONG), ENGINE, (), 0.0) is None


def test_transfer_avoids_an_engine_that_began_to_drain() -> None:
    # The target had been chosen before prefill, so a draining engine got the call and
    # the check DRAIN failed.
    fleet = FleetModel(make_engine("d1"), make_engine("d2"))
    fleet.members.put(make_engine("d1", draining=True))
    source = make_engine("p", Stage.PREFILL)
    transfer = fleet.chooser.choose_transfer(make_call(LONG), ENGINE, source, (), 0.0)
    assert transfer is not None
    assert transfer.target.upstream == "d2"


def test_transfers_spread_over_links_in_a_flood() -> None:
    # While the other engines prefilled short prompts, all transfers used one link.
    names = [f"d{number}" for number in range(4)]
    fleet = FleetModel(*(make_engine(name) for name in names))
    source = make_engine("p", Stage.PREFILL)
    for name in names[1:]:
        fleet.send(name, prefill_s=0.06)
    targets = set()
    for number in range(12):
        call = make_call(LONG, request=f"r{number}")
        transfer = fleet.chooser.choose_transfer(call, ENGINE, source, (), 0.0)
        assert transfer is not None
        targets.add(transfer.target.upstream)
        fleet.send(
            transfer.target.upstream, prefill_s=0.0, transfer_s=transfer.transfer_s
        )
    assert len(targets) == 4


def test_transfer_waits_for_earlier_transfers() -> None:
    fleet = FleetModel(make_engine("d"), make_engine("p", Stage.PREFILL))
    free = fleet.chooser.choose(make_call(LONG), ENGINE, (), 0.0)
    fleet.send("d", prefill_s=0.0, transfer_s=5.0)
    busy = fleet.chooser.choose(make_call(LONG), ENGINE, (), 0.0)
    assert free is not None
    assert busy is not None
    assert free.prefill is not None
    assert busy.prefill is None or busy.forecast_s > 5.0


def test_plain_call_goes_to_the_least_loaded_and_nearest() -> None:
    fleet = FleetModel(
        make_engine("far", None, zone="b", service=PLAIN),
        make_engine("near", None, service=PLAIN),
    )
    route = make_route(Repeatability.IDEMPOTENT, service=PLAIN)
    first = fleet.chooser.choose(make_call(route=route), None, (), 0.0)
    assert first is not None
    assert first.upstream.upstream == "near"
    for number in range(5):
        fleet.send("near", request=f"w{number}")
    second = fleet.chooser.choose(make_call(route=route), None, (), 0.0)
    assert second is not None
    assert second.upstream.upstream == "far"
