"""Guard which process is taken for the writer of an answer after a later one joins."""

from pathlib import Path

import pytest
import yaml

from bramleyport.fleet import Registration
from bramleyport.gateway._state import SUCCESSION_S, GatewayState
from bramleyport.platform import load_node_settings
from tests.fleet_builders import make_engine
from tests.gateway_fleet import make_settings
from tests.ports import find_port

KNOWN_S = 10.0
FIRST = make_engine("e", started_ms=2000)


@pytest.fixture
def state(tmp_path: Path) -> GatewayState:
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(make_settings(find_port())))
    return GatewayState(settings=load_node_settings(path))


def register(state: GatewayState, registration: Registration) -> None:
    state.members.put(registration)
    state.processes_known_s[registration.upstream] = KNOWN_S


# Guards against streams whose version is never corrected.
def test_later_process_at_the_same_address_is_the_successor(
    state: GatewayState,
) -> None:
    later = make_engine("e", started_ms=3000)
    register(state, later)
    assert state.find_successor(FIRST, KNOWN_S + SUCCESSION_S + 0.01) == later


# Guards against correcting the version of a stream that the meant process writes.
@pytest.mark.parametrize(
    ("registered", "after_s"),
    [
        (FIRST, 1.0),
        # What the first one wrote may be under way.
        (make_engine("e", started_ms=3000), SUCCESSION_S - 0.01),
        # The store was restored from an old copy.
        (make_engine("e", started_ms=1000), 1.0),
        # The first one may still serve at its own address.
        (make_engine("e", started_ms=3000, port=2), 1.0),
    ],
)
def test_writer_is_the_meant_process(
    state: GatewayState, registered: Registration, after_s: float
) -> None:
    register(state, registered)
    assert state.find_successor(FIRST, KNOWN_S + after_s) is None


# Guards against correcting the version of a stream that a process ends as it leaves.
def test_process_that_leaves_serves_beside_its_successor(state: GatewayState) -> None:
    leaving = make_engine("e", started_ms=2000, draining=True)
    register(state, leaving)
    register(state, make_engine("e", started_ms=3000))
    assert state.find_successor(leaving, KNOWN_S + 1.0) is None
    assert state.find_successor(FIRST, KNOWN_S + 1.0) is None
