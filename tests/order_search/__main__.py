"""Search many seeds by hand, and print the trace of each violation."""

import argparse
from collections import Counter
from contextlib import ExitStack

import pytest

from tests.order_search import Rule, SeedResult, search_seed
from tests.order_search._mutations import MUTATIONS
from tests.order_search._profiles import NAMED_PROFILES


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.order_search")
    parser.add_argument("--seeds", type=int, default=1000, help="number of seeds")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--mutation", choices=sorted(MUTATIONS), help="fault to put in")
    parser.add_argument(
        "--profile", choices=sorted(NAMED_PROFILES), help="faults that are frequent"
    )
    parser.add_argument(
        "--needless", action="store_true", help="also show needless failures"
    )
    parser.add_argument("--trace", action="store_true", help="show traces")
    return parser.parse_args()


def _print_violations(result: SeedResult, rules: set[Rule], *, trace: bool) -> None:
    for violation in result.list_broken(rules):
        call = violation.call
        print(f"seed {result.seed}: {violation.rule.value}: {call}", flush=True)
    if trace and result.list_broken(rules):
        print("\n".join(result.trace))
    for error in result.errors:
        print(f"seed {result.seed}: {error}", flush=True)


def main() -> None:
    """Search the seeds that the command line names."""
    arguments = _parse_arguments()
    shown = set(Rule) if arguments.needless else {Rule.TWICE, Rule.REFUSED}
    counts: Counter[str] = Counter()
    statuses: Counter[int | None] = Counter()
    profile = NAMED_PROFILES.get(arguments.profile)
    with ExitStack() as stack:
        if arguments.mutation:
            patch = stack.enter_context(pytest.MonkeyPatch.context())
            mutation = MUTATIONS[arguments.mutation]
            mutation.apply(patch)
            profile = profile or mutation.profile
        for seed in range(arguments.first, arguments.first + arguments.seeds):
            result = search_seed(seed, profile)
            counts.update(item.rule.value for item in result.violations)
            statuses.update(call.status for call in result.calls if call.runs_once)
            _print_violations(result, shown, trace=arguments.trace)
    print(f"{arguments.seeds} seeds, {statuses.total()} calls that run at most once")
    print(f"violations: {dict(counts)}")
    print(f"answers: {dict(statuses.most_common())}")


if __name__ == "__main__":
    main()
