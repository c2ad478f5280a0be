"""Give the configuration in force to gateways that the store gives an older one."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from bramleyport.core import ProcessId
from bramleyport.fleet import ConfigVersion
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._configuration_chunks import (
    ChunkCollector,
    ConfigurationChunk,
    split_configuration,
)
from bramleyport.gateway._peer_fields import PeerMessageError
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import (
    Document,
    MalformedDocumentError,
    decode_configuration,
)
from bramleyport.telemetry import gateway_events, log_event

# A gateway that is this late with a version does not get it from the store.
OFFER_AFTER_S: Final = 1.0
OFFER_INTERVAL_S: Final = 1.0
MAX_GATEWAYS: Final = 1_024


@dataclass(frozen=True, slots=True)
class _Gap:
    """Describe since when a gateway is known to lack a version."""

    version: ConfigVersion
    since_s: float


class ConfigurationOffers:
    """Represent the configurations that this gateway gives to others, and gets."""

    def __init__(
        self,
        state: GatewayState,
        apply_document: Callable[[Document, str], None],
    ) -> None:
        self._state = state
        self._apply_document = apply_document
        self._collector = ChunkCollector()
        # When each gateway was last offered the configuration.
        self._offered_s: dict[ProcessId, float] = {}
        self._gaps: dict[ProcessId, _Gap] = {}

    def list_chunks(
        self, process: ProcessId, version: ConfigVersion, *, is_starting: bool
    ) -> list[Any]:
        """Return the datagrams for a gateway that names an older version."""
        document = self._state.configuration_document
        now_s = read_now()
        if version >= self._state.version:
            self._gaps.pop(process, None)
        in_force_s = now_s - self._state.configuration_applied_s
        if (
            document is None
            or version >= self._state.version
            or (in_force_s < OFFER_AFTER_S and not is_starting)
            or now_s - self._offered_s.get(process, 0.0) < OFFER_INTERVAL_S
            or not self._has_turn(process, now_s)
        ):
            return []
        if len(self._offered_s) >= MAX_GATEWAYS:
            self._offered_s.clear()
        self._offered_s[process] = now_s
        own = self._state.settings.process
        return list(split_configuration(own, self._state.version, document))

    def receive(self, chunk: ConfigurationChunk) -> None:
        """Apply the configuration of another gateway once it is complete."""
        if chunk.version <= self._state.version:
            return
        try:
            document = self._collector.add(chunk)
            if document is None:
                return
            if decode_configuration(document).version == chunk.version:
                self._apply_document(document, chunk.process)
        except (PeerMessageError, MalformedDocumentError) as error:
            log_event(
                gateway_events.PEER_MESSAGE_INVALID,
                peer=chunk.process,
                reason=str(error),
            )

    def _has_turn(self, process: ProcessId, now_s: float) -> bool:
        """Return whether this gateway is the one that offers to another now.

        The turn passes on for as long as that one lacks the version, as the gateway
        that has it may be dark, or what it sends may be lost.
        """
        gap = self._gaps.get(process)
        if gap is None or gap.version != self._state.version:
            if len(self._gaps) >= MAX_GATEWAYS:
                self._gaps.clear()
            gap = self._gaps[process] = _Gap(self._state.version, now_s)
        writers = self._state.roster.rank_writers(process, now_s)
        order = [name for name in writers if name != process]
        turn = int((now_s - gap.since_s) / OFFER_INTERVAL_S)
        return order[turn % len(order)] == self._state.settings.process
