"""The reducer of an entry.

It receives announcements of backend servers, follows the configuration and
the replica table, and serves the requests of callers and operators.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead import isolation
from hickorylead.claims import messages as claim_messages
from hickorylead.configuration import (
    follower as follower_module,
    messages as config_messages,
)
from hickorylead.crashes import (
    crash_guard as crash_guard_module,
    crash_history as crash_history_module,
    crash_tracker as crash_tracker_module,
    messages as crash_messages,
)
from hickorylead.membership import (
    announcement_receiver,
    messages as member_messages,
)
from hickorylead.requests import dispatcher as dispatcher_module, events
from hickorylead.roles import interface, nodes, operations, status
from hickorylead.routing import (
    health,
    messages as routing_messages,
    policy as policy_module,
    table as table_module,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

REMOTE_TABLE_TIMEOUT_S = 10.0
REFRESH_PERIOD_S = 1.0
HOLDER_TIMEOUT_S = 2.5

_ToSend: TypeAlias = (
    claim_messages.Send
    | config_messages.Send
    | member_messages.Send
    | routing_messages.Send
)


@attrs.frozen
class Identity:
    """Identity of an entry.

    Attributes:
        node: Its node name.
        control_nodes: All control processes of all zones, from the settings.
    """

    node: str
    control_nodes: tuple[str, ...]


class Entry:
    """State of one entry."""

    def __init__(self, identity: Identity, *, rng: random.Random) -> None:
        """Initializes an entry that has just started.

        Args:
            identity: Its identity.
            rng: Source of the random choice among replicas.
        """
        self._zone = nodes.get_zone(identity.node)
        self._node = identity.node
        by_zone = nodes.group_by_zone(identity.control_nodes)
        self._zone_controls = by_zone.get(self._zone, ())
        self._follower = follower_module.Follower(
            node=identity.node, controls=self._zone_controls
        )
        self._announcement_receiver = (
            announcement_receiver.AnnouncementReceiver(
                entry=identity.node, controls=self._zone_controls
            )
        )
        self._table = table_module.ReplicaTable()
        self._health = health.HealthTracker()
        # An entry finds out from the tables of all zones which replicas ended,
        # without a coordinator, so it acts as its own home coordinator. Control
        # processes merge what all entries detected.
        self._guard = crash_guard_module.CrashGuard(identity.node)
        self._crashes = crash_tracker_module.CrashTracker(identity.node)
        self._reported_crashes: set[crash_history_module.RunKey] = set()
        self._reported_digest = 0
        self._next_resend = 0.0
        self._dispatcher = dispatcher_module.Dispatcher(
            entry=identity.node,
            controls=by_zone,
            table=self._table,
            health=self._health,
            policy=policy_module.LoadBalancingPolicy(
                zone=self._zone, table=self._table, health=self._health, rng=rng
            ),
            guard=self._guard,
        )
        self._operations = operations.Operations(
            node=identity.node,
            controls=identity.control_nodes,
            follower=self._follower,
            histories=self._dispatcher.histories,
        )
        # The control process that sent the last replica table of this zone.
        self._holder = ""
        self._next_refresh = 0.0
        self._stopping = False
        self._stopped = False

    @property
    def configuration(self) -> config_messages.model.Configuration:
        """The configuration in force at this entry."""
        return self._follower.configuration

    @property
    def dispatcher(self) -> dispatcher_module.Dispatcher:
        """Dispatcher of the requests of this entry."""
        return self._dispatcher

    @property
    def table(self) -> table_module.ReplicaTable:
        """Replicas that this entry may use."""
        return self._table

    def is_ready(self) -> bool:
        """Returns whether callers may be sent to this entry.

        An entry refuses requests that other entries serve until it has a
        configuration that is certain to be in force and the complete replica
        table of its zone.
        """
        zone = self._table.zones.get(self._zone)
        return (
            self._follower.ready
            and self._follower.version > 0
            and zone is not None
            and zone.complete
            and not self._stopping
        )

    def reduce(
        self, event: interface.EntryEvent, now: float
    ) -> list[interface.EntryEffect]:
        """Handles one event and returns the effects to carry out."""
        match event:
            case (
                events.RequestArrived()
                | events.CallerDisconnected()
                | events.FrameArrived()
                | events.AnswerArrived()
                | events.AttemptFailed()
            ):
                effects = _convert_effects(
                    self._dispatcher.handle(event, self.configuration, now)
                )
                return effects + self._check_stopped()
            case interface.Tick():
                return self._tick(now)
            case interface.MessageArrived(sender, message):
                return self._receive(sender, message, now)
            case interface.AnnouncementArrived(announcement):
                return _convert_effects(
                    self._announcement_receiver.receive(announcement, now)
                )
            case interface.ChangeSubmitted(change):
                return self._operations.submit(change, now)
            case interface.StatusRequested(token):
                return self._operations.request_status(token, now)
            case interface.ExplainRequested(token, request_id):
                return self._operations.request_explanation(
                    token, request_id, now
                )
            case interface.BootstrapRequested(cluster):
                return self._operations.request_bootstrap(cluster, now)
            case interface.StopRequested(left_s):
                self._stopping = True
                self._dispatcher.stop(now + left_s)
                return self._check_stopped()
            case interface.TimeOver():
                effects = _convert_effects(self._dispatcher.end_all(now))
                effects += self._operations.end(now)
                return effects + self._check_stopped()

    def _tick(self, now: float) -> list[interface.EntryEffect]:
        return isolation.collect_effects(
            {
                "configuration": lambda: _convert_effects(
                    self._follower.collect_messages(now)
                ),
                "announcements": lambda: self._tick_announcements(now),
                "refresh": lambda: self._refresh_if_due(now),
                "blocks": lambda: self._update_blocks(now),
                "requests": lambda: _convert_effects(
                    self._dispatcher.tick(now)
                ),
                "operations": lambda: self._operations.tick(now),
                "stop": self._check_stopped,
            }
        )

    def _tick_announcements(self, now: float) -> list[interface.EntryEffect]:
        own = self._table.zones.get(self._zone)
        return _convert_effects(
            self._announcement_receiver.tick(
                now,
                configuration=self._follower.version,
                fence=own.fence if own else 0,
                holder=self._holder,
            )
        )

    def _refresh_if_due(self, now: float) -> list[interface.EntryEffect]:
        if now < self._next_refresh:
            return []
        self._next_refresh = now + REFRESH_PERIOD_S
        return self._refresh(now)

    def _update_blocks(self, now: float) -> list[interface.EntryEffect]:
        """Updates the blocked requests, those that ended too many replicas."""
        effects: list[interface.EntryEffect] = []
        self._guard.decide_ended_runs(
            lambda group, _: self._table.was_removed(group), now
        )
        for _, update in self._guard.collect_messages(self._node, now):
            self._crashes.merge(update, (), now)
            cleared = attrs.evolve(update, crashes=(), accusations=())
            effects += self._send_to_controls(cleared)

        def has_ended(incarnation: crash_history_module.Incarnation) -> bool:
            return self._table.was_removed(incarnation.server)

        sent, written = self._crashes.tick(has_ended, (self._node,), now)
        for _, message in sent:
            if isinstance(message, crash_messages.BlockNews):
                self._guard.apply_blocks(message, now)
        return [*effects, *written, *self._report_crashes(now)]

    def _report_crashes(self, now: float) -> list[interface.EntryEffect]:
        """Reports requests during which replicas ended, at once and again.

        Control processes keep these reports in memory only. Repeated evidence
        lets a restarted control process block the same requests again.
        """
        effects: list[interface.EntryEffect] = []
        if self._crashes.digest != self._reported_digest:
            self._reported_digest = self._crashes.digest
            effects += self._send_to_controls(self._find_unreported(now))
        if now >= self._next_resend:
            self._next_resend = now + crash_tracker_module.FULL_SYNC_PERIOD_S
            effects += self._send_to_controls(
                self._crashes.make_evidence_update(now)
            )
        return effects

    def _find_unreported(self, now: float) -> crash_messages.CrashNews:
        """Returns the ended runs not yet reported to control processes."""
        update = self._crashes.make_full_update(now)
        ended = {
            crash_history_module.RunKey(c.content, c.server, c.born): c
            for c in update.crashes
            if c.has_ended
        }
        unreported = ended.keys() - self._reported_crashes
        self._reported_crashes = set(ended)
        # Accusations are merged in any order and any number of times.
        return crash_messages.CrashNews(
            self._node,
            tuple(ended[run] for run in sorted(unreported)),
            accusations=tuple(a for a in update.accusations if a.has_ended),
        )

    def _send_to_controls(
        self, update: crash_messages.CrashNews
    ) -> list[interface.EntryEffect]:
        if not (
            update.crashes
            or update.clearances
            or update.accusations
            or update.trait_clearances
        ):
            return []
        return [interface.Send(node, update) for node in self._zone_controls]

    def _refresh(self, now: float) -> list[interface.EntryEffect]:
        for zone, known in list(self._table.zones.items()):
            if (
                zone != self._zone
                and now - known.last_update_at > REMOTE_TABLE_TIMEOUT_S
            ):
                self._table.remove_zone(zone)
        self._health.refresh(
            group for z in self._table.zones.values() for group in z.replicas
        )
        own = self._table.zones.get(self._zone)
        if own is None or now - own.last_update_at > HOLDER_TIMEOUT_S:
            # Another control process may hold the lease now, so digests are
            # sent to all control processes of the zone.
            self._holder = ""
        if own is None or not own.complete:
            return self._request_table(self._zone)
        return []

    def _request_table(self, zone: str) -> list[interface.EntryEffect]:
        request = routing_messages.TableRequest(self._node, zone)
        return [interface.Send(node, request) for node in self._zone_controls]

    def _receive(
        self, sender: str, message: interface.Message, now: float
    ) -> list[interface.EntryEffect]:
        match message:
            case routing_messages.TableUpdate(zone):
                if zone == self._zone:
                    self._holder = sender
                effects: list[interface.EntryEffect] = []
                if self._table.apply_update(message, now):
                    effects += self._request_table(zone)
                return effects + _convert_effects(
                    self._dispatcher.dispatch_all(now)
                )
            case routing_messages.Withdrawal():
                self._table.withdraw(message)
                return []
            case claim_messages.ClaimReply():
                return _convert_effects(
                    self._dispatcher.receive_claim(message, now)
                )
            case member_messages.ResendRequest():
                return _convert_effects(
                    self._announcement_receiver.resend(sender)
                )
            case crash_messages.BlockNews():
                self._guard.apply_blocks(message, now)
                return []
            case config_messages.ConfigurationUpdate():
                self._follower.handle_update(message, now)
                return []
            case config_messages.ChangeReply():
                return self._operations.handle_change_reply(
                    sender, message, now
                )
            case config_messages.IdentityReply():
                return self._operations.handle_identity(message)
            case config_messages.FoundReply():
                return self._operations.handle_bootstrap_reply(message)
            case status.StatusReply():
                return self._operations.handle_status(message, now)
            case status.ExplainRequest(requester, token, request_id):
                reply = self._operations.explain(token, request_id)
                return [
                    interface.Send(sender, attrs.evolve(reply, asker=requester))
                ]
            case status.ExplainReply():
                return self._operations.handle_explanation(message)
            case _:
                # The message is for a control process: an address in the
                # settings is wrong.
                return []

    def _check_stopped(self) -> list[interface.EntryEffect]:
        if (
            self._stopping
            and not self._stopped
            and not self._dispatcher.count_pending()
        ):
            self._stopped = True
            return [interface.Stopped()]
        return []


def _convert_effects(
    effects: Iterable[_ToSend | events.Effect],
) -> list[interface.EntryEffect]:
    """Converts effects of the components to effects of the role."""
    return [
        interface.Send(effect.node, effect.message)
        if isinstance(effect, _ToSend)
        else effect
        for effect in effects
    ]
