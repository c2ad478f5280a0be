"""Build configurations, upstreams and calls for tests of the gateway."""

from bramleyport.core import (
    ModelName,
    Place,
    RegionName,
    RequestId,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from bramleyport.fleet import (
    Address,
    Call,
    Chooser,
    Configuration,
    ConfigVersion,
    DecodeTimes,
    EngineTraits,
    LoadTracker,
    Membership,
    PrefillSpeeds,
    PrefixId,
    PrefixIndex,
    Prompt,
    PromptPart,
    Registration,
    Repeatability,
    Route,
    RouteName,
    ServiceConfig,
    ServiceShare,
    Stage,
    Work,
)

SERVICE = ServiceName("language")
PLAIN = ServiceName("orders")
ZONE = ZoneName("a")
PLACE = Place(zone=ZONE, region=RegionName("r"))
ENGINE = EngineTraits(
    slots=64,
    kv_capacity_tokens=500_000,
    kv_token_bytes=163_840,
    link_bytes_per_s=2e11,
    handle_lifetime_s=5.0,
    switch_s=3.0,
)


def make_engine(
    name: str,
    stage: Stage | None = Stage.DECODE,
    *,
    zone: str = "a",
    draining: bool = False,
    service: ServiceName = SERVICE,
    port: int = 1,
    started_ms: int = 0,
) -> Registration:
    return Registration(
        upstream=UpstreamId(name),
        service=service,
        address=Address("127.0.0.1", port),
        zone=ZoneName(zone),
        slots=6 if stage is None else 64,
        draining=draining,
        started_ms=started_ms,
        stage=stage,
    )


def make_route(
    repeatability: Repeatability = Repeatability.STREAM_RESUMABLE,
    *,
    name: str = "route",
    host: str = "calls.example",
    path_prefix: str = "/a/",
    priority: int = 0,
    service: ServiceName = SERVICE,
    timeout_s: float = 5.0,
    max_attempts: int = 2,
) -> Route:
    return Route(
        name=RouteName(name),
        host=host,
        path_prefix=path_prefix,
        repeatability=repeatability,
        timeout_s=timeout_s,
        objective_s=0.5,
        priority=priority,
        services=(ServiceShare(service, 1.0),),
        max_attempts=max_attempts,
        max_pause_s=0.2,
    )


def make_prompt(*parts: tuple[str, int]) -> Prompt:
    pieces = tuple(PromptPart(PrefixId(name), tokens) for name, tokens in parts)
    return Prompt(
        model=ModelName("m"),
        tokens_in=sum(piece.tokens for piece in pieces),
        tokens_out=10,
        parts=pieces,
    )


def make_call(
    prompt: Prompt | None = None,
    *,
    route: Route | None = None,
    request: str = "r1",
    deadline_s: float = 5.0,
) -> Call:
    route = route or make_route()
    return Call(
        request=RequestId(request),
        route=route,
        service=route.services[0].service,
        arrived_s=0.0,
        deadline_s=deadline_s,
        prompt=prompt,
    )


def make_configuration(*routes: Route, version: int = 1) -> Configuration:
    services = {
        SERVICE: ServiceConfig(
            name=SERVICE, health_path="/health", max_connections=100, engine=ENGINE
        ),
        PLAIN: ServiceConfig(name=PLAIN, health_path="/health", max_connections=100),
    }
    return Configuration(
        version=ConfigVersion(version), routes=tuple(routes), services=services
    )


class FleetModel:
    """Represent the state of one gateway that its choices depend on."""

    def __init__(self, *engines: Registration) -> None:
        self.members = Membership()
        self.loads = LoadTracker()
        self.prefixes = PrefixIndex()
        self.speeds = PrefillSpeeds()
        self.decode_times = DecodeTimes()
        self.chooser = Chooser(
            PLACE,
            self.members,
            self.loads,
            self.prefixes,
            self.speeds,
            self.decode_times,
        )
        for engine in engines:
            self.members.put(engine)

    def send(
        self,
        upstream: str,
        *,
        request: str = "w",
        prefill_s: float = 0.0,
        priority: int = 0,
        started_s: float = 0.0,
        prefill_cost: float = 0.0,
        prompt: Prompt | None = None,
        transfer_s: float = 0.0,
    ) -> Work:
        parts = prompt.parts if prompt else ()
        work = Work(
            request=RequestId(request),
            upstream=UpstreamId(upstream),
            priority=priority,
            prefill_s=prefill_s,
            prefill_cost=prefill_cost,
            started_s=started_s,
            parts=parts,
            transfer_s=transfer_s,
        )
        self.loads.of(work.upstream).add(work)
        if parts:
            self.prefixes.add(work.upstream, parts, ENGINE.kv_capacity_tokens)
        return work
