"""Send datagrams, some of which the kernel may refuse."""

from typing import Any, Final

from bramleyport.fleet import Address
from bramleyport.telemetry import gateway_events, log_event

MAX_REASONS: Final = 1_000


class DatagramSender:
    """Send datagrams and log the first of the same failures for each address."""

    def __init__(self) -> None:
        self._reasons: dict[Address, int | None] = {}

    def send(self, transport: Any, data: bytes, address: Address) -> bool:
        """Return whether a datagram was sent; otherwise it is lost like any other."""
        try:
            transport.write(data, (address.host, address.port))
        except OSError as error:
            self._log_unsent(address, error)
            return False
        return True

    def _log_unsent(self, address: Address, error: OSError) -> None:
        if self._reasons.get(address) == error.errno:
            return
        if len(self._reasons) >= MAX_REASONS:
            self._reasons.clear()
        self._reasons[address] = error.errno
        log_event(
            gateway_events.PEER_UNREACHABLE, address=str(address), reason=str(error)
        )
