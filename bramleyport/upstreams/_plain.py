"""Client of a plain service."""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import Execution
from bramleyport.upstreams._body import BodyReader, BodyTruncatedError
from bramleyport.upstreams._http import UpstreamError, UpstreamHttpClient

_FORWARDED_HEADERS: Final = ("content-type", "location", "etag", "cache-control")


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainResponse:
    """Describe the answer of a plain service, with its body unread."""

    status: int
    headers: Mapping[str, str]
    body: AsyncIterator[bytes] = field(repr=False)


class PlainClient:
    """Represent one plain service."""

    def __init__(self, base_url: str) -> None:
        self._http = UpstreamHttpClient(base_url)

    async def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> PlainResponse:
        """Send a call and return its answer with the body unread."""
        response = await self._http.request(method, path, dict(headers), body)
        forwarded = {}
        for name in _FORWARDED_HEADERS:
            values = response.headers.getRawHeaders(name, [])
            if values:
                forwarded[name] = values[0]
        reader = response.open_body()
        return PlainResponse(
            status=response.code, headers=forwarded, body=self._read(path, reader)
        )

    async def _read(self, path: str, reader: BodyReader) -> AsyncIterator[bytes]:
        try:
            async for chunk in reader.read():
                yield chunk
        except BodyTruncatedError as error:
            raise UpstreamError(
                path, self._http.base_url, str(error), Execution.UNKNOWN
            ) from error
