"""State charts as data files, and state machines built from them."""

from bramleyport.charts._chart import Chart, ChartError, Transition, parse_chart
from bramleyport.charts._machine import ChartMachine, load_chart

__all__ = [
    "Chart",
    "ChartError",
    "ChartMachine",
    "Transition",
    "load_chart",
    "parse_chart",
]
