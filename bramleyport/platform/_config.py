"""Decode the operator's configuration."""

import re
from typing import Final

from bramleyport.core import AccountId, ServiceName
from bramleyport.fleet import (
    AccountIndex,
    ApiKey,
    CallerLimits,
    ClientAccount,
    Configuration,
    ConfigVersion,
    EngineTraits,
    RankTable,
    Repeatability,
    Route,
    RouteName,
    ScaleBounds,
    ServiceConfig,
    ServiceShare,
)
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    describe,
    read_amount,
    read_count,
    read_flag,
    read_mapping,
    read_mappings,
    read_positive,
    read_positive_count,
    read_string,
)

# Printable ASCII without spaces.
_HOST: Final = re.compile("[!-~]{1,253}")
# What a header can hold as one value: printable ASCII, without spaces at its ends.
_HEADER_VALUE: Final = re.compile("[!-~]([ -~]{0,510}[!-~])?")


def decode_configuration(document: Document) -> Configuration:
    """Return the configuration in the spec of a stored object."""
    services = [_decode_service(item) for item in read_mappings(document, "services")]
    routes = tuple(_decode_route(item) for item in read_mappings(document, "routes"))
    accounts = _decode_accounts(document)
    ranks = None
    if accounts is not None and accounts.priorities:
        ranks = RankTable(accounts.priorities, (route.priority for route in routes))
    return Configuration(
        version=ConfigVersion(read_count(document, "version")),
        routes=routes,
        services={service.name: service for service in services},
        limits=_decode_limits(read_mapping(document, "limits")),
        accounts=accounts,
        ranks=ranks,
    )


def _decode_accounts(document: Document) -> AccountIndex | None:
    """Return the client accounts; an odd entry among them is left out."""
    if "tenants" not in document:
        return None
    entries = document["tenants"]
    if not isinstance(entries, list):
        # No key is known then: calls are refused, and none runs under a wrong name.
        return AccountIndex((), ["tenants is not a list"])
    accounts: list[ClientAccount] = []
    problems: list[str] = []
    for entry in entries:
        try:
            accounts.append(_decode_account(entry, problems))
        except MalformedDocumentError as error:
            problems.append(str(error))
    return AccountIndex(accounts, problems)


def _decode_account(entry: object, problems: list[str]) -> ClientAccount:
    if not isinstance(entry, dict):
        raise MalformedDocumentError("an account is not a mapping")
    name = read_string(entry, "name")
    if not _HEADER_VALUE.fullmatch(name):
        raise MalformedDocumentError(f"not a name of an account: {describe(name)}")
    keys = entry.get("api_keys")
    if not isinstance(keys, list):
        raise MalformedDocumentError(f"the keys of {describe(name)} are not a list")
    priority = None
    if entry.get("priority") is not None:
        priority = read_count(entry, "priority")
    # Keys are never described: an error would bring them into the log.
    valid = tuple(ApiKey(key) for key in keys if _is_key(key))
    if len(valid) < len(keys):
        count = len(keys) - len(valid)
        problems.append(f"{count} keys of {describe(name)} are malformed")
    return ClientAccount(name=AccountId(name), keys=valid, priority=priority)


def _is_key(value: object) -> bool:
    return isinstance(value, str) and _HEADER_VALUE.fullmatch(value) is not None


def _decode_route(document: Document) -> Route:
    return Route(
        name=RouteName(read_string(document, "name")),
        host=_decode_host(document),
        path_prefix=_decode_path_prefix(document),
        repeatability=_decode_repeatability(document),
        timeout_s=read_positive(document, "timeout_ms") / 1000,
        objective_s=read_amount(document, "slo_ms") / 1000,
        priority=read_count(document, "priority", 0),
        services=_decode_shares(document),
        max_attempts=max(1, read_count(document, "max_attempts", 1)),
        max_pause_s=read_amount(document, "gap_slo_ms", 0) / 1000,
        anonymous=read_flag(document, "anonymous", False),
    )


def _decode_host(document: Document) -> str:
    host = read_string(document, "host").lower()
    if not _HOST.fullmatch(host):
        raise MalformedDocumentError(f"not a host: {describe(host)}")
    return host


def _decode_path_prefix(document: Document) -> str:
    prefix = read_string(document, "path_prefix")
    if not prefix.startswith("/"):
        raise MalformedDocumentError(f"not a path prefix: {describe(prefix)}")
    return prefix


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
    raise MalformedDocumentError(f"route_kind is unknown: {describe(kind)}")


def _decode_shares(document: Document) -> tuple[ServiceShare, ...]:
    # A route names either one service or several services with weights.
    split = read_mappings(document, "split")
    if not split:
        return (ServiceShare(ServiceName(read_string(document, "service")), 1.0),)
    shares = tuple(
        ServiceShare(
            ServiceName(read_string(choice, "service")), read_amount(choice, "weight")
        )
        for choice in split
    )
    if not any(share.weight for share in shares):
        raise MalformedDocumentError("no service of a split has a weight")
    return shares


def _decode_service(document: Document) -> ServiceConfig:
    engine = None
    if document.get("engine") is not None:
        engine = _decode_engine(read_mapping(document, "engine"))
    return ServiceConfig(
        name=ServiceName(read_string(document, "name")),
        health_path=read_string(document, "health_path"),
        max_connections=read_positive_count(document, "max_conns"),
        engine=engine,
        scale=_decode_scale(document),
    )


def _decode_scale(document: Document) -> ScaleBounds | None:
    if document.get("scale") is None:
        return None
    scale = read_mapping(document, "scale")
    least, most = read_count(scale, "min"), read_count(scale, "max")
    if least > most:
        raise MalformedDocumentError(f"scale has min {least} above max {most}")
    return ScaleBounds(least=least, most=most, boot_s=read_amount(scale, "boot_s"))


def _decode_engine(document: Document) -> EngineTraits:
    return EngineTraits(
        slots=read_positive_count(document, "slots"),
        kv_capacity_tokens=read_count(document, "kv_capacity"),
        kv_token_bytes=read_amount(document, "kv_token_bytes"),
        # The configuration gives megabits per second.
        link_bytes_per_s=read_positive(document, "link_mbps") * 1e6 / 8,
        handle_lifetime_s=read_amount(document, "kv_hold_s"),
        switch_s=read_amount(document, "switch_s", 0.0),
    )


def _decode_limits(document: Document) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=read_positive_count(document, "max_header_bytes"),
        max_body_bytes=read_count(document, "max_body_bytes"),
        header_timeout_s=read_positive(document, "header_timeout_ms") / 1000,
        idle_timeout_s=read_amount(document, "idle_timeout_ms") / 1000,
    )
