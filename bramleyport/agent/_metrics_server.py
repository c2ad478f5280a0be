"""HTTP server for the metrics of an agent."""

from collections.abc import Callable
from typing import Any, Final

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from bramleyport.transport import listen_http

IDLE_TIMEOUT_S: Final = 60


class _Page(Resource):
    """Serve a text that is generated for each GET or HEAD request."""

    isLeaf = True  # noqa: N815

    def __init__(self, make_text: Callable[[], bytes]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._make_text = make_text

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Generate the response body."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return self._make_text()


async def serve_metrics(address: str, port: int, render: Callable[[], bytes]) -> Any:
    """Serve `/metrics` and `/healthz` and return the listener."""
    root: Any = Resource()
    root.putChild(b"metrics", _Page(render))
    root.putChild(b"healthz", _Page(lambda: b"ok\n"))
    return await listen_http(Site(root, timeout=IDLE_TIMEOUT_S), address, port)
