"""Typed settings of each role, read from YAML."""

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
