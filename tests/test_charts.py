"""Test that an invalid chart is rejected when it is loaded."""

import pytest

from bramleyport.charts import ChartError, ChartMachine, load_chart, parse_chart

VALID_CHART = """
name: door
initial: closed
events: [open, close]
states:
  closed:
    "on": {open: {to: opened, do: [ring]}}
    ignore: [close]
  opened:
    "on": {close: {to: closed}}
    ignore: [open]
"""

INVALID_CHARTS = [
    ("unreachable", VALID_CHART + "  stuck: {ignore: [open, close]}\n", "unreachable"),
    (
        "unknown event",
        VALID_CHART.replace("ignore: [open]", "ignore: [open, kick]"),
        "kick",
    ),
    (
        "missing transition",
        VALID_CHART.replace("    ignore: [open]\n", ""),
        "no transition",
    ),
    (
        "unknown target",
        VALID_CHART.replace("to: closed", "to: ajar"),
        "unknown state ajar",
    ),
    (
        "unknown initial",
        VALID_CHART.replace("initial: closed", "initial: x"),
        "initial",
    ),
    ("event named twice", VALID_CHART.replace("[close]", "[close, open]"), "twice"),
    ("unknown key", VALID_CHART + "extra: 1\n", "malformed"),
    ("no mapping", "[]", "malformed"),
    ("bad name", VALID_CHART.replace("opened", "'open ed'"), "not an identifier"),
]


@pytest.mark.parametrize(
    ("text", "reason"),
    [row[1:] for row in INVALID_CHARTS],
    ids=[row[0] for row in INVALID_CHARTS],
)
def test_invalid_chart_is_rejected(text: str, reason: str) -> None:
    with pytest.raises(ChartError) as caught:
        parse_chart(text)
    assert reason in str(caught.value)


def test_machine_follows_the_chart() -> None:
    machine = ChartMachine(parse_chart(VALID_CHART))
    assert machine.step("close") == ()
    assert machine.step("open") == ("ring",)
    assert machine.state == "opened"


@pytest.mark.parametrize("name", ["lease", "order", "attempt"])
def test_packaged_chart_is_complete(name: str) -> None:
    chart = load_chart(name)
    for state in chart.states:
        for event in chart.events:
            machine = ChartMachine(chart, state)
            machine.step(event)
            assert machine.state in chart.states
