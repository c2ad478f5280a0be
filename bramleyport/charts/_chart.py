"""Parser of state charts that rejects incomplete ones.

A chart lists its events. Each state names every event, either with its transition under
`on` or, if the event has no effect in this state, under `ignore`. An event that a state
does not name is an error when the chart is loaded, so no event is ignored by mistake.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import yaml
from cattrs import BaseValidationError

from bramleyport.core import make_strict_converter


class ChartError(ValueError):
    """Report all errors of a chart."""

    def __init__(self, reasons: list[str]) -> None:
        super().__init__("; ".join(reasons))
        self.reasons = reasons


@dataclass(frozen=True, slots=True, kw_only=True)
class Transition:
    """Describe the state that follows an event and the actions to execute."""

    to: str
    do: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ChartState:
    """Describe the transitions and ignored events of one state."""

    on: Mapping[str, Transition] = field(default_factory=dict)
    ignore: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Chart:
    """Describe a state chart."""

    name: str
    initial: str
    events: tuple[str, ...]
    states: Mapping[str, ChartState]


_converter = make_strict_converter(forbid_extra_keys=True)


def parse_chart(text: str) -> Chart:
    """Return the chart in a YAML text, or raise an error that lists all problems."""
    try:
        # YAML 1.1 parses an unquoted `on` key as true, so the files quote it.
        chart = _converter.structure(yaml.safe_load(text), Chart)
    # cattrs raises AttributeError for a document that is not a mapping.
    except (yaml.YAMLError, BaseValidationError, AttributeError, TypeError) as error:
        raise ChartError([f"malformed: {error!r}"]) from error
    reasons = [*_check_names(chart), *_check_transitions(chart)]
    if not reasons:
        reasons = [
            f"state {name} is unreachable" for name in _list_unreachable_states(chart)
        ]
    if reasons:
        raise ChartError(reasons)
    return chart


def _check_names(chart: Chart) -> list[str]:
    reasons = []
    if chart.initial not in chart.states:
        reasons.append(f"initial state {chart.initial} is unknown")
    if len(set(chart.events)) != len(chart.events):
        reasons.append("an event is listed twice")
    for name in (*chart.events, *chart.states):
        if not name.isidentifier() or name.startswith("_"):
            reasons.append(f"name {name!r} is not an identifier")
    return reasons


def _check_transitions(chart: Chart) -> list[str]:
    reasons = []
    for name, state in chart.states.items():
        handled = [*state.on, *state.ignore]
        for event in sorted(set(handled) - set(chart.events)):
            reasons.append(f"state {name} names unknown event {event}")
        for event in sorted(set(chart.events) - set(handled)):
            reasons.append(f"state {name} has no transition for {event}")
        for event in sorted({e for e in handled if handled.count(e) > 1}):
            reasons.append(f"state {name} names event {event} twice")
        for event, transition in state.on.items():
            if transition.to not in chart.states:
                reasons.append(f"{name}.{event} leads to unknown state {transition.to}")
    return reasons


def _list_unreachable_states(chart: Chart) -> list[str]:
    reached = {chart.initial}
    pending = [chart.initial]
    while pending:
        for transition in chart.states[pending.pop()].on.values():
            if transition.to not in reached:
                reached.add(transition.to)
                pending.append(transition.to)
    return sorted(set(chart.states) - reached)
