"""Configurations of a small deployment."""

from typing import Any

LLM, APP = "munshi-llm", "khata-app"
ENGINE = {
    "slots": 64,
    "kv_capacity": 460_805,
    "kv_token_bytes": 163_840,
    "link_mbps": 1_600_000.0,
    "kv_hold_s": 5.0,
    "switch_s": 3.0,
}


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route at the path of its name."""
    return {
        "name": name,
        "host": "calls.example",
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 1000,
        "slo_ms": 200,
        "priority": 2,
        "service": APP,
        "max_attempts": 2,
    } | fields


def config(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a configuration with one route of each kind."""
    stream = {"service": LLM, "sticky": True, "gap_slo_ms": 200}
    return {
        "version": version,
        "routes": [
            route("read", "idempotent"),
            route("post", "non_idempotent", max_attempts=1),
            route(
                "note", "streaming", resumable=True, timeout_ms=6000, slo_ms=500, **stream
            ),
            route(
                "once",
                "streaming",
                resumable=False,
                timeout_ms=6000,
                slo_ms=500,
                max_attempts=1,
                **(stream),
            ),
        ],
        "services": [
            {"name": LLM, "health_path": "/h", "max_conns": 370, "engine": ENGINE},
            {"name": APP, "health_path": "/h", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 10000,
        },
    } | fields
