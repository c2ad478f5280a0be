"""State charts as data files, and the loader that builds machines from them."""

from bramleyport.charts._chart import Chart, ChartError, Outcome, parse_chart
from bramleyport.charts._machine import ChartMachine, load_chart

__all__ = [
    "Chart",
    "ChartError",
    "ChartMachine",
    "Outcome",
    "load_chart",
    "parse_chart",
]
