"""Run an entry whose planner requests the role that a file names.

Tests start it as a process: `python -m tests.controlled_entry SETTINGS ROLE_FILE`.
"""

import sys
from pathlib import Path
from typing import Any

from bramleyport.cli._runtime import install_reactor, run_daemon


class FilePlanner:
    """Request one role for all engines; none while the file is empty."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def plan(self, pool: Any, now_s: float) -> Any:
        from bramleyport.authority import EngineChange
        from bramleyport.core import EngineRole
        from tests.fleet import FixedPlan

        text = self.path.read_text().strip()
        if not text:
            return FixedPlan({})
        change = EngineChange(role=EngineRole(text))
        return FixedPlan({item.upstream: change for item in pool.orders})


def main() -> int:
    install_reactor()
    from bramleyport.composition import build_entry
    from bramleyport.settings import EntrySettings, load_settings
    from bramleyport.telemetry import configure_logging

    settings = load_settings(Path(sys.argv[1]).read_bytes(), EntrySettings).unwrap()
    configure_logging(json_lines=True, level="INFO", process=settings.process.process)
    planner = FilePlanner(Path(sys.argv[2]))
    return run_daemon(lambda: build_entry(settings, planner=planner))


if __name__ == "__main__":
    sys.exit(main())
