"""Stand-ins for the platform and the upstreams, for the demo, benchmarks and tests."""

from bramleyport.standins._engine import EngineFaults, EngineStandin
from bramleyport.standins._engine_model import (
    EngineJob,
    EngineModel,
    EngineProfile,
    EngineStep,
    PrefixCache,
)
from bramleyport.standins._objectapi import ObjectApiStandin, ObjectStore, StoreFaults
from bramleyport.standins._plain import PlainStandin
from bramleyport.standins._server import (
    LOOPBACK,
    read_port,
    serve_app,
    stop_listening,
)

__all__ = [
    "LOOPBACK",
    "EngineFaults",
    "EngineJob",
    "EngineModel",
    "EngineProfile",
    "EngineStandin",
    "EngineStep",
    "ObjectApiStandin",
    "ObjectStore",
    "PlainStandin",
    "PrefixCache",
    "StoreFaults",
    "read_port",
    "serve_app",
    "stop_listening",
]
