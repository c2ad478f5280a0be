"""Define which faults are frequent in a run, so that few seeds reach most orders."""

from dataclasses import dataclass, field
from typing import Final

Weights = dict[str, int]

# How opening a connection ends.
SOUND_CONNECTS: Final[Weights] = {"open": 97, "refuse": 1, "silence": 1, "reset": 1}
FAULTY_CONNECTS: Final[Weights] = {"open": 70, "refuse": 12, "silence": 9, "reset": 9}
CONNECT_DELAYS_S: Final = (0.0, 0.0, 0.01, 0.01, 0.05, 0.39, 0.4)
# How the bytes of a connection reach the upstream.
SOUND_LINKS: Final[Weights] = {"at once": 97, "late": 1, "first bytes": 1, "never": 1}
FAULTY_LINKS: Final[Weights] = {
    "at once": 60,
    "late": 20,
    "first bytes": 8,
    "never": 12,
}

SHORT_DELAYS_S: Final = (0.0, 0.0, 0.0, 0.01, 0.01, 0.02, 0.05)
LONG_DELAYS_S: Final = (0.0, 0.0, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """Describe how often which faults occur in one run."""

    connects: Weights = field(default_factory=lambda: SOUND_CONNECTS)
    connect_delays_s: tuple[float, ...] = CONNECT_DELAYS_S
    links: Weights = field(default_factory=lambda: SOUND_LINKS)
    # Weights of plans for calls in place of their own.
    plans: Weights = field(default_factory=dict)
    # The same for requests of the gateway itself.
    own_plans: Weights = field(default_factory=dict)
    delays_s: tuple[float, ...] = LONG_DELAYS_S
    # Fraction of the delays that end exactly at the deadline of the call.
    deadline_fraction: float = 0.2
    # Fraction of the refusals that are sent again later.
    repeated_fraction: float = 0.6
    # The time in which all calls arrive.
    arrivals_s: float = 2.4
    own_requests: int = 6
    stop_fraction: float = 0.3
    # The times within which a process has to end once it is stopped.
    graces_s: tuple[float, ...] = (0.1, 0.5, 1.0, 2.0)
    disconnecting_fraction: float = 0.1
    # Callers repeat refused calls.
    repeats_refused: bool = False


# Upstreams do nothing but run calls or refuse them.
REFUSING: Final[Weights] = {
    "run and end": 0,
    "run and cut the answer": 0,
    "run in silence": 0,
    "run and fail": 0,
    "silence": 0,
    "end without a run": 0,
    "refuse and cut": 0,
    "refuse": 40,
    "run and answer": 40,
}
# Upstreams do what they are asked to, unless they crash.
WORKING: Final = Profile(
    connects={"open": 1},
    connect_delays_s=SHORT_DELAYS_S,
    links={"at once": 1},
    plans={"run and answer": 10_000},
    own_plans={"report": 10_000},
    delays_s=(0.01, 0.05, 0.1, 0.25),
    deadline_fraction=0.0,
    disconnecting_fraction=0.0,
)
# Callers repeat refused calls; few other calls use the connections meanwhile.
REPEATING: Final = Profile(
    plans=REFUSING | {"refuse": 120},
    delays_s=SHORT_DELAYS_S,
    deadline_fraction=0.0,
    repeated_fraction=1.0,
    arrivals_s=4.0,
    own_requests=0,
    stop_fraction=0.0,
    disconnecting_fraction=0.0,
    repeats_refused=True,
)
# Processes end while connections open, so that calls are refused before they are sent.
ENDING: Final = Profile(
    connect_delays_s=(0.05, 0.1, 0.2, 0.3, 0.39),
    plans={"run and answer": 200},
    stop_fraction=1.0,
    graces_s=(1.0, 2.0),
    disconnecting_fraction=0.0,
)
PROFILES: Final = (
    # Upstreams repeat each refusal.
    Profile(
        plans=REFUSING,
        delays_s=SHORT_DELAYS_S,
        deadline_fraction=0.0,
        repeated_fraction=1.0,
        arrivals_s=0.8,
        own_requests=12,
        stop_fraction=0.0,
        disconnecting_fraction=0.0,
    ),
    # Upstreams refuse calls and repeat refusals on kept connections.
    Profile(
        plans={"refuse": 120, "run and answer": 60, "run late": 2, "silence": 0},
        delays_s=SHORT_DELAYS_S,
        deadline_fraction=0.03,
        arrivals_s=1.0,
        own_requests=20,
        stop_fraction=0.1,
        disconnecting_fraction=0.03,
    ),
    # Upstreams run calls whose answers are lost, cut, late or say nothing.
    Profile(plans={"refuse": 10, "run and fail": 20, "run and end": 20}),
    # Connections fail, and bytes arrive late, in part or never.
    Profile(connects=FAULTY_CONNECTS, links=FAULTY_LINKS),
    # Deadlines, disconnects and stops meet with answers and refusals.
    Profile(
        plans={"refuse": 40, "run and answer": 40},
        deadline_fraction=0.6,
        stop_fraction=0.8,
        disconnecting_fraction=0.2,
    ),
)
# Profiles that no seed chooses, by the names that the command line uses.
NAMED_PROFILES: Final = {"ending": ENDING, "repeating": REPEATING}
