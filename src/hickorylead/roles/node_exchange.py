"""What a coordinator exchanges with other coordinators and with gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from hickorylead import notes
from hickorylead.fleet import (
    announcements,
    divergence,
    events,
    full_sync as full_sync_module,
    messages,
    orders,
)
from hickorylead.roles import interface

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.crashes import (
        crash_history as crash_history_module,
        crash_tracker as crash_tracker_module,
        messages as crash_messages,
    )
    from hickorylead.fleet import (
        gateways as gateways_module,
        identity as identity_module,
        peer_directory as peer_directory_module,
        registry as registry_module,
        supervisor as supervisor_module,
    )
    from hickorylead.notices import messages as notice_messages, pause_relay
    from hickorylead.ratelimits import permit_broker as permit_broker_module
    from hickorylead.roles import (
        coordinator_configuration as configuration_module,
    )
    from hickorylead.turns import own_pauses

Effect: TypeAlias = (
    interface.Send
    | events.SaveGatewayRecord
    | orders.SendOrder
    | orders.RequestReport
    | notes.Note
)


class NodeExchange:
    """Hellos, and what they show the other nodes to lack."""

    def __init__(
        self,
        identity: identity_module.Identity,
        *,
        registry: registry_module.Registry,
        peers: peer_directory_module.PeerDirectory,
        gateways: gateways_module.Gateways,
        crashes: crash_tracker_module.CrashTracker,
        supervisor: supervisor_module.Supervisor,
        permits: permit_broker_module.PermitBroker,
        pause_relay: pause_relay.PauseRelay,
        configuration: configuration_module.CoordinatorConfiguration,
        pauses: own_pauses.OwnPauses,
    ) -> None:
        """Initializes the state without hellos.

        Args:
            identity: The coordinator.
            registry: Backend servers known to it.
            peers: Coordinators known to it.
            gateways: Gateways known to it.
            crashes: Lost runs.
            supervisor: Detects failures and plans.
            permits: Permits for servers that name a rate limit.
            pause_relay: Pauses that servers requested.
            configuration: Its configuration.
            pauses: Times at which it did not handle hellos.
        """
        self._identity = identity
        self._registry = registry
        self._peers = peers
        self._gateways = gateways
        self._crashes = crashes
        self._supervisor = supervisor
        self._permit_broker = permits
        self._pause_relay = pause_relay
        self._configuration = configuration
        self._full_sync = full_sync_module.FullSync(identity.node, registry)
        self._divergence = divergence.DivergenceDetector(pauses)
        self._listed = messages.KnownCoordinators(identity.node, (), ())
        # Hellos whose state is still to be compared, and whether their sender
        # was lost before, by node.
        self._unsynced: dict[str, tuple[messages.CoordinatorHello, bool]] = {}

    def handle_crash_update(
        self, update: crash_messages.CrashNews, now: float
    ) -> list[Effect]:
        """Merges lost runs that another node reports."""
        # A gateway that has just chosen this home coordinator may report before
        # its hello arrives, so any sender that is not a known peer counts as a
        # gateway.
        is_forwarded = update.sender in self._peers.known
        others = [] if is_forwarded else self._peers.list_alive(now)
        # Each lost run is reported twice, and again to a new home coordinator.
        # The server is probed only after the first report of a run: a server
        # that replied to that probe is alive, and a repeated report needs no
        # further probe.
        losses = self._crashes.find_new_losses(update, now)
        effects = _send_all(self._crashes.merge(update, others, now))
        return [*effects, *self._supervisor.suspect_servers(losses, now)]

    def update_blocks(self, now: float) -> list[Effect]:
        """Sends blocks of requests under which servers end."""

        def has_ended(incarnation: crash_history_module.Incarnation) -> bool:
            return self._registry.has_ended(
                incarnation.server, incarnation.born, now
            )

        sent, written = self._crashes.tick(
            has_ended,
            self._gateways.list_home_gateways(now),
            now,
            other_home_coordinators=self._peers.list_home_coordinators(now),
        )
        return [*_send_all(sent), *written]

    def send_hellos(self, now: float) -> list[Effect]:
        """Sends hellos to the other coordinators."""
        self._peers.prune(now)
        hello = announcements.make_hello(
            self._identity,
            voter=self._configuration.voter,
            peers=self._peers,
            registry=self._registry,
            gateways=len(self._gateways.list_home_gateways(now)),
            has_traffic=self._supervisor.has_traffic,
            crashes=self._crashes.digest,
        )
        targets = self._peers.list_hello_targets()
        return [
            interface.Send(node, hello)
            for node in targets
            if node != f"@{self._identity.address}"
        ]

    def handle_pause_update(
        self, update: notice_messages.PauseNews, now: float
    ) -> list[Effect]:
        """Merges and forwards pauses that servers requested."""
        is_forwarded = update.sender in self._peers.known
        self._pause_relay.merge(update, is_forwarded=is_forwarded, now=now)
        return self.send_pauses(now)

    def send_pauses(self, now: float) -> list[Effect]:
        """Sends new pauses to gateways and coordinators."""
        return _send_all(
            self._pause_relay.collect_messages(
                gateways=self._gateways.list_home_gateways(now),
                coordinators=self._peers.list_alive(now),
                now=now,
            )
        )

    def handle_hello(
        self, hello: messages.CoordinatorHello, now: float
    ) -> list[Effect]:
        """Handles the hello of another coordinator."""
        _, was_new = self._unsynced.get(hello.node, (hello, False))
        is_new = was_new or hello.node not in self._peers.list_alive(now)
        self._peers.handle_hello(hello, now)
        self._unsynced[hello.node] = hello, is_new
        if hello.has_traffic:
            # Gateways report requests only to their home coordinator, which
            # reports them in its hellos.
            self._supervisor.record_traffic()
        return []

    def sync_coordinators(self, now: float) -> list[Effect]:
        """Sends other coordinators what their last hellos show them to lack."""
        effects: list[Effect] = []
        unsynced, self._unsynced = self._unsynced, {}
        for hello, is_new in unsynced.values():
            differs = self._divergence.needs_full_sync(
                hello.node, hello.check, self._registry.digest, now
            )
            effects += _send_all(
                self._crashes.sync_coordinator(
                    hello.node, hello.crashes, is_new=is_new, now=now
                )
            )
            if is_new or differs:
                update = self._full_sync.make(
                    is_full=self._supervisor.has_full_view(now)
                )
                effects.append(interface.Send(hello.node, update))
        return effects

    def handle_gateway_hello(
        self, hello: messages.GatewayHello, now: float
    ) -> list[Effect]:
        """Handles the hello of a gateway."""
        if hello.loads:
            self._supervisor.record_traffic()
        is_new = hello.is_home and not self._gateways.is_home_coordinator_of(
            hello.node, hello.boot
        )
        effects = _send_all(
            self._crashes.sync_gateway(
                hello.node, hello.blocked, is_new=is_new, now=now
            )
        )
        if is_new:
            effects += _send_all(
                self._permit_broker.make_initial_update(hello.node, now)
            )
            effects += _send_all(
                self._pause_relay.make_initial_update(hello.node, now)
            )
        sent = self._gateways.handle_hello(
            hello,
            registry=self._registry,
            known=self._list_coordinators(now),
            full_sync=self._full_sync,
            now=now,
        )
        effects += self._gateways.save(self._identity.node, now)
        effects += _send_all(sent)
        for name in hello.stalled:
            effects += self._supervisor.suspect_group(name, hello.node, now)
        for progress in hello.flowing:
            self._supervisor.record_output(
                progress.name, now - progress.age_ms / 1000.0
            )
        size = self._configuration.size_bytes
        if self._gateways.needs_document(
            hello.node, self._configuration.version, size, now
        ):
            update = self._configuration.make_update(now)
            effects.append(interface.Send(hello.node, update))
        return [*effects, *self._gateways.report_outdated(hello.node, now)]

    def _list_coordinators(self, now: float) -> messages.KnownCoordinators:
        """Returns the list for gateways, the same message while it is equal."""
        listed = announcements.list_coordinators(
            self._identity,
            self._peers,
            is_fresh=self._configuration.voter.is_fresh(now),
        )
        if listed != self._listed:
            self._listed = listed
        return self._listed

    def forward_stalls(
        self, update: messages.StallNews, now: float
    ) -> list[Effect]:
        """Forwards stalls that one gateway observed to the other gateways."""
        own = self._gateways.list_home_gateways(now)
        targets = [node for node in own if node != update.sender]
        if update.sender in own:
            # The update is from a gateway with this home coordinator: the other
            # coordinators have not received it.
            targets += self._peers.list_alive(now)
        forwarded = messages.StallNews(self._identity.node, update.heads)
        return [interface.Send(node, forwarded) for node in targets]


def _send_all(
    sent: Iterable[tuple[str, interface.Message]],
) -> list[Effect]:
    return [interface.Send(node, message) for node, message in sent]
