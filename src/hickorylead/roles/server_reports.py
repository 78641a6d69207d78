"""What a coordinator learns of backend servers, and tells other nodes.

Servers send their heartbeats to any coordinator. The one that receives a change
sends it to the other coordinators; each of them forwards it to the gateways
whose home coordinator it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead import notes
from hickorylead.fleet import (
    announcements,
    departures as departures_module,
    descriptions,
    events,
    instances,
    messages,
    orders,
    registry as registry_module,
    supervisor as supervisor_module,
    unassigned as unassigned_module,
)
from hickorylead.roles import interface

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from hickorylead.fleet import (
        gateways as gateways_module,
        peer_directory as peer_directory_module,
    )
    from hickorylead.turns import own_pauses

Effect: TypeAlias = (
    interface.Send
    | events.SaveDepartures
    | events.AnswerReport
    | orders.SendOrder
    | orders.RequestReport
    | notes.Note
)


class ServerReports:
    """Applies reports about backend servers to a coordinator's registry."""

    def __init__(
        self,
        node: str,
        *,
        registry: registry_module.Registry,
        peers: peer_directory_module.PeerDirectory,
        gateways: gateways_module.Gateways,
        supervisor: supervisor_module.Supervisor,
        pauses: own_pauses.OwnPauses,
        heartbeat_s: float,
        max_lost_disks: int,
    ) -> None:
        """Initializes the state without pending reports.

        Args:
            node: Name of the coordinator.
            registry: Backend servers known to it.
            peers: Coordinators known to it.
            gateways: Gateways known to it.
            supervisor: Detects failures and plans.
            pauses: Times at which the coordinator did not handle heartbeats.
            heartbeat_s: Heartbeat period, in seconds.
            max_lost_disks: Number of disks that may be lost together.
        """
        self._node = node
        self.departures = departures_module.Departures(max_lost_disks)
        self._registry = registry
        self._peers = peers
        self._gateways = gateways
        self._supervisor = supervisor
        self._pauses = pauses
        self._quiet_s = supervisor_module.STALE_PERIODS * heartbeat_s
        self.unassigned = unassigned_module.UnassignedServers(heartbeat_s)
        # Names of the services that the configuration in force has.
        self.services: frozenset[str] = frozenset()
        # Numbers of heartbeats without a change, for the next `Alive`.
        self._heartbeats: dict[str, int] = {}
        # Changed servers to send to gateways with the next tick, by name.
        self._unreported: dict[str, instances.Instance] = {}

    def send_alive(self, now: float) -> list[Effect]:
        """Sends which servers sent heartbeats without a change."""
        if not self._heartbeats:
            return []
        alive = announcements.make_alive(
            self._node, self._heartbeats, self._registry
        )
        self._heartbeats = {}
        return [interface.Send(n, alive) for n in self._peers.list_alive(now)]

    def handle_alive(self, alive: messages.Alive, now: float) -> list[Effect]:
        """Records heartbeats that another coordinator received."""
        recovered = []
        for name, sequence, since, born in zip(
            alive.names, alive.sequences, alive.since, alive.born, strict=False
        ):
            if self._registry.touch(name, sequence, since, now, born=born):
                recovered.append(self._registry.instances[name])
            if self._registry.find_start_time(name) == born:
                self._supervisor.clear_suspicion(name)
        if not recovered:
            return []
        self._add_unreported(recovered)
        return [*self._supervisor.plan_soon(now)]

    def handle_heartbeat(
        self, instance: instances.Instance, now: float, *, token: str = ""
    ) -> list[Effect]:
        """Records a heartbeat that a server sent to this coordinator.

        Coordinators alone decide whether a report is valid: what they send to
        other nodes, or save, is not checked again.
        """
        return [
            *self._apply_heartbeat(instance, now),
            *self.departures.acknowledge(instance.name, token),
        ]

    def _apply_heartbeat(
        self, instance: instances.Instance, now: float
    ) -> list[Effect]:
        known = self._registry.instances.get(instance.name)
        if not self._is_assigned(instance, known):
            return self._retain(instance, now)
        self.unassigned.remove(instance.name)
        if known is not None and instance.born < known.born:
            # A delayed heartbeat of a previous incarnation does not show that
            # the present incarnation is alive.
            return []
        self._supervisor.clear_suspicion(instance.name)
        if not self._registry.merge(instance, now):
            self._heartbeats[instance.name] = instance.sequence
            return []
        return self._send_changes([instance], known, now)

    def admit_named(self, now: float) -> list[Effect]:
        """Admits servers whose service a new configuration names.

        All are admitted before the next planning round, which would otherwise
        form groups of those that came first.
        """
        if not self.unassigned:
            return []
        named = self.unassigned.take_named(self.services, now)
        admitted = [i for i in named if self._registry.merge(i, now)]
        return self._send_changes(admitted, None, now) if admitted else []

    def end_superseded(self, now: float) -> list[Effect]:
        """Ends the servers whose address another server uses now.

        An address may be reused by another service once its server is gone;
        requests for the old server must not reach the new one.
        """
        effects: list[Effect] = []
        for instance in self._registry.list_superseded(
            self._quiet_s, self._pauses, now
        ):
            effects += self._end(instance.name, instance.born, now)
        return effects

    def _is_assigned(
        self,
        instance: instances.Instance,
        known: instances.Instance | None,
    ) -> bool:
        """Returns whether a configuration names a server's service, or did."""
        return instance.service in self.services or (
            known is not None
            and known.phase != instances.PHASE_GONE
            and (known.born, known.service) == (instance.born, instance.service)
        )

    def _retain(self, instance: instances.Instance, now: float) -> list[Effect]:
        if not self.unassigned.add(instance, now):
            return []
        return [
            notes.note(
                "server_unassigned",
                level="warning",
                server=instance.name,
                service=instance.service,
                address=instance.address,
            )
        ]

    def handle_saved(self, event: events.DeparturesSaved) -> list[Effect]:
        """Records whether departures are on this node's disk."""
        effect = event.effect
        names = tuple(instance.name for instance in effect.servers)
        if not effect.origin:
            return [
                *self.departures.handle_saved(names, is_saved=event.is_saved)
            ]
        if not event.is_saved:
            return []
        kept = messages.DeparturesKept(self._node, names)
        return [interface.Send(effect.origin, kept)]

    def record_load(
        self, answered: orders.OrderAnswered, now: float
    ) -> list[Effect]:
        """Records and sends to all nodes that a server loads a model.

        The server's heartbeats do not report the load. Without this record, a
        planner that restarts or takes over from another planner would start
        more loads than the model store serves at full speed.
        """
        known = self._registry.instances.get(answered.name)
        if (
            known is None
            or answered.status != 202
            or not isinstance(answered.order, orders.Stage)
        ):
            return []
        update = attrs.evolve(known, loading=answered.order.model)
        if not self._registry.merge(update, now):
            return []
        return self._send_changes([update], known, now)

    def handle_departure(
        self, name: str, born: int, now: float, *, token: str = ""
    ) -> list[Effect]:
        """Records that a server reported the end of its incarnation."""
        return [
            *self._end(name, born, now),
            *self.departures.acknowledge(name, token),
        ]

    def _end(self, name: str, born: int, now: float) -> list[Effect]:
        self.unassigned.remove(name)
        known = self._registry.instances.get(name)
        if known is None:
            # Other nodes may know it, and its last heartbeat may be late.
            known = instances.Instance(name, "", "", "", born=born)
        if born and born < known.born:
            # This is a delayed report that a previous incarnation ended.
            return []
        if known.phase == instances.PHASE_GONE and born <= known.born:
            return []
        # The first heartbeat of a newer incarnation may still arrive.
        gone = attrs.evolve(
            known, phase=instances.PHASE_GONE, born=max(born, known.born)
        )
        if not self._registry.merge(gone, now):
            return []
        return self._send_changes([gone], known, now)

    def record_draining(self, name: str, born: int, now: float) -> list[Effect]:
        """Records that a server reported in a response that it is leaving.

        The server's heartbeats may not report this, or may not arrive here.
        """
        known = self._registry.instances.get(name)
        if (
            known is None
            or known.phase != instances.PHASE_READY
            or known.born != born
        ):
            return []
        update = attrs.evolve(known, phase=instances.PHASE_DRAINING)
        if not self._registry.merge(update, now):
            return []
        return self._send_changes([update], known, now)

    def _send_changes(
        self,
        changed: list[instances.Instance],
        known: instances.Instance | None,
        now: float,
    ) -> list[Effect]:
        """Sends to all nodes the changes that this node was first to receive.

        Other coordinators forward the changes to the gateways whose home
        coordinator they are. Sending to those gateways from here as well would
        double the updates that each gateway receives.
        """
        update = messages.InstanceNews(self._node, tuple(changed))
        peers = self._peers.list_alive(now)
        effects: list[Effect] = [interface.Send(n, update) for n in peers]
        departed = departures_module.find_departed(
            [self._registry.instances[i.name] for i in changed],
            {i.name: known for i in changed},
        )
        effects += self.departures.record(departed, peers=len(peers), now=now)
        for instance in changed:
            effects.append(descriptions.describe_change(instance, known))
        self._add_unreported(changed)
        if any(instances.is_urgent(i, known) for i in changed):
            effects += self.update_gateways(now)
        return effects + self._supervisor.plan_soon(now)

    def _add_unreported(self, changed: Iterable[instances.Instance]) -> None:
        """Queues servers for the next update of the gateways.

        The update contains the registry's state of each server: a server that
        joined and left a group between two ticks still has that group's model,
        which its last heartbeat does not report.
        """
        for instance in changed:
            known = self._registry.instances[instance.name]
            self._unreported[known.name] = known

    def update_gateways(self, now: float) -> list[Effect]:
        """Sends queued changes to the gateways with this home coordinator."""
        if not self._unreported:
            return []
        update = messages.InstanceNews(
            self._node, tuple(self._unreported.values())
        )
        self._unreported = {}
        return [
            interface.Send(n, update)
            for n in self._gateways.list_home_gateways(now)
        ]

    def merge_updates(
        self, sender: str, received: Sequence[instances.Instance], now: float
    ) -> list[Effect]:
        """Merges changes that another coordinator sent."""
        before = {
            item.name: self._registry.instances.get(item.name)
            for item in received
        }
        changed = registry_module.merge_updates(self._registry, received, now)
        if not changed:
            return []
        for instance in changed:
            if not instance.silent:
                self._supervisor.clear_suspicion(instance.name)
        self._add_unreported(changed)
        departed = departures_module.find_departed(
            [self._registry.instances[i.name] for i in changed], before
        )
        effects: list[Effect] = []
        if departed:
            effects.append(events.SaveDepartures(departed, sender))
        if any(instances.is_urgent(i, before[i.name]) for i in changed):
            effects += self.update_gateways(now)
        return effects + self._supervisor.plan_soon(now)

    def mark_lost(self, now: float) -> list[Effect]:
        """Marks servers as silent that are treated as dead."""
        effects: list[Effect] = []
        for instance in self._supervisor.list_newly_lost(now):
            silent = attrs.evolve(instance, silent=True)
            if self._registry.merge(silent, now):
                effects += self._send_changes([silent], instance, now)
        return effects
