"""Close listening ports without resetting connections that wait to be accepted."""

from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure


def close_port(port: Any, backlog: int) -> None:
    """Accept the connections in the queue of the kernel, then close the port.

    By itself a port accepts only some of them at once, and it closes in a later turn of
    the loop. The kernel resets connections that are still in the queue then.
    """
    port.numberAccepts = backlog + 1
    port.doRead()
    port.connectionLost(Failure(ConnectionDone()))
