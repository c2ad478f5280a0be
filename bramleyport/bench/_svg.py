"""Line charts as SVG text."""

from collections.abc import Sequence
from dataclasses import dataclass
from html import escape
from typing import Final

WIDTH: Final = 720
HEIGHT: Final = 220
MARGIN: Final = 56
COLORS: Final = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b8860b", "#444444")
TICKS: Final = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """Hold the points of one line."""

    name: str
    points: Sequence[tuple[float, float]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Chart:
    """Hold one chart with lines over time."""

    title: str
    lines: Sequence[Line]


def render_charts(charts: Sequence[Chart]) -> str:
    """Return the charts, one below the other, as an SVG document."""
    height = HEIGHT * len(charts)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        f'viewBox="0 0 {WIDTH} {height}" font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
    ]
    for index, chart in enumerate(charts):
        parts.append(f'<g transform="translate(0 {index * HEIGHT})">')
        parts += _draw_chart(chart)
        parts.append("</g>")
    parts.append("</svg>")
    return "\n".join(parts) + "\n"


def _draw_chart(chart: Chart) -> list[str]:
    points = [point for line in chart.lines for point in line.points]
    right = max((x for x, _ in points), default=1.0) or 1.0
    top = max((y for _, y in points), default=1.0) or 1.0
    across = WIDTH - 2 * MARGIN
    down = HEIGHT - 80

    def place(x: float, y: float) -> tuple[float, float]:
        return MARGIN + across * x / right, 30 + down * (1 - y / top)

    parts = [f'<text x="{MARGIN}" y="18" font-size="13">{escape(chart.title)}</text>']
    for tick in range(TICKS + 1):
        x, y = place(right * tick / TICKS, top * tick / TICKS)
        bottom = 30 + down
        parts.append(
            f'<line x1="{MARGIN}" y1="{y:.1f}" x2="{WIDTH - MARGIN}" y2="{y:.1f}" '
            'stroke="#dddddd"/>'
        )
        parts.append(
            f'<text x="{MARGIN - 4}" y="{y + 4:.1f}" text-anchor="end">'
            f"{top * tick / TICKS:.4g}</text>"
        )
        parts.append(
            f'<text x="{x:.1f}" y="{bottom + 14}" text-anchor="middle">'
            f"{right * tick / TICKS:.4g} s</text>"
        )
    for index, line in enumerate(chart.lines):
        color = COLORS[index % len(COLORS)]
        path = " ".join(
            f"{a:.1f},{b:.1f}" for a, b in (place(x, y) for x, y in line.points)
        )
        parts.append(
            f'<polyline points="{path}" fill="none" stroke="{color}" '
            'stroke-width="1.5"/>'
        )
        parts.append(
            f'<text x="{MARGIN + 130 * index}" y="{HEIGHT - 14}" fill="{color}">'
            f"{escape(line.name)}</text>"
        )
    return parts
