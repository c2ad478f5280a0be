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
    """Describe one line of a chart."""

    name: str
    points: Sequence[tuple[float, float]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Chart:
    """Describe one chart of lines over time."""

    title: str
    lines: Sequence[Line]


def render_charts(charts: Sequence[Chart]) -> str:
    """Return an SVG document with the charts one below the other."""
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
    max_x = max((x for x, _ in points), default=1.0) or 1.0
    max_y = max((y for _, y in points), default=1.0) or 1.0
    plot_width = WIDTH - 2 * MARGIN
    plot_height = HEIGHT - 80

    def scale_point(x: float, y: float) -> tuple[float, float]:
        return MARGIN + plot_width * x / max_x, 30 + plot_height * (1 - y / max_y)

    parts = [f'<text x="{MARGIN}" y="18" font-size="13">{escape(chart.title)}</text>']
    for tick in range(TICKS + 1):
        x, y = scale_point(max_x * tick / TICKS, max_y * tick / TICKS)
        bottom = 30 + plot_height
        parts.append(
            f'<line x1="{MARGIN}" y1="{y:.1f}" x2="{WIDTH - MARGIN}" y2="{y:.1f}" '
            'stroke="#dddddd"/>'
        )
        parts.append(
            f'<text x="{MARGIN - 4}" y="{y + 4:.1f}" text-anchor="end">'
            f"{max_y * tick / TICKS:.4g}</text>"
        )
        parts.append(
            f'<text x="{x:.1f}" y="{bottom + 14}" text-anchor="middle">'
            f"{max_x * tick / TICKS:.4g} s</text>"
        )
    for index, line in enumerate(chart.lines):
        color = COLORS[index % len(COLORS)]
        path = " ".join(
            f"{a:.1f},{b:.1f}" for a, b in (scale_point(x, y) for x, y in line.points)
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
