"""Answer the readiness checks of the platform's load balancer."""

from http import HTTPStatus

from bramleyport.gateway._clock import read_now
from bramleyport.gateway._reply import reply, reply_not_ready
from bramleyport.gateway._state import GatewayState
from bramleyport.http1 import CallerConnection, CallerRequest
from bramleyport.platform import READINESS_PATH


class Readiness:
    """Decide whether the load balancer may send callers to this gateway."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    @property
    def ready(self) -> bool:
        """Return whether calls can be served."""
        return self._state.is_configured(read_now()) and not self._state.draining

    async def handle(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        """Answer one readiness check."""
        path = request.target.partition(b"?")[0]
        if path != READINESS_PATH:
            reply(connection, HTTPStatus.NOT_FOUND, None, "unknown path")
        elif self.ready:
            reply(connection, HTTPStatus.OK, None, "ready")
        else:
            reply_not_ready(connection)
