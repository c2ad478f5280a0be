"""Random requests of a scenario, reproducible by their seed."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Final

from bramleyport.bench._policy_scenario import LANGUAGE_WORKERS, Scenario
from bramleyport.core import (
    AccountId,
    ModelName,
    PrefixBlock,
    Rank,
    RequestId,
    ServiceKind,
    ServiceName,
    Targets,
    Work,
)
from bramleyport.standins import EngineProfile

MODEL: Final = ModelName("inspector-8b")
INSPECTIONS: Final = ServiceName("inspections")
ORDERS: Final = ServiceName("orders")
ACCOUNTS: Final = 400
BLOCK_TOKENS: Final = 1000
# Fraction of a prompt's complete blocks that all requests of its account share.
SHARED_PREFIX_FRACTION: Final = 0.5
PLAIN_CALLS_PER_WORKER_S: Final = 2.0
# Range of the ratio of the declared output limit to the actual output length.
DECLARED_FACTOR: Final = (1.5, 4.0)
TARGETS: Final = {
    Rank.URGENT: Targets(
        first_token_s=0.61,
        between_tokens_s=0.057,
        answer_s=20.0,
        price_per_million_tokens=12.0,
        guaranteed_share=0.5,
    ),
    Rank.STANDARD: Targets(
        first_token_s=3.0,
        between_tokens_s=0.1,
        answer_s=60.0,
        price_per_million_tokens=4.0,
        guaranteed_share=0.2,
    ),
    Rank.BATCH: Targets(
        first_token_s=120.0,
        between_tokens_s=1.0,
        answer_s=600.0,
        price_per_million_tokens=1.0,
        guaranteed_share=0.1,
    ),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Describe the ranges of prompt and output tokens of one kind of request."""

    prompt: tuple[int, int]
    output: tuple[int, int]

    def split_work(self, profile: EngineProfile) -> tuple[float, float]:
        """Return the mean engine seconds of prefill and of decode."""
        prompt = sum(self.prompt) / 2
        output = sum(self.output) / 2
        return prompt / profile.prefill_tokens_per_s, output * compute_token_time(
            profile
        )


LONG_PROMPTS: Final = {
    Rank.URGENT: Shape(prompt=(1000, 2500), output=(10, 30)),
    Rank.STANDARD: Shape(prompt=(4000, 12000), output=(30, 100)),
    Rank.BATCH: Shape(prompt=(8000, 16000), output=(40, 120)),
}
LONG_OUTPUTS: Final = {
    Rank.URGENT: Shape(prompt=(100, 300), output=(150, 350)),
    Rank.STANDARD: Shape(prompt=(200, 600), output=(400, 900)),
    Rank.BATCH: Shape(prompt=(300, 900), output=(500, 1500)),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Describe a request and its output length, which only the engine knows."""

    work: Work
    output_tokens: int

    @property
    def tokens(self) -> int:
        """Return the number of prompt and output tokens."""
        return self.work.prompt_tokens + self.output_tokens


def compute_token_time(profile: EngineProfile) -> float:
    """Return the engine seconds of one decoded token in a full batch."""
    return profile.stream_step_s + profile.step_base_s / profile.max_streams


def make_requests(scenario: Scenario, seed: int, scale: int) -> Iterator[Request]:
    """Yield the requests of a run in the order of arrival."""
    rng = Random(f"{scenario.name}/{seed}/{scale}")
    profile = EngineProfile()
    engines = LANGUAGE_WORKERS * scale
    end_s = scenario.shorten(scale)
    # Scenario time passes faster in shortened runs, so that they cover the whole
    # scenario.
    stretch = scenario.duration_s / end_s
    now_s, number = 0.0, 0
    while True:
        rates = _list_rates(scenario, now_s * stretch, engines, profile)
        total = sum(rate for _, _, rate in rates)
        now_s += rng.expovariate(total)
        if now_s >= end_s:
            return
        rank, shape, _ = rng.choices(rates, [rate for _, _, rate in rates])[0]
        number += 1
        yield _make_request(rng, number, now_s, rank, shape)


def _list_rates(
    scenario: Scenario, now_s: float, engines: int, profile: EngineProfile
) -> list[tuple[Rank, Shape | None, float]]:
    prefill_share = scenario.prefill_share(now_s)
    rates: list[tuple[Rank, Shape | None, float]] = [
        (Rank.URGENT, None, PLAIN_CALLS_PER_WORKER_S * engines / 3)
    ]
    for rank in Rank:
        load = scenario.load(rank, now_s) * engines
        long_prompts, long_outputs = LONG_PROMPTS[rank], LONG_OUTPUTS[rank]
        prefill_a, decode_a = long_prompts.split_work(profile)
        prefill_b, decode_b = long_outputs.split_work(profile)
        # Solve for the two rates that give the wanted prefill and decode work.
        prefill, decode = load * prefill_share, load * (1 - prefill_share)
        determinant = prefill_a * decode_b - prefill_b * decode_a
        rate_a = (prefill * decode_b - prefill_b * decode) / determinant
        rate_b = (prefill_a * decode - prefill * decode_a) / determinant
        rates.append((rank, long_prompts, max(0.0, rate_a)))
        rates.append((rank, long_outputs, max(0.0, rate_b)))
    return rates


def _make_request(
    rng: Random, number: int, now_s: float, rank: Rank, shape: Shape | None
) -> Request:
    request = RequestId(f"r{number}")
    account = AccountId(f"account-{rng.randrange(ACCOUNTS)}")
    if shape is None:
        work = Work(
            request=request,
            account=account,
            service=ORDERS,
            kind=ServiceKind.PLAIN,
            rank=rank,
            targets=TARGETS[rank],
            arrived_s=now_s,
            idempotent=False,
        )
        return Request(work=work, output_tokens=0)
    prompt_tokens = rng.randint(*shape.prompt)
    output_tokens = rng.randint(*shape.output)
    work = Work(
        request=request,
        account=account,
        service=INSPECTIONS,
        kind=ServiceKind.LANGUAGE,
        rank=rank,
        targets=TARGETS[rank],
        arrived_s=now_s,
        model=MODEL,
        prompt_tokens=prompt_tokens,
        max_output_tokens=round(output_tokens * rng.uniform(*DECLARED_FACTOR)),
        prefix_blocks=_make_prefix(account, request, prompt_tokens),
    )
    return Request(work=work, output_tokens=output_tokens)


def _make_prefix(
    account: AccountId, request: RequestId, prompt_tokens: int
) -> tuple[PrefixBlock, ...]:
    blocks = prompt_tokens // BLOCK_TOKENS
    shared = int(blocks * SHARED_PREFIX_FRACTION)
    return tuple(
        PrefixBlock(
            hashlib.blake2b(
                f"{account if index < shared else request}/{index}".encode(),
                digest_size=8,
            ).digest()
        )
        for index in range(blocks)
    )
