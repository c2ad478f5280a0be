"""What one gateway of a model believes, and how it hears of the others."""

from collections.abc import Callable, Sequence
from typing import Final

from bramleyport.bench._virtual_clock import VirtualClock
from bramleyport.core import Place, RegionName, UpstreamId, ZoneName
from bramleyport.fleet import (
    Chooser,
    DecodeTimes,
    LoadTracker,
    Membership,
    PrefillSpeeds,
    PrefixIndex,
    Registration,
    UpdatePacing,
    WorkRecorder,
)

# One way between processes, and between a gateway and an engine.
DELAY_S: Final = 0.001
# A datagram's own bytes, and those of one news in it.
DATAGRAM_BYTES: Final = 70
NEWS_BYTES: Final = 45

News = Callable[["ModelledGateway"], None]


class NewsNetwork:
    """Carry what gateways tell each other."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.gateways: list[ModelledGateway] = []
        self.sent_bytes = 0

    def send(self, sender: "ModelledGateway", news: list[News]) -> None:
        """Deliver news to all gateways but their sender."""
        peers = len(self.gateways) - 1
        self.sent_bytes += peers * (DATAGRAM_BYTES + NEWS_BYTES * len(news))

        def deliver() -> None:
            for gateway in self.gateways:
                if gateway is not sender:
                    for item in news:
                        item(gateway)

        self.clock.call_later(DELAY_S, deliver)


class ModelledGateway:
    """Hold what one gateway believes, and tell the others what it sends."""

    def __init__(
        self,
        network: NewsNetwork,
        zone: ZoneName,
        registrations: Sequence[Registration],
        capacity_tokens: int,
    ) -> None:
        self.place = Place(zone=zone, region=RegionName("r"))
        self._network = network
        network.gateways.append(self)
        self.members = Membership()
        for item in registrations:
            self.members.put(item)
        self.loads = LoadTracker()
        prefixes = PrefixIndex()
        speeds = PrefillSpeeds()
        self.decode_times = DecodeTimes()
        self.chooser = Chooser(
            self.place, self.members, self.loads, prefixes, speeds, self.decode_times
        )
        self.recorder = WorkRecorder(
            self.members,
            self.loads,
            prefixes,
            speeds,
            lambda _: capacity_tokens,
        )
        self.avoided: set[UpstreamId] = set()
        self._pacing = UpdatePacing()
        self._pending: list[News] = []
        self._flushing = False

    def tell(self, news: News, busy_s: float = 0.0) -> None:
        """Apply news here, and to the other gateways once they are sent."""
        news(self)
        peers = len(self._network.gateways) - 1
        if not peers:
            return
        self._pending.append(news)
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
        if pending:
            self._network.send(self, pending)
