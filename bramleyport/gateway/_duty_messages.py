"""Add what gateways tell each other of their duties to the messages of a link."""

import math
from dataclasses import replace
from typing import Final, Protocol

from bramleyport.core import ProcessId
from bramleyport.duties import Origin, WindowCounts
from bramleyport.gateway._account_facts import DutyStatus
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._peer_messages import PeerMessage

# Time after which a message to all gateways carries the status of the duties again.
STATUS_INTERVAL_S: Final = 1.0


class DutyLink(Protocol):
    """Make and receive what gateways tell each other of their duties."""

    def make_status(self) -> DutyStatus | None:
        """Return the status of this gateway; None while no duty is active."""

    def apply_status(self, process: ProcessId, status: DutyStatus) -> None:
        """Apply the status of another gateway."""

    def apply_usage(self, origin: Origin, counts: WindowCounts) -> None:
        """Apply counts of another gateway."""


class DutyMessages:
    """Connect the messages between gateways to the duties, if this one has any."""

    def __init__(self) -> None:
        self.link: DutyLink | None = None
        self._status_sent_s = -math.inf

    def add_status(self, message: PeerMessage) -> PeerMessage:
        """Return a message to all gateways, once in a while with the status."""
        now_s = read_now()
        if self.link is None or now_s - self._status_sent_s < STATUS_INTERVAL_S:
            return message
        status = self.link.make_status()
        if status is None:
            return message
        self._status_sent_s = now_s
        return replace(message, duty_status=(status,))

    def apply_status(self, origin: ProcessId, status: DutyStatus) -> None:
        """Apply the status of another gateway."""
        if self.link is not None:
            self.link.apply_status(origin, status)

    def apply_usage(self, origin: Origin, counts: WindowCounts) -> None:
        """Apply counts of another gateway."""
        if self.link is not None:
            self.link.apply_usage(origin, counts)
