"""Decode the operator's configuration."""

from bramleyport.core import ServiceName
from bramleyport.fleet import (
    CallerLimits,
    Configuration,
    ConfigVersion,
    EngineTraits,
    Repeatability,
    Route,
    RouteName,
    ServiceConfig,
    ServiceShare,
)
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    read_count,
    read_flag,
    read_mapping,
    read_mappings,
    read_number,
    read_string,
)


def decode_configuration(document: Document) -> Configuration:
    """Return the configuration in the spec of a stored object."""
    services = [_decode_service(item) for item in read_mappings(document, "services")]
    return Configuration(
        version=ConfigVersion(read_count(document, "version")),
        routes=tuple(_decode_route(item) for item in read_mappings(document, "routes")),
        services={service.name: service for service in services},
        limits=_decode_limits(read_mapping(document, "limits")),
    )


def _decode_route(document: Document) -> Route:
    return Route(
        name=RouteName(read_string(document, "name")),
        host=read_string(document, "host").lower(),
        path_prefix=read_string(document, "path_prefix"),
        repeatability=_decode_repeatability(document),
        timeout_s=read_number(document, "timeout_ms") / 1000,
        objective_s=read_number(document, "slo_ms") / 1000,
        priority=read_count(document, "priority", 0),
        services=_decode_shares(document),
        max_attempts=max(1, read_count(document, "max_attempts", 1)),
        max_pause_s=read_number(document, "gap_slo_ms", 0) / 1000,
    )


def _decode_repeatability(document: Document) -> Repeatability:
    # The route kind determines whether a call may be repeated. For streams, a separate
    # flag does.
    kind = read_string(document, "route_kind")
    if kind == "streaming":
        if read_flag(document, "resumable", False):
            return Repeatability.STREAM_RESUMABLE
        return Repeatability.STREAM_ONCE
    if kind == "idempotent":
        return Repeatability.IDEMPOTENT
    if kind == "non_idempotent":
        return Repeatability.AT_MOST_ONCE
    raise MalformedDocumentError(f"route_kind is unknown: {kind!r:.60}")


def _decode_shares(document: Document) -> tuple[ServiceShare, ...]:
    # A route names either one service or several services with weights.
    split = read_mappings(document, "split")
    if not split:
        return (ServiceShare(ServiceName(read_string(document, "service")), 1.0),)
    return tuple(
        ServiceShare(
            ServiceName(read_string(choice, "service")), read_number(choice, "weight")
        )
        for choice in split
    )


def _decode_service(document: Document) -> ServiceConfig:
    engine = None
    if document.get("engine") is not None:
        engine = _decode_engine(read_mapping(document, "engine"))
    return ServiceConfig(
        name=ServiceName(read_string(document, "name")),
        health_path=read_string(document, "health_path"),
        max_connections=read_count(document, "max_conns"),
        engine=engine,
    )


def _decode_engine(document: Document) -> EngineTraits:
    return EngineTraits(
        slots=read_count(document, "slots"),
        kv_capacity_tokens=read_count(document, "kv_capacity"),
        kv_token_bytes=read_number(document, "kv_token_bytes"),
        # The configuration gives megabits per second.
        link_bytes_per_s=read_number(document, "link_mbps") * 1e6 / 8,
        handle_lifetime_s=read_number(document, "kv_hold_s"),
        switch_s=read_number(document, "switch_s", 0.0),
    )


def _decode_limits(document: Document) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=read_count(document, "max_header_bytes"),
        max_body_bytes=read_count(document, "max_body_bytes"),
        header_timeout_s=read_number(document, "header_timeout_ms") / 1000,
        idle_timeout_s=read_number(document, "idle_timeout_ms") / 1000,
    )
