"""Test the policy benchmark: reproducible runs, role changes and the upper bound."""

import json
from dataclasses import replace
from xml.etree import ElementTree

from click.testing import CliRunner

from bramleyport.bench._command import bench
from bramleyport.bench._policy_bound import SLOT_S, compute_bound
from bramleyport.bench._policy_causes import (
    MissCause,
    count_causes,
    find_cause,
    list_possible,
)
from bramleyport.bench._policy_record import RequestRun
from bramleyport.bench._policy_report import run_policy
from bramleyport.bench._policy_run import POLICY_SETS, PolicyRun
from bramleyport.bench._policy_scenario import SCENARIOS
from bramleyport.bench._policy_traffic import Request, make_requests
from bramleyport.core import PrefixBlock, Rank, RequestId, ServiceKind
from bramleyport.standins import EngineProfile

NAMES = {
    "steady",
    "swing",
    "sawtooth",
    "flood_batch",
    "flood_urgent",
    "flood_both",
    "engine_withdrawn",
    "zone_lost",
    "stale_reports",
}


def test_scenarios_have_their_fixed_names() -> None:
    """Results of two versions are comparable only if scenarios keep their names."""
    assert set(SCENARIOS) == NAMES


def test_steady_mix_has_no_role_change() -> None:
    """A planner that changes roles under a steady load wastes engine time."""
    run = PolicyRun(SCENARIOS["steady"], POLICY_SETS["better"], 1, 1)
    recorder = run.run()
    assert not recorder.role_changes
    assert all(roles == recorder.roles[0][1] for _, roles in recorder.roles)


def test_equal_seeds_give_equal_runs() -> None:
    """Results that depend on more than the seed cannot be compared."""
    runs = []
    for _ in range(2):
        run = PolicyRun(SCENARIOS["swing"], POLICY_SETS["better"], 1, 1)
        run.end_s = 30.0
        recorder = run.run()
        runs.append([(r.result, r.attempts, r.last_s) for r in recorder.runs])
    assert runs[0] == runs[1]


def test_swing_changes_each_engine_at_most_twice() -> None:
    """An engine that changes its role more than twice per swing is flapping."""
    run = PolicyRun(SCENARIOS["swing"], POLICY_SETS["better"], 1, 1)
    recorder = run.run()
    assert max(recorder.role_changes.values(), default=0) <= 2
    # Invariants I2 and I8: a planned role change interrupts no request that has sent a
    # token.
    assert "gave_up_not_repeatable" not in recorder.reasons
    assert all(run.result != "open" for run in recorder.runs)


def list_language(scenario: str, limit: int) -> list[Request]:
    requests = []
    for request in make_requests(SCENARIOS[scenario], 1, 1):
        if request.work.kind is ServiceKind.LANGUAGE:
            requests.append(request)
        if len(requests) == limit:
            break
    return requests


def test_bound_grows_with_engines_up_to_all_work() -> None:
    """A bound that is too low would make every policy look better than it is."""
    requests = list_language("flood_batch", 400)
    profile = EngineProfile()
    slots = int(requests[-1].work.arrived_s // SLOT_S) + 3
    bounds = [
        compute_bound(requests, [engines] * slots, profile)
        for engines in (0.5, 1.0, 2.0, 1000.0)
    ]
    assert bounds == sorted(bounds)
    assert bounds[0] < bounds[-1]
    assert bounds[-1] == sum(request.tokens for request in requests)


def test_goodput_stays_within_the_bound() -> None:
    """Goodput above the bound would show that the bound is wrong."""
    summary = run_policy("flood_urgent", "baseline", 1, 1)
    assert 0 < summary["goodput_tokens"] <= summary["bound_tokens"]
    assert summary["bound_tokens"] <= summary["offered_tokens"]


def test_command_prints_json_and_draws_the_plot(tmp_path: object) -> None:
    """The summaries are only available through the command."""
    path = f"{tmp_path}/plot.svg"
    result = CliRunner().invoke(
        bench,
        [
            "policy",
            "--scenario=steady",
            "--policies=baseline",
            "--json",
            f"--plot={path}",
        ],
    )
    assert result.exit_code == 0, result.output
    (summary,) = json.loads(result.output)
    assert summary["scenario"] == "steady"
    assert summary["ranks"]["urgent"]["requests"] > 0
    lines = (
        ElementTree.parse(path).getroot().iter("{http://www.w3.org/2000/svg}polyline")
    )
    assert len(list(lines)) == 4


def test_causes_add_up_to_the_missed_requests() -> None:
    """Misses without a cause, or with two causes, would misdirect tuning."""
    for scenario in ("flood_both", "zone_lost"):
        run = PolicyRun(SCENARIOS[scenario], POLICY_SETS["better"], 1, 1)
        run.end_s = 200.0
        recorder = run.run()
        for rank in Rank:
            runs = [r for r in recorder.runs if r.request.work.rank is rank]
            missed = sum(not r.met_targets() for r in runs)
            causes = count_causes(runs, EngineProfile())
            assert sum(causes.values()) == missed
            assert set(causes) <= {cause.value for cause in MissCause}


def test_prompts_beyond_the_first_token_target_are_not_possible() -> None:
    """A long uncached prompt is late on any engine and must not count as avoidable."""
    request = list_language("steady", 1)[0]
    targets = replace(request.work.targets, first_token_s=0.61, between_tokens_s=0.057)
    blocks = tuple(PrefixBlock(bytes([index])) for index in range(6))
    first, later = (
        replace(
            request,
            work=replace(
                request.work,
                request=RequestId(name),
                prompt_tokens=6000,
                prefix_blocks=blocks,
                targets=targets,
            ),
        )
        for name in ("first", "later")
    )
    possible = list_possible([first, later], EngineProfile())
    assert possible == {"later"}


def test_decoding_slowed_by_prefill_is_distinguished_from_full_batches() -> None:
    """The two causes need different remedies."""
    request = list_language("steady", 1)[0]
    targets = replace(request.work.targets, between_tokens_s=0.05, answer_s=60.0)
    request = replace(request, work=replace(request.work, targets=targets))
    run = RequestRun(request, result="completed", produced=11)
    run.first_s = request.work.arrived_s
    run.last_s = run.first_s + 0.6
    assert find_cause(run, EngineProfile()) is MissCause.BETWEEN_BATCH
    run.batched_prefill_s = 0.2
    assert find_cause(run, EngineProfile()) is MissCause.BETWEEN_PREFILL
