"""Deterministic model of one agent and one engine with a virtual clock.

`python -m tests.policy_model` prints the table of docs/policy-admission.md.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from statistics import mean

from bramleyport.admission import ADMISSION_POLICIES, Rejected
from bramleyport.core import (
    AccountId,
    AttemptId,
    EngineLoad,
    EngineRates,
    ModelName,
    Rank,
    RegionName,
    RequestId,
    ServiceKind,
    ServiceName,
    Targets,
    UpstreamId,
    UpstreamView,
    Work,
    ZoneName,
)
from bramleyport.estimate import ESTIMATORS, Observation
from bramleyport.queueing import QUEUE_POLICIES, QueuedWork, Refused
from bramleyport.standins import EngineProfile
from bramleyport.standins._engine_model import EngineJob, EngineModel

REPORT_INTERVAL_S = 0.5
IDLE_STEP_S = 0.005
DRAIN_S = 60.0
TARGETS = {
    Rank.URGENT: Targets(
        first_token_s=0.61, between_tokens_s=0.057, answer_s=20.0, guaranteed_share=0.5
    ),
    Rank.STANDARD: Targets(
        first_token_s=3.0, between_tokens_s=0.1, answer_s=60.0, guaranteed_share=0.2
    ),
    Rank.BATCH: Targets(
        first_token_s=120.0, between_tokens_s=1.0, answer_s=600.0, guaranteed_share=0.1
    ),
}


@dataclass
class SimulatedRequest:
    work: Work
    output_tokens: int
    started_s: float = 0.0
    first_s: float = 0.0


@dataclass
class Outcome:
    offered: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0
    refused: int = 0
    dropped: int = 0
    done_cost_s: float = 0.0


@dataclass
class Policies:
    estimator: str
    admission: str
    queue: str


BASELINE = Policies("declared", "open", "fifo")
IMPROVED = Policies("learned", "in_time", "ranked")


@dataclass
class AgentModel:
    policies: Policies
    profile: EngineProfile = field(default_factory=EngineProfile)

    def __post_init__(self) -> None:
        self.engine = EngineModel(self.profile)
        self.estimator = ESTIMATORS.create(self.policies.estimator)
        # The entry and the agent are separate processes, so each has its own estimator.
        self.entry_estimator = ESTIMATORS.create(self.policies.estimator)
        self.admission = ADMISSION_POLICIES.create(
            self.policies.admission, self.entry_estimator
        )
        streams = self.profile.max_streams
        self.queue = QUEUE_POLICIES.create(self.policies.queue, streams)
        rates = EngineRates(
            prefill_tokens_per_s=self.profile.prefill_tokens_per_s,
            decode_tokens_per_s=1 / self.profile.step_base_s,
            max_streams=streams,
        )
        self.view = UpstreamView(
            upstream=UpstreamId("e"),
            kind=ServiceKind.LANGUAGE,
            zone=ZoneName("z"),
            region=RegionName("r"),
            rates=rates,
        )
        self.end_s = 0.0
        self.requests: dict[str, SimulatedRequest] = {}
        self.running: set[str] = set()
        self.outcomes = {rank: Outcome() for rank in Rank}
        self.by_account: dict[AccountId, Outcome] = {}

    def run(self, arrivals: Sequence[SimulatedRequest], end_s: float) -> None:
        self.end_s = end_s
        now_s = 0.0
        report_s = 0.0
        next_index = 0
        while now_s < end_s + DRAIN_S:
            while (
                next_index < len(arrivals)
                and arrivals[next_index].work.arrived_s <= now_s
            ):
                self._offer(arrivals[next_index], now_s)
                next_index += 1
            if now_s >= report_s:
                self._take_load_report(now_s)
                report_s += REPORT_INTERVAL_S
            self._start(now_s)
            step = self.engine.run_step()
            if step is None:
                now_s += IDLE_STEP_S
                continue
            now_s += step.duration_s
            for job in step.produced:
                if self.requests[job].first_s:
                    self.queue.observe_interval(step.duration_s, now_s)
                self.requests[job].first_s = self.requests[job].first_s or now_s
            for job in step.finished:
                self._finish(job, now_s)

    def _count(self, work: Work, name: str) -> None:
        for outcome in (
            self.outcomes[work.rank],
            self.by_account.setdefault(work.account, Outcome()),
        ):
            setattr(outcome, name, getattr(outcome, name) + 1)

    def _offer(self, simulated: SimulatedRequest, now_s: float) -> None:
        work = simulated.work
        self._count(work, "offered")
        if isinstance(self.admission.admit(work, [self.view], now_s), Rejected):
            self._count(work, "rejected")
            return
        self.view.sent.add(work, work.arrived_s)
        estimate = self.estimator.estimate(work, self.view)
        attempt = AttemptId(work.request)
        item = QueuedWork(
            attempt=attempt,
            work=work,
            deadline_s=work.answer_deadline_s,
            prefill_s=estimate.prefill_s,
            decode_s=estimate.decode_s,
            spread_s=estimate.spread_s,
        )
        if isinstance(self.queue.offer(item, now_s), Refused):
            self._count(work, "refused")
            return
        self.requests[attempt] = simulated

    def _take_load_report(self, now_s: float) -> None:
        self.view.load = EngineLoad(
            taken_s=now_s,
            running=len(self.running),
            queued=len(self.queue),
            wait_s=self.queue.forecast_wait(now_s),
        )
        self.view.sent = type(self.view.sent)()

    def _start(self, now_s: float) -> None:
        for item in self.queue.expire(now_s):
            self._count(item.work, "dropped")
        free = self.profile.max_streams - len(self.running)
        for item in self.queue.take(now_s, free):
            simulated = self.requests[item.attempt]
            simulated.started_s = now_s
            self.running.add(item.attempt)
            self.engine.submit(
                EngineJob(
                    job=item.attempt,
                    prompt_tokens=item.work.prompt_tokens,
                    output_tokens=simulated.output_tokens,
                    priority=item.work.rank.priority,
                )
            )

    def _finish(self, job: str, now_s: float) -> None:
        simulated = self.requests.pop(job)
        work = simulated.work
        self.running.discard(job)
        self.queue.finish(AttemptId(job), now_s)
        observation = Observation(
            work=work,
            upstream=self.view.upstream,
            output_tokens=simulated.output_tokens,
            cached_tokens=0,
            wait_s=simulated.started_s - work.arrived_s,
            prefill_s=simulated.first_s - simulated.started_s,
            decode_s=now_s - simulated.first_s,
        )
        self.estimator.observe(observation)
        self.entry_estimator.observe(observation)
        between_s = (now_s - simulated.first_s) / max(1, simulated.output_tokens - 1)
        in_time = (
            simulated.first_s <= work.first_token_deadline_s
            and between_s <= work.targets.between_tokens_s
            and now_s <= work.answer_deadline_s
        )
        self._count(work, "in_time" if in_time else "late")
        if now_s > self.end_s:
            # Work finished after the last arrival would distort the shares.
            return
        self.outcomes[work.rank].done_cost_s += (
            work.prompt_tokens / self.profile.prefill_tokens_per_s
            + simulated.output_tokens
            * self.profile.step_base_s
            / self.profile.max_streams
        )


def make_arrivals(
    rates: dict[Rank, float], seed: int, end_s: float, accounts: int = 20
) -> list[SimulatedRequest]:
    rng = Random(seed)
    requests = []
    for rank, rate in rates.items():
        at_s = rng.expovariate(rate)
        while at_s < end_s:
            requests.append(_make_request(rng, rank, at_s, accounts, len(requests)))
            at_s += rng.expovariate(rate)
    return sorted(requests, key=lambda simulated: simulated.work.arrived_s)


def _make_request(
    rng: Random, rank: Rank, at_s: float, accounts: int, number: int
) -> SimulatedRequest:
    work = Work(
        request=RequestId(f"{rank.value}-{number}"),
        account=AccountId(f"a{rng.randrange(accounts)}"),
        service=ServiceName("s"),
        kind=ServiceKind.LANGUAGE,
        rank=rank,
        targets=TARGETS[rank],
        arrived_s=at_s,
        model=ModelName("m"),
        prompt_tokens=int(rng.uniform(400, 1600)),
        max_output_tokens=400,
    )
    return SimulatedRequest(work, min(400, max(1, int(rng.lognormvariate(4.4, 0.6)))))


CASES = {
    "normal": dict.fromkeys(Rank, 1.4),
    "batch x5": {Rank.URGENT: 1.4, Rank.STANDARD: 1.4, Rank.BATCH: 7.0},
    "urgent x5": {Rank.URGENT: 7.0, Rank.STANDARD: 1.4, Rank.BATCH: 1.4},
}


def run_case(case: str, policies: Policies, seed: int, end_s: float) -> AgentModel:
    model = AgentModel(policies)
    model.run(make_arrivals(CASES[case], seed, end_s), end_s)
    return model


def print_table(end_s: float = 300.0, seeds: Sequence[int] = (1, 2, 3, 4, 5)) -> None:
    """Print means over the seeds, and the lowest values in parentheses."""
    print("| Case | Queue | Rank | Offered | In time | Late | Not run | Share |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for case in CASES:
        for policies in (BASELINE, IMPROVED):
            models = [run_case(case, policies, seed, end_s) for seed in seeds]
            for rank in Rank:
                row = describe_rank([model.outcomes for model in models], rank)
                print(f"| {case} | {policies.queue} | {rank.value} | {row} |")


def describe_rank(runs: Sequence[dict[Rank, Outcome]], rank: Rank) -> str:
    rank_outcomes = [run[rank] for run in runs]
    in_time = [one.in_time / one.offered for one in rank_outcomes]
    shares = [
        run[rank].done_cost_s / sum(one.done_cost_s for one in run.values())
        for run in runs
    ]
    not_run = [one.rejected + one.refused + one.dropped for one in rank_outcomes]
    cells = (
        f"{mean(one.offered for one in rank_outcomes):.0f}",
        f"{mean(in_time):.3f} ({min(in_time):.3f})",
        f"{mean(one.late for one in rank_outcomes):.1f}",
        f"{mean(not_run):.1f}",
        f"{mean(shares):.3f} ({min(shares):.3f})",
    )
    return " | ".join(cells)


if __name__ == "__main__":
    print_table()
