"""What a gateway learns from coordinators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import notes
from hickorylead.crashes import messages as crash_messages
from hickorylead.fleet import messages, registry as registry_module
from hickorylead.forwarding import routes as routes_module
from hickorylead.notices import messages as notice_messages
from hickorylead.ratelimits import messages as limit_messages
from hickorylead.relaying import messages as relay_messages
from hickorylead.roles import interface

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.roles import gateway_parts


class News:
    """Applies the messages of coordinators to one gateway."""

    def __init__(
        self, parts: gateway_parts.Parts, is_ready: Callable[[], bool]
    ) -> None:
        """Makes a receiver of messages.

        Args:
            parts: Parts of the gateway.
            is_ready: Returns whether callers may be sent to the gateway.
        """
        self._parts = parts
        self._is_ready = is_ready

    def receive(
        self, sender: str, message: interface.Message, now: float
    ) -> list[gateway_parts.Effect]:
        """Handles a message of a coordinator."""
        self._parts.coordinators.record_message(sender, now)
        match message:
            case messages.InstanceNews(_, received):
                registry_module.merge_updates(
                    self._parts.registry, received, now
                )
            case messages.ZoneLoads(_, loads, is_fresh, _, home_gateways):
                self._apply_loads(loads)
                if sender == self._parts.coordinators.home:
                    self._parts.overload.record_loads(
                        sum(load.running for load in loads), home_gateways
                    )
                self._parts.coordinators.record_freshness(
                    sender, now, is_fresh=is_fresh
                )
                if sender == self._parts.coordinators.home:
                    return self._set_gateway_count(message, now)
            case messages.RetryLoan(_, hello_ms, lent_share):
                if sender == self._parts.coordinators.home:
                    self._parts.borrower.record_loan(
                        sender, lent_share, hello_ms
                    )
            case crash_messages.BlockNews():
                self._parts.guard.apply_blocks(message, now)
            case limit_messages.LimitNews(_, limits):
                self._parts.permits.merge_limits(limits, now)
            case limit_messages.PermitReply():
                if self._parts.permits.handle_reply(message, now):
                    return [*self._parts.forwarder.dispatch_waiting(now)]
            case relay_messages.RelayRequest():
                return self._offer_relay(sender, message, now)
            case relay_messages.RelayOffer(origin):
                if origin == self._parts.identity.node:
                    self._parts.relays.record_offer(message, now)
                    return [*self._parts.forwarder.dispatch_waiting(now)]
            case notice_messages.PauseNews(_, pauses):
                self._parts.notices.merge_pauses(pauses, now)
            case messages.StallNews(_, heads):
                self._parts.forwarder.mover.record_reported_stalls(heads)
            case messages.KnownCoordinators(_, names, addresses, is_fresh):
                self._parts.coordinators.record_freshness(
                    sender, now, is_fresh=is_fresh
                )
                self._parts.coordinators.update_addresses(
                    dict(zip(names, addresses, strict=False)), now
                )
            case messages.DocumentUpdate():
                self._parts.inbox.add(message, self._parts.get_version())
                if self._parts.routes is None:
                    return self.apply_document(now)
        return []

    def _offer_relay(
        self, sender: str, request: relay_messages.RelayRequest, now: float
    ) -> list[gateway_parts.Effect]:
        """Offers to relay requests of another gateway, if this one can."""
        if not self._is_ready():
            return []
        sent, probes = self._parts.offers.handle_request(request, sender, now)
        return [*(interface.Send(*offer) for offer in sent), *probes]

    def _set_gateway_count(
        self, update: messages.ZoneLoads, now: float
    ) -> list[gateway_parts.Effect]:
        """Applies the number of gateways that the home coordinator reports."""
        before = self._parts.limits.gateway_count
        self._parts.limits.set_gateway_count(
            update.gateways, now, is_settled=update.is_settled
        )
        count = self._parts.limits.gateway_count
        self._parts.permits.set_gateway_count(count)
        self._parts.guard.traits.gateway_count = count
        if count == before:
            return []
        return [
            notes.note(
                "gateway_count_changed",
                before=before,
                count=count,
                reported=update.gateways,
                coordinator=self._parts.coordinators.home,
                is_settled=update.is_settled,
                uptime_s=round(now - self._parts.started_at, 3),
            )
        ]

    def apply_document(self, now: float) -> list[gateway_parts.Effect]:
        """Puts the newest configuration that has arrived in force."""
        taken = self._parts.inbox.take(self._parts.get_version(), now)
        if taken.document is not None:
            self._parts.routes = routes_module.RouteTable(taken.document)
            self._parts.forwarder.document = taken.document
            self._parts.directory.set_document(taken.document)
        return [*taken.written]

    def _apply_loads(self, loads: tuple[messages.HeadLoad, ...]) -> None:
        reported = {load.name: load.running for load in loads}
        for name, stats in self._parts.health.stats.items():
            stats.other_gateway_requests = max(
                0, reported.get(name, 0) - stats.own_requests
            )
