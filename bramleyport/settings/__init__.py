"""Typed YAML settings of each role."""

from bramleyport.settings._loader import load_settings
from bramleyport.settings._schema import (
    AgentSettings,
    EntrySettings,
    LogSettings,
    PolicySettings,
    ProcessSettings,
)

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "LogSettings",
    "PolicySettings",
    "ProcessSettings",
    "load_settings",
]
