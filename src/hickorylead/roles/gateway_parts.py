"""The parts of a gateway's reducer, which its other modules share."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs
from returns import result

from hickorylead.admission import (
    budget as budget_module,
    overload as overload_module,
)
from hickorylead.crashes import crash_guard as crash_guard_module
from hickorylead.fleet import registry as registry_module
from hickorylead.forwarding import (
    choice as choice_module,
    connection_monitor,
    document_inbox,
    events,
    forwarder as forwarder_module,
    health,
    reachability as reachability_module,
    replica_directory,
    retry_borrower,
    routes as routes_module,
    shared_limits,
)
from hickorylead.notices import (
    notice_reporter as notice_reporter_module,
    notice_store as notice_store_module,
)
from hickorylead.ratelimits import permit_pool as permit_pool_module
from hickorylead.relaying import relay_directory, relay_offers
from hickorylead.roles import coordinator_view, interface, nodes
from hickorylead.turns import own_pauses

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from hickorylead.configuration import document as document_module

Effect: TypeAlias = interface.Send | interface.Stopped | events.Effect


@attrs.frozen
class Identity:
    """Identity of a gateway.

    Attributes:
        node: Its node name.
        boot: Number that distinguishes its starts.
        seeds: Addresses of a few coordinators, which report the others.
        retry_limits: Limits of the retries of all gateways together.
        relay_address: `ip:port` on which it relays requests of other gateways;
            empty if it relays none.
        relay_token: Token that such gateways have to present.
    """

    node: str
    boot: int
    seeds: tuple[str, ...]
    retry_limits: budget_module.RetryLimits = budget_module.DEFAULT_RETRY_LIMITS
    relay_address: str = ""
    relay_token: str = ""


class Parts:
    """What one gateway knows, by concern."""

    def __init__(
        self,
        identity: Identity,
        *,
        decode_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        rng: random.Random,
        now: float,
    ) -> None:
        """Makes the parts of a gateway that has just started.

        Args:
            identity: Its identity.
            decode_document: Decodes a complete configuration as operators
                submit it.
            rng: Source of the random choice among replicas.
            now: Present time.
        """
        self.identity = identity
        self.zone = nodes.get_zone(identity.node)
        self.pauses = own_pauses.OwnPauses(now)
        self.inbox = document_inbox.DocumentInbox(decode_document, now)
        self.registry = registry_module.Registry()
        self.directory = replica_directory.ReplicaDirectory(
            self.registry, zone=self.zone
        )
        self.health = health.HealthTracker()
        self.guard = crash_guard_module.CrashGuard(identity.node)
        self.notices = notice_store_module.NoticeStore()
        self.notice_reporter = notice_reporter_module.NoticeReporter(
            identity.node, notices=self.notices, registry=self.registry
        )
        self.reachability = reachability_module.Reachability()
        self.permits = permit_pool_module.PermitPool(
            identity.node,
            first=identity.boot,
            rng=rng,
            pauses=self.pauses,
        )
        self.relays = relay_directory.RelayDirectory(self.zone, rng)
        self.offers = relay_offers.RelayOffers(
            identity.node,
            address=identity.relay_address,
            token=identity.relay_token,
            registry=self.registry,
            directory=self.directory,
            reachability=self.reachability,
        )
        self.connections = connection_monitor.ConnectionMonitor(
            directory=self.directory,
            health=self.health,
            reachability=self.reachability,
            relays=self.relays,
        )
        self.limits = shared_limits.SharedLimits(identity.retry_limits)
        self.borrower = retry_borrower.RetryBorrower(self.limits.retries)
        self.forwarder = forwarder_module.Forwarder(
            chooser=choice_module.Chooser(
                zone=self.zone,
                directory=self.directory,
                health=self.health,
                notices=self.notices,
                permits=self.permits,
                reachability=self.reachability,
                relays=self.relays,
                rng=rng,
            ),
            health=self.health,
            guard=self.guard,
            notices=self.notices,
            permits=self.permits,
            connections=self.connections,
            relays=self.relays,
            limits=self.limits,
            started_at=now,
        )
        self.started_at = now
        self.coordinators = coordinator_view.CoordinatorView(
            self.zone, self.pauses
        )
        self.overload = overload_module.OverloadMonitor()
        self.routes: routes_module.RouteTable | None = None

    @property
    def document(self) -> document_module.Document | None:
        """The configuration in force at this gateway."""
        return self.routes.document if self.routes else None

    def get_version(self) -> int:
        """Returns the version in force at this gateway; 0 if there is none."""
        return self.document.version if self.document else 0

    def list_stalled(self, now: float) -> tuple[str, ...]:
        """Returns the replicas whose stall is to be reported to other nodes.

        While this gateway cannot connect to a replica's zone, a stall says
        nothing about the replica.
        """
        found = self.health.list_stalled(now)
        if not self.reachability.has_failures():
            return found
        replicas = [self.directory.find(name) for name in found]
        return tuple(
            replica.name
            for replica in replicas
            if replica is not None
            and self.reachability.is_scope_reachable(replica)
        )
