"""Guard that a chart file with a fault is refused before any code interprets it."""

import pytest

from bramleyport.charts import ChartError, ChartMachine, load_chart, parse_chart

GOOD = """
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

FAULTS = [
    ("unreachable", GOOD + "  stuck: {ignore: [open, close]}\n", "unreachable"),
    ("unknown event", GOOD.replace("ignore: [open]", "ignore: [open, kick]"), "kick"),
    ("missing transition", GOOD.replace("    ignore: [open]\n", ""), "no transition"),
    ("unknown target", GOOD.replace("to: closed", "to: ajar"), "unknown state ajar"),
    ("unknown initial", GOOD.replace("initial: closed", "initial: x"), "initial"),
    ("event named twice", GOOD.replace("[close]", "[close, open]"), "twice"),
    ("unknown key", GOOD + "extra: 1\n", "malformed"),
    ("no mapping", "[]", "malformed"),
    ("bad name", GOOD.replace("opened", "'open ed'"), "not an identifier"),
]


@pytest.mark.parametrize(
    ("text", "reason"), [row[1:] for row in FAULTS], ids=[row[0] for row in FAULTS]
)
def test_faulty_chart_is_refused(text: str, reason: str) -> None:
    with pytest.raises(ChartError) as caught:
        parse_chart(text)
    assert reason in str(caught.value)


def test_machine_follows_the_chart() -> None:
    machine = ChartMachine(parse_chart(GOOD))
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
