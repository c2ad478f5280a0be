"""Build automat machines from charts."""

from functools import cache
from importlib.resources import files
from typing import Any, Protocol

from automat import TypeMachineBuilder

from bramleyport.charts._chart import Chart, Outcome, parse_chart


class ChartCore:
    """Carry no data: a chart's machine holds only its state."""


class ChartMachine:
    """Follow one chart from its initial state."""

    def __init__(self, chart: Chart, state: str | None = None) -> None:
        self.chart = chart
        self.state = state or chart.initial
        states, build = _get_factory(chart)
        self._inputs: Any = build(ChartCore(), states[self.state])

    def step(self, event: str) -> tuple[str, ...]:
        """Take an event and return the actions that the chart names."""
        outcome: Outcome = getattr(self._inputs, event)()
        self.state = outcome.to
        return outcome.do


_factories: dict[int, tuple[Chart, Any]] = {}


def _get_factory(chart: Chart) -> Any:
    # Charts hold mappings and so can't be hashed; the kept chart keeps its id in use.
    if id(chart) not in _factories:
        _factories[id(chart)] = (chart, _make_factory(chart))
    return _factories[id(chart)][1]


def _make_factory(chart: Chart) -> Any:
    methods = {event: _make_method(event) for event in chart.events}
    # The inputs of a chart are known only from its file; automat takes them as a
    # protocol.
    metaclass: Any = type(Protocol)
    inputs: Any = metaclass(f"{chart.name}_inputs", (Protocol,), methods)
    builder: Any = TypeMachineBuilder(inputs, ChartCore)
    order = [chart.initial, *(s for s in chart.states if s != chart.initial)]
    states = {state: builder.state(state) for state in order}
    for state_name, state in chart.states.items():
        outcomes = dict(state.on)
        outcomes.update((e, Outcome(to=state_name)) for e in state.ignore)
        for event, outcome in outcomes.items():
            upon = states[state_name].upon(getattr(inputs, event))
            upon.to(states[outcome.to]).returns(outcome)
    return states, builder.build()


def _make_method(event: str) -> Any:
    def method(self: object) -> Outcome:
        raise TypeError("the machine of a chart runs its events")

    method.__name__ = method.__qualname__ = event
    return method


@cache
def load_chart(name: str) -> Chart:
    """Return the chart in a data file of this package."""
    return parse_chart((files("bramleyport.charts") / f"{name}.yaml").read_text())
