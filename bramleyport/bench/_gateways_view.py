"""State of the fleet in one modelled gateway, and updates between gateways."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

from bramleyport.bench._virtual_clock import VirtualClock
from bramleyport.core import Place, ProcessId, RegionName, UpstreamId, ZoneName
from bramleyport.fleet import (
    Chooser,
    DecodeTimes,
    EvenLoad,
    GatewayRoster,
    LoadTracker,
    Membership,
    PrefillSpeeds,
    PrefixIndex,
    Registration,
    UnseenLoad,
    UpdatePacing,
    WorkRecorder,
)
from bramleyport.gateway._rate_limits import RateLimiter

# One-way delay between gateways, and between a gateway and an engine.
DELAY_S: Final = 0.001
# Overhead of a datagram, and the size of one update in it.
DATAGRAM_BYTES: Final = 70
UPDATE_BYTES: Final = 45

Update = Callable[["ModelledGateway"], None]


class UpdateNetwork:
    """Deliver updates between gateways and count their bytes."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.gateways: list[ModelledGateway] = []
        self.sent_bytes = 0

    def send(self, sender: "ModelledGateway", update: list[Update]) -> None:
        """Deliver updates to all gateways but the sender."""
        peers = len(self.gateways) - 1
        self.sent_bytes += peers * (DATAGRAM_BYTES + UPDATE_BYTES * len(update))

        def deliver() -> None:
            for gateway in self.gateways:
                if gateway is not sender:
                    for item in update:
                        item(gateway)

        self.clock.call_later(DELAY_S, deliver)


class ModelledGateway:
    """Track the fleet as one gateway sees it, and send its updates to the others."""

    def __init__(
        self,
        network: UpdateNetwork,
        zone: ZoneName,
        registrations: Sequence[Registration],
        capacity_tokens: int,
    ) -> None:
        self.place = Place(zone=zone, region=RegionName("r"))
        self.process = ProcessId(f"g{len(network.gateways):03}")
        self.roster = GatewayRoster(self.process)
        self.limiter = RateLimiter(self.process, self.roster)
        self._network = network
        network.gateways.append(self)
        self.members = Membership()
        for item in registrations:
            self.members.put(item)
        self.loads = LoadTracker()
        prefixes = PrefixIndex()
        speeds = PrefillSpeeds()
        self.decode_times = DecodeTimes()
        self.unseen_load = UnseenLoad(self.process)
        self.chooser = Chooser(
            self.place,
            self.members,
            self.loads,
            prefixes,
            speeds,
            self.decode_times,
            EvenLoad(
                self.process,
                self.members,
                self.unseen_load,
                Random(len(network.gateways)),
                lambda: self.roster.count,
            ),
        )
        self.recorder = WorkRecorder(
            self.members,
            self.loads,
            prefixes,
            speeds,
            lambda _: capacity_tokens,
            self.unseen_load,
        )
        self.avoided: set[UpstreamId] = set()
        self._pacing = UpdatePacing()
        self._pending: list[Update] = []
        # Prefill time of the work of each pending update, and since when it is pending.
        self._pending_since: list[tuple[float, float]] = []
        self._flushing = False

    def publish_update(self, update: Update, busy_s: float = 0.0) -> None:
        """Apply an update here at once, and to the other gateways when it arrives."""
        update(self)
        peers = len(self._network.gateways) - 1
        if not peers:
            return
        self._pending.append(update)
        self._pending_since.append((busy_s, self._network.clock.now_s))
        if self._pacing.allow_now(peers, busy_s, self._network.clock.now_s):
            self._flush()
        elif not self._flushing:
            self._flushing = True
            delay_s = self._pacing.choose_delay(peers)
            self._network.clock.call_later(delay_s, self._flush_late)

    def _flush_late(self) -> None:
        self._flushing = False
        self._flush()

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        for busy_s, since_s in self._pending_since:
            delay_s = self._network.clock.now_s - since_s
            self.unseen_load.record_delay(busy_s, delay_s)
        self._pending_since.clear()
        if pending:
            self._network.send(self, pending)
