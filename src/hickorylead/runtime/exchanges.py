"""Exchanges with replicas, directly or through relays, in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.forwarding import events
from hickorylead.runtime import attempt_receiver, relay_client, upstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.forwarding import header_codec as header_codec_module


class Exchanges:
    """The exchanges of one gateway's attempts."""

    def __init__(
        self,
        *,
        pool: upstream.Pool,
        relay_pool: relay_client.RelayPool,
        header_codec: header_codec_module.HeaderCodec,
        apply: Callable[[events.Event], None],
    ) -> None:
        """Makes an empty set of exchanges.

        Args:
            pool: Connections to replicas.
            relay_pool: Connections to relays.
            header_codec: Encodes and decodes headers of replicas.
            apply: Called with each event of an attempt.
        """
        self._pool = pool
        self._relay_pool = relay_pool
        self._header_codec = header_codec
        self._apply = apply
        self._open: dict[
            tuple[str, int], upstream.Exchange | relay_client.RelayExchange
        ] = {}

    def start(self, attempt: events.StartAttempt) -> None:
        """Sends a request to a replica."""
        request = attempt.request
        receiver = attempt_receiver.AttemptReceiver(
            attempt, header_codec=self._header_codec, deliver=self._deliver
        )
        data = self._header_codec.encode_request_head(attempt) + request.body
        exchange: upstream.Exchange | relay_client.RelayExchange
        if attempt.relay is None:
            exchange = self._pool.send_request(
                attempt.replica.address,
                data,
                receiver,
                fresh=attempt.is_fresh,
            )
        else:
            exchange = self._relay_pool.send_request(
                attempt.relay,
                attempt.replica,
                data,
                attempt.budget_s,
                receiver,
                request.request_id,
            )
        self._open[request.request_id, attempt.attempt] = exchange

    def cancel(self, request_id: str, attempt: int) -> None:
        """Closes an attempt's connection, so that its replica stops."""
        exchange = self._open.pop((request_id, attempt), None)
        if exchange is not None:
            exchange.cancel()

    def set_paused(self, request_id: str, paused: bool) -> None:
        """Stops or continues reading the response to a request."""
        for (owner, _), exchange in self._open.items():
            if owner != request_id:
                continue
            if paused:
                exchange.pause_reading()
            else:
                exchange.resume_reading()

    def _deliver(self, event: events.Event) -> None:
        if isinstance(event, events.ResponseCompleted | events.AttemptFailed):
            key = (event.request_id, event.attempt)
            exchange = self._open.pop(key, None)
            if exchange is not None:
                # Its connection may be used for the next request.
                exchange.resume_reading()
        self._apply(event)
