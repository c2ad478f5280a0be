"""Test that routing keeps the time between tokens of short answers in its target."""

from random import Random

from bramleyport.core import (
    AccountId,
    EngineLoad,
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
from bramleyport.estimate import ESTIMATORS
from bramleyport.routing import ROUTING_POLICIES, Place, TransferCost

ZONE = ZoneName("lk-west-a")
REGION = RegionName("lk-west")
MODEL = ModelName("inspector-8b")


def make_view(name: str, load: EngineLoad) -> UpstreamView:
    return UpstreamView(
        upstream=UpstreamId(name),
        kind=ServiceKind.LANGUAGE,
        zone=ZONE,
        region=REGION,
        models=frozenset((MODEL,)),
        load=load,
    )


def test_short_urgent_answer_avoids_engines_with_long_prefill() -> None:
    """An engine that prefills long prompts must not decode a short urgent answer."""
    work = Work(
        request=RequestId("r"),
        account=AccountId("a"),
        service=ServiceName("inspections"),
        kind=ServiceKind.LANGUAGE,
        rank=Rank.URGENT,
        targets=Targets(first_token_s=0.61, between_tokens_s=0.057, answer_s=20.0),
        arrived_s=0.0,
        model=MODEL,
        prompt_tokens=200,
        max_output_tokens=20,
    )
    estimator = ESTIMATORS.create("learned")
    routing = ROUTING_POLICIES.create(
        "affinity", estimator, Place(zone=ZONE, region=REGION), TransferCost()
    )
    views = [
        make_view("prefilling", EngineLoad(queued_prefill_tokens=12000)),
        make_view("streaming", EngineLoad(running=8)),
    ]
    route = routing.choose(work, views, 0.0, Random(1))
    assert route is not None
    assert (route.decode_upstream or route.upstream) == UpstreamId("streaming")
