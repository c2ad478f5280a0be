"""Find the upstreams that can serve some calls, as this gateway knows them."""

from bramleyport.core import ServiceName, UpstreamId
from bramleyport.fleet import (
    AbsentUpstream,
    Registration,
    ServingGroup,
    ServingScope,
    writes_answers,
)
from bramleyport.gateway._state import GatewayState


def find_serving_group(
    state: GatewayState, scope: ServingScope, now_s: float
) -> ServingGroup:
    """Return which upstreams in a scope write answers now, and which will.

    An upstream that has crashed is expected back for as long as its registration
    stands; one that changes its stage, once it has done so.
    """
    registered = state.members.list_ready(scope.service)
    away = list_away(state, scope.service, now_s)
    ready: list[Registration] = []
    absent: list[AbsentUpstream] = []
    for item in registered:
        if not scope.includes(item):
            continue
        is_changing = state.is_changing(item.upstream, now_s)
        if not writes_answers(item):
            if is_changing:
                due_s = state.changing_until_s[item.upstream]
                absent.append(AbsentUpstream(item, due_s))
        elif item.upstream in away:
            absent.append(AbsentUpstream(item))
        elif not is_changing:
            ready.append(item)
    return ServingGroup(ready=tuple(ready), absent=tuple(absent))


def list_away(
    state: GatewayState, service: ServiceName, now_s: float
) -> set[UpstreamId]:
    """Return the upstreams of a service that have crashed, in any of their stages."""
    registered = state.members.list_ready(service)
    names = [item.upstream for item in registered]
    ended = {item.upstream for item in registered if state.has_ended(item, now_s)}
    return ended | state.reachability.find_unreachable(names, now_s)
