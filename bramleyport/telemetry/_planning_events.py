"""Numbered log events of role plans."""

from typing import Final

from bramleyport.telemetry._events import define

PLAN_MADE: Final = define(2201, "DEBUG", "role plan made")
ROLE_CHANGE_PLANNED: Final = define(2202, "INFO", "role change planned")
MODEL_LOAD_PLANNED: Final = define(2203, "INFO", "model load planned")
