"""State machines built from charts with automat."""

from functools import cache
from importlib.resources import files
from typing import Any, Protocol

from automat import TypeMachineBuilder

from bramleyport.charts._chart import Chart, Transition, parse_chart


class MachineData:
    """Provide the data object that automat requires, which is empty here."""


class ChartMachine:
    """Track the state of one chart, from its initial state or the given one."""

    def __init__(self, chart: Chart, state: str | None = None) -> None:
        self.chart = chart
        self.state = state or chart.initial
        states, build = _get_factory(chart)
        self._inputs: Any = build(MachineData(), states[self.state])

    def step(self, event: str) -> tuple[str, ...]:
        """Process an event and return the actions that the chart names."""
        transition: Transition = getattr(self._inputs, event)()
        self.state = transition.to
        return transition.do


_factories: dict[int, tuple[Chart, Any]] = {}


def _get_factory(chart: Chart) -> Any:
    # A chart contains mappings, so it is not hashable and its id is the key. The stored
    # reference keeps the id from being reused for another chart.
    if id(chart) not in _factories:
        _factories[id(chart)] = (chart, _make_factory(chart))
    return _factories[id(chart)][1]


def _make_factory(chart: Chart) -> Any:
    methods = {event: _make_input_method(event) for event in chart.events}
    # automat requires the inputs of a machine as a protocol class. It is created here,
    # as the inputs are known only from the chart.
    metaclass: Any = type(Protocol)
    inputs: Any = metaclass(f"{chart.name}_inputs", (Protocol,), methods)
    builder: Any = TypeMachineBuilder(inputs, MachineData)
    order = [chart.initial, *(s for s in chart.states if s != chart.initial)]
    states = {state: builder.state(state) for state in order}
    for state_name, state in chart.states.items():
        transitions = dict(state.on)
        transitions.update((e, Transition(to=state_name)) for e in state.ignore)
        for event, transition in transitions.items():
            upon = states[state_name].upon(getattr(inputs, event))
            upon.to(states[transition.to]).returns(transition)
    return states, builder.build()


def _make_input_method(event: str) -> Any:
    def method(self: object) -> Transition:
        raise TypeError("the input of a state machine was called on its protocol class")

    method.__name__ = method.__qualname__ = event
    return method


@cache
def load_chart(name: str) -> Chart:
    """Return the chart of the given name from a data file of this package."""
    return parse_chart((files("bramleyport.charts") / f"{name}.yaml").read_text())
