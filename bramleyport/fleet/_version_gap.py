"""Track whether peers have a newer configuration than this gateway for long."""

from typing import Final

from bramleyport.fleet._types import ConfigVersion

# After this time a gateway serves with the configuration that it has read.
CATCH_UP_S: Final = 5.0
MAX_VERSIONS: Final = 64


class VersionGap:
    """Decide whether a gateway that has started must wait for a newer configuration.

    A store that was restored may have an older configuration for some seconds than the
    gateways that were running. One that starts then reads the old one, and would route
    calls by it although the others don't any more.
    """

    def __init__(self, tolerated_s: float) -> None:
        # How long a gateway may lag behind its peers.
        self._tolerated_s = tolerated_s
        self._configured_s: float | None = None
        # When each newer version was first heard of.
        self._heard_s: dict[ConfigVersion, float] = {}

    def record_applied(self, version: ConfigVersion, now_s: float) -> None:
        """Record that a configuration is in force."""
        if self._configured_s is None:
            self._configured_s = now_s
        self._heard_s = {
            heard: heard_s
            for heard, heard_s in self._heard_s.items()
            if heard > version
        }

    def record_heard(
        self, version: ConfigVersion, own: ConfigVersion, now_s: float
    ) -> None:
        """Record the version of a peer."""
        if version > own and len(self._heard_s) < MAX_VERSIONS:
            self._heard_s.setdefault(version, now_s)

    def is_open(self, now_s: float) -> bool:
        """Return whether a newer version has been missing for too long."""
        if self._configured_s is None or now_s - self._configured_s > CATCH_UP_S:
            return False
        first_s = min(self._heard_s.values(), default=now_s)
        return now_s - first_s > self._tolerated_s
