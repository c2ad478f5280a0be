"""Test the effect of roles on the modelled engine."""

from bramleyport.core import EngineRole, PrefixBlock
from bramleyport.standins import EngineJob, EngineModel, EngineProfile


def make_model(role: EngineRole) -> EngineModel:
    model = EngineModel(EngineProfile())
    model.role = role
    model.submit(EngineJob(job="stream", prompt_tokens=1, output_tokens=500))
    model.run_step()
    model.submit(EngineJob(job="long", prompt_tokens=8000, output_tokens=1))
    return model


def test_long_prefill_delays_streams_by_role() -> None:
    """If roles had no effect, all plans would score the same."""
    durations = {}
    for role in EngineRole:
        step = make_model(role).run_step()
        assert step is not None
        durations[role] = step.duration_s
    target_s = 0.057
    assert durations[EngineRole.DECODE] < target_s < durations[EngineRole.MIXED]
    assert durations[EngineRole.MIXED] < durations[EngineRole.PREFILL]


def test_role_change_stops_work_and_loses_the_cache() -> None:
    """If a change cost nothing, planners would change roles all the time."""
    model = EngineModel(EngineProfile())
    model.cache.store([PrefixBlock(b"a")])
    model.submit(EngineJob(job="j", prompt_tokens=10, output_tokens=2))
    assert model.begin_role_change(EngineRole.DECODE) == EngineProfile().role_change_s
    assert model.run_step() is None
    assert len(model.cache) == 0
    assert model.role is EngineRole.MIXED
    model.end_role_change()
    assert model.role is EngineRole.DECODE
    assert model.max_streams == EngineProfile().decode_role_streams
    assert model.run_step() is not None


def test_imported_cache_needs_no_prefill() -> None:
    """A request whose KV cache was transferred must not be prefilled again."""
    model = EngineModel(EngineProfile())
    job = EngineJob(job="j", prompt_tokens=8000, output_tokens=2, imported=True)
    model.submit(job)
    step = model.run_step()
    assert step is not None
    assert step.produced == ("j",)
