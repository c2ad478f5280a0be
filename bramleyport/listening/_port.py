"""Close listening ports without resetting connections that wait to be accepted."""

from typing import Any, Final

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

# Connections that the kernel keeps until they are accepted. Twisted's default of 50
# loses connections when many callers connect at once.
BACKLOG: Final = 1024


def close_port(port: Any) -> None:
    """Accept the connections in the queue of the kernel, then close the port.

    By itself a port accepts only some of them at once, and it closes in a later turn of
    the loop. The kernel resets connections that are still in the queue then.
    """
    if not port.connected:
        return
    port.numberAccepts = BACKLOG + 1
    port.doRead()
    port.connectionLost(Failure(ConnectionDone()))
