"""Typed YAML settings of each role."""

from bramleyport.settings._loader import load_settings
from bramleyport.settings._schema import (
    AgentSettings,
    EntrySettings,
    HeartbeatSettings,
    LogSettings,
    PolicySettings,
    ProcessSettings,
    TlsSettings,
    TransferSettings,
)

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "HeartbeatSettings",
    "LogSettings",
    "PolicySettings",
    "ProcessSettings",
    "TlsSettings",
    "TransferSettings",
    "load_settings",
]
