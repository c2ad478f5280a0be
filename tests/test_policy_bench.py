"""Guard the policy benchmark: repeatable runs, role changes and the bound."""

import json
from xml.etree import ElementTree

from click.testing import CliRunner

from bramleyport.bench._command import bench
from bramleyport.bench._policy_bound import SLOT_S, compute_bound
from bramleyport.bench._policy_report import run_policy
from bramleyport.bench._policy_run import POLICY_SETS, PolicyRun
from bramleyport.bench._policy_scenario import SCENARIOS
from bramleyport.bench._policy_traffic import Request, make_requests
from bramleyport.core import ServiceKind
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
    """Figures of two versions compare only under the same names."""
    assert set(SCENARIOS) == NAMES


def test_steady_mix_has_no_role_change() -> None:
    """A planner that changes roles under a steady mix wastes engines."""
    run = PolicyRun(SCENARIOS["steady"], POLICY_SETS["better"], 1, 1)
    recorder = run.run()
    assert not recorder.role_changes
    assert all(roles == recorder.roles[0][1] for _, roles in recorder.roles)


def test_equal_seeds_give_equal_runs() -> None:
    """A figure that cannot be repeated cannot be compared."""
    runs = []
    for _ in range(2):
        run = PolicyRun(SCENARIOS["swing"], POLICY_SETS["better"], 1, 1)
        run.end_s = 30.0
        recorder = run.run()
        runs.append([(r.result, r.attempts, r.last_s) for r in recorder.runs])
    assert runs[0] == runs[1]


def test_swing_changes_each_engine_at_most_twice() -> None:
    """More than two changes of an engine per swing would be flapping."""
    run = PolicyRun(SCENARIOS["swing"], POLICY_SETS["better"], 1, 1)
    recorder = run.run()
    assert max(recorder.role_changes.values(), default=0) <= 2
    # I2 and I8: a planned change interrupts no request that has shown a token.
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
    """A bound below what is possible would flatter every policy."""
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
    """A share above one would show that the bound is no bound."""
    summary = run_policy("flood_urgent", "baseline", 1, 1)
    assert 0 < summary["goodput_tokens"] <= summary["bound_tokens"]
    assert summary["bound_tokens"] <= summary["offered_tokens"]


def test_command_prints_json_and_draws_the_plot(tmp_path: object) -> None:
    """The command is the only way to the figures."""
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
