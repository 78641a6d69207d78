"""A gateway's connections to its relays and to gateways that it relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.forwarding import model
from hickorylead.runtime import clock, relay_client, relay_server

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead import notes
    from hickorylead.relaying import messages
    from hickorylead.roles import gateway as gateway_role
    from hickorylead.runtime import upstream

# A gateway whose ticks are later than this, in seconds, is busy for BUSY_S
# seconds.
MAX_LATE_S = 0.1
BUSY_S = 0.5
# While it is busy, a gateway relays at most this many exchanges more than it
# has requests of its own callers.
BUSY_EXTRA_EXCHANGES = 4


class RelayEndpoint:
    """Both directions of relaying for one gateway."""

    def __init__(
        self,
        role: gateway_role.Gateway,
        *,
        pool: upstream.Pool,
        report_failure: Callable[[str, str], None],
        write_log: Callable[[notes.Note], None],
        warn: Callable[..., None],
        bind_ip: str,
    ) -> None:
        """Makes an endpoint; `start` opens its port.

        Args:
            role: Decides which exchanges of other gateways are accepted.
            pool: Connections to servers.
            report_failure: Called with a server to which no connection could
                be opened, and why.
            write_log: Called with log lines.
            warn: Called with a description of malformed input.
            bind_ip: Source IP address of connections; empty for any.
        """
        self._role = role
        self._busy_until = -1e9
        self.pool = relay_client.RelayPool(warn, bind_ip)
        self.server = relay_server.RelayServer(
            pool=pool,
            check=self.check,
            report_failure=report_failure,
            write_log=write_log,
            warn=warn,
        )

    async def start(self, ip: str, port: int) -> None:
        """Opens the port for other gateways, unless it is 0."""
        if port:
            await self.server.start(ip, port)

    def record_late_tick(self, late_s: float, now: float) -> None:
        """Records how late a tick was, in seconds."""
        if late_s > MAX_LATE_S:
            self._busy_until = now + BUSY_S

    def check(self, opening: messages.RelayOpen) -> str:
        """Returns why an exchange of another gateway is refused, if it is."""
        allowed = self._role.count_pending() + BUSY_EXTRA_EXCHANGES
        if (
            clock.read_boottime() < self._busy_until
            and self.server.count_active() >= allowed
        ):
            # Own callers go first; the other gateway may use another relay.
            return model.RELAY_REFUSED
        return self._role.check_relay(opening)

    def collect_gauges(self) -> dict[str, float]:
        """Returns gauges of the relayed requests."""
        return {
            "relays": self._role.count_relays(clock.read_boottime()),
            "relayed_requests_total": self.pool.request_count,
            "relay_exchanges": self.server.count_active(),
        }

    def close(self) -> None:
        """Closes all connections."""
        self.server.close()
        self.pool.close()
