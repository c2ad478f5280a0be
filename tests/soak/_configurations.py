"""Make the configurations that the operator of a soak test writes."""

from typing import Any

from tests.gateway_fleet import make_config, make_route


def make_version_path(version: int) -> str:
    """Return the path prefix that only one version of the configuration routes."""
    return f"/version/{version}/"


def make_versioned_config(version: int, *, extra: bool) -> dict[str, Any]:
    """Return a configuration that shows its version by a route of its own."""
    config = make_config(version)
    path = make_version_path(version)
    config["routes"].append(make_route("version", path, "idempotent"))
    if extra:
        config["routes"].append(make_route("extra", "/extra/", "idempotent"))
    return config
