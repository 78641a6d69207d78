"""Calls of a coordinator to backend servers: orders and probes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import notes
from hickorylead.fleet import orders, server_codec as server_codec_module
from hickorylead.runtime import calls

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.roles import coordinator as coordinator_role
    from hickorylead.runtime import upstream
    from hickorylead.telemetry import decisions

# Timeouts of calls, in seconds. Servers respond to orders and probes within a
# few ms; an unreachable server never responds.
ORDER_TIMEOUT_S = 0.4
# A probe decides whether a server is dead, while the server's callers wait.
REPORT_TIMEOUT_S = 0.25


class ServerCalls:
    """Calls servers and passes their responses on as events."""

    def __init__(
        self,
        *,
        pool: upstream.Pool,
        codec: server_codec_module.ServerCodec,
        find_start_time: Callable[[str], int],
        deliver: Callable[[coordinator_role.CoordinatorEvent], None],
        log: decisions.DecisionLog,
    ) -> None:
        """Makes the calls of one coordinator.

        Args:
            pool: Connections to servers.
            codec: Encodes and decodes calls.
            find_start_time: Returns when a server started, by its name.
            deliver: Called with each event.
            log: Log of decisions.
        """
        self._pool = pool
        self._codec = codec
        self._find_start_time = find_start_time
        self._deliver = deliver
        self._log = log

    async def post(self, effect: orders.SendOrder) -> None:
        """Sends an order to a server."""
        response, _ = await self._call(
            effect.name,
            effect.address,
            self._codec.encode_order(effect),
            ORDER_TIMEOUT_S,
        )
        status = 0
        match response:
            case calls.Response(status):
                pass
            case calls.NoResponse(reason):
                self._log.write(
                    notes.note(
                        "order_unanswered", server=effect.name, why=reason
                    )
                )
        self._deliver(orders.OrderAnswered(effect.name, effect.order, status))

    async def request_report(self, effect: orders.RequestReport) -> None:
        """Probes a server."""
        response, is_refused = await self._call(
            effect.name,
            effect.address,
            self._codec.encode_report_request(),
            REPORT_TIMEOUT_S,
        )
        report = None
        match response:
            case calls.Response(200, body):
                report = self._codec.decode_report(body)
                if report is None:
                    self._log.write(
                        notes.note("report_unreadable", server=effect.name)
                    )
            case calls.Response(status):
                # Another server has this address now, or this server refuses
                # calls.
                self._log.write(
                    notes.note(
                        "report_refused", server=effect.name, status=status
                    )
                )
            case calls.NoResponse(reason):
                self._log.write(
                    notes.note(
                        "report_unanswered", server=effect.name, why=reason
                    )
                )
        if report is None:
            arrived = orders.ReportArrived(
                effect.name, None, is_turned_away=is_refused
            )
        else:
            arrived = orders.ReportArrived(
                effect.name,
                report.accepted,
                report.born,
                member=report.member,
            )
        self._deliver(arrived)

    async def _call(
        self,
        name: str,
        address: str,
        call: server_codec_module.HttpCall,
        timeout_s: float,
    ) -> tuple[calls.Response | calls.NoResponse, bool]:
        """Calls a server; returns the response, and if it refused the call."""
        born = self._find_start_time(name)
        response = await calls.make_call(self._pool, address, call, timeout_s)
        if isinstance(response, calls.NoResponse):
            return response, False
        notice = self._codec.decode_notice(response.status, response.headers)
        if notice != server_codec_module.Notice():
            self._deliver(
                orders.NoticeArrived(
                    name, born, notice.retry_after_s, notice.is_leaving
                )
            )
        return response, notice.retry_after_s is not None
