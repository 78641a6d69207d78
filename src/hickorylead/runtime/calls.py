"""Short HTTP calls with a complete response, over pooled connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from hickorylead.runtime import timeouts

if TYPE_CHECKING:
    from hickorylead import verdict as verdict_module
    from hickorylead.fleet import server_codec as server_codec_module
    from hickorylead.runtime import upstream

# Maximum size of a response, in bytes. Responses to orders and probes have a
# few hundred bytes.
MAX_RESPONSE_BYTES = 256 * 1024


@attrs.frozen
class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        body: The response body.
        headers: The headers, names in lower case.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


@attrs.frozen
class NoResponse:
    """There is no complete response; the call may have taken effect."""

    reason: str


class _Collector:
    """Collects one response."""

    def __init__(self) -> None:
        self.done: asyncio.Future[Response | NoResponse] = asyncio.Future()
        self._status = 0
        self._headers: tuple[tuple[bytes, bytes], ...] = ()
        self._body = bytearray()

    def on_connected(self) -> None:
        pass

    def on_headers(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        self._status = status
        self._headers = tuple(headers)

    def on_body_chunk(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_RESPONSE_BYTES:
            self._complete(NoResponse("answer_too_long"))

    def on_complete(self) -> None:
        self._complete(Response(self._status, bytes(self._body), self._headers))

    def on_failure(self, verdict: verdict_module.Verdict, reason: str) -> None:
        del verdict
        self._complete(NoResponse(reason))

    def _complete(self, response: Response | NoResponse) -> None:
        if not self.done.done():
            self.done.set_result(response)


async def make_call(
    pool: upstream.Pool,
    address: str,
    call: server_codec_module.HttpCall,
    timeout_s: float,
) -> Response | NoResponse:
    """Makes a call and returns its response, or why there is none.

    Args:
        pool: Pooled connections.
        address: `ip:port` of the server.
        call: The HTTP call.
        timeout_s: Longest wait for the response, in seconds.
    """
    body = call.body or b""
    head = (
        f"{call.method} {call.path} HTTP/1.1\r\nhost: {address}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    collector = _Collector()
    exchange = pool.send_request(address, head.encode() + body, collector)
    try:
        async with timeouts.limit_time(timeout_s):
            response = await collector.done
    except TimeoutError:
        response = NoResponse("timeout")
    except asyncio.CancelledError:
        exchange.cancel()
        raise
    if isinstance(response, NoResponse):
        exchange.cancel()
    return response
