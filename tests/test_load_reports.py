"""Test packed load reports and the demand that planners derive from them."""

from dataclasses import replace

from hypothesis import given, strategies as st

from bramleyport.core import EngineLoad, Rank, UpstreamId
from bramleyport.planning import DemandMeter
from bramleyport.wire import LoadReport, encode, pack_load, unpack_load

COUNT = st.integers(0, 10**9)
LOADS = st.builds(
    EngineLoad,
    taken_s=st.just(100.0),
    running=COUNT,
    queued=COUNT,
    queued_prefill_tokens=COUNT,
    running_decode_tokens=COUNT,
    blocks_used=COUNT,
    blocks_total=COUNT,
    wait_s=st.fixed_dictionaries(
        {rank: st.integers(0, 10**6).map(lambda ms: ms / 1000) for rank in Rank}
    ),
    offered_prefill_ms=COUNT,
    offered_decode_ms=COUNT,
    offered_short_ms=COUNT,
)


@given(LOADS)
def test_packed_load_is_unpacked_unchanged(load: EngineLoad) -> None:
    assert unpack_load(pack_load(load, 101.0), 101.0) == load


@given(st.lists(COUNT, max_size=20))
def test_report_of_another_version_is_read(values: list[int]) -> None:
    load = unpack_load(LoadReport(values=tuple(values)), 0.0)
    assert load.running == (values[1] if len(values) > 1 else 0)


def test_infinite_wait_is_bounded() -> None:
    load = EngineLoad(wait_s={Rank.BATCH: float("inf")})
    assert unpack_load(pack_load(load, 0.0), 0.0).wait_s[Rank.BATCH] == 86_400.0


def test_report_is_small() -> None:
    load = EngineLoad(
        taken_s=1.0,
        running=32,
        queued=1000,
        queued_prefill_tokens=10**6,
        running_decode_tokens=10**5,
        blocks_used=9000,
        blocks_total=9999,
        wait_s=dict.fromkeys(Rank, 60.0),
        offered_prefill_ms=10**9,
        offered_decode_ms=10**9,
        offered_short_ms=10**9,
    )
    assert len(encode(pack_load(load, 2.0))) <= 80


A, B = UpstreamId("a"), UpstreamId("b")


def test_demand_is_the_increase_of_the_totals() -> None:
    meter = DemandMeter()
    load = EngineLoad(offered_prefill_ms=5000, offered_decode_ms=9000)
    meter.read({A: load}, 0.0)
    grown = replace(load, offered_prefill_ms=15_000, offered_decode_ms=29_000)
    (sample,) = meter.read({A: grown}, 10.0)
    assert (sample.prefill_s_per_s, sample.decode_s_per_s) == (1.0, 2.0)


def test_restarted_or_new_agent_adds_no_demand() -> None:
    meter = DemandMeter()
    meter.read({A: EngineLoad(offered_prefill_ms=5000)}, 0.0)
    loads = {A: EngineLoad(), B: EngineLoad(offered_prefill_ms=90_000)}
    (sample,) = meter.read(loads, 10.0)
    assert sample.prefill_s_per_s == 0.0
