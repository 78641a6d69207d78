"""The reducer of an entry.

It hears backend servers, follows the configuration and the replica table,
serves callers' requests, and speaks with operators.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

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

REMOTE_SILENCE_S = 10.0
REFRESH_PERIOD_S = 1.0
HOLDER_SILENCE_S = 2.5

_ToSend: TypeAlias = (
    claim_messages.Send
    | config_messages.Send
    | member_messages.Send
    | routing_messages.Send
)


@attrs.frozen
class Identity:
    """Who an entry is.

    Attributes:
        node: Its name.
        control_nodes: All control processes of all zones, by the settings.
    """

    node: str
    control_nodes: tuple[str, ...]


class Entry:
    """State of one entry."""

    def __init__(self, identity: Identity, *, rng: random.Random) -> None:
        """Makes an entry that has just started.

        Args:
            identity: Who it is.
            rng: Source of the draws of replicas.
        """
        self._zone = nodes.get_zone(identity.node)
        self._node = identity.node
        by_zone = nodes.group_by_zone(identity.control_nodes)
        self._zone_controls = by_zone.get(self._zone, ())
        self._follower = follower_module.Follower(
            node=identity.node, controls=self._zone_controls
        )
        self._listener = announcement_receiver.AnnouncementReceiver(
            entry=identity.node, controls=self._zone_controls
        )
        self._table = table_module.ReplicaTable()
        self._book = health.HealthTracker()
        # An entry finds out itself which replicas ended, from the table of all
        # zones. So it is its own home; control processes join what all found.
        self._guard = crash_guard_module.CrashGuard(identity.node)
        self._crashes = crash_tracker_module.CrashTracker(identity.node)
        self._told_crashes: set[crash_history_module.RunKey] = set()
        self._seen_crashes = 0
        self._next_retell = 0.0
        self._dispatcher = dispatcher_module.Dispatcher(
            entry=identity.node,
            controls=by_zone,
            table=self._table,
            book=self._book,
            policy=policy_module.LoadBalancingPolicy(
                zone=self._zone, table=self._table, book=self._book, rng=rng
            ),
            guard=self._guard,
        )
        self._operations = operations.Operations(
            node=identity.node,
            controls=identity.control_nodes,
            follower=self._follower,
            trails=self._dispatcher.trails,
        )
        # The control process that the replica table comes from.
        self._holder = ""
        self._next_refresh = 0.0
        self._stopping = False
        self._stopped = False

    @property
    def configuration(self) -> config_messages.model.Configuration:
        """The configuration that this entry follows."""
        return self._follower.configuration

    @property
    def dispatcher(self) -> dispatcher_module.Dispatcher:
        """The requests of this entry."""
        return self._dispatcher

    @property
    def table(self) -> table_module.ReplicaTable:
        """The replicas that this entry may use."""
        return self._table

    def is_ready(self) -> bool:
        """Says whether callers may be sent here.

        Without a configuration that is surely the one in force, or without
        the replicas of its zone, an entry would refuse what others serve.
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
        """Handles one event and returns what is to be done."""
        match event:
            case (
                events.RequestArrived()
                | events.CallerDisconnected()
                | events.FrameArrived()
                | events.AnswerArrived()
                | events.AttemptFailed()
            ):
                effects = _wrap(
                    self._dispatcher.handle(event, self.configuration, now)
                )
                return effects + self._check_stopped()
            case interface.Tick():
                return self._tick(now)
            case interface.MessageArrived(sender, message):
                return self._receive(sender, message, now)
            case interface.AnnouncementArrived(announcement):
                return _wrap(self._listener.receive(announcement, now))
            case interface.ChangeSubmitted(change):
                return self._operations.submit(change, now)
            case interface.StatusRequested(token):
                return self._operations.ask_status(token, now)
            case interface.ExplainRequested(token, request_id):
                return self._operations.ask_explain(token, request_id, now)
            case interface.BootstrapRequested(cluster):
                return self._operations.ask_founding(cluster, now)
            case interface.StopRequested():
                self._stopping = True
                self._dispatcher.draining = True
                return self._check_stopped()

    def _tick(self, now: float) -> list[interface.EntryEffect]:
        effects = _wrap(self._follower.poll(now))
        own = self._table.zones.get(self._zone)
        effects += _wrap(
            self._listener.tick(
                now,
                configuration=self._follower.version,
                fence=own.fence if own else 0,
                holder=self._holder,
            )
        )
        if now >= self._next_refresh:
            self._next_refresh = now + REFRESH_PERIOD_S
            effects += self._refresh(now)
        effects += self._block(now)
        effects += _wrap(self._dispatcher.tick(now))
        effects += self._operations.tick(now)
        return effects + self._check_stopped()

    def _block(self, now: float) -> list[interface.EntryEffect]:
        """Finds the requests under which too many replicas ended."""
        effects: list[interface.EntryEffect] = []
        for _, news in self._guard.collect_messages(self._node, now):
            self._crashes.merge(news, (), now)
            if news.clearances:
                cleared = attrs.evolve(news, crashes=())
                effects += self._tell_controls(cleared)

        def has_ended(life: crash_history_module.Incarnation) -> bool:
            return self._table.was_removed(life.server)

        sent, written = self._crashes.tick(has_ended, (self._node,), now)
        for _, told in sent:
            if isinstance(told, crash_messages.BlockNews):
                self._guard.apply_blocks(told, now)
        return [*effects, *written, *self._tell_crashes(now)]

    def _tell_crashes(self, now: float) -> list[interface.EntryEffect]:
        """Tells which requests ended replicas, at once and some again later.

        Control processes keep it in memory only; one that restarts has back
        what is blocked with the next time.
        """
        effects: list[interface.EntryEffect] = []
        if self._crashes.digest != self._seen_crashes:
            self._seen_crashes = self._crashes.digest
            effects += self._tell_controls(self._find_untold(now))
        if now >= self._next_retell:
            self._next_retell = now + crash_tracker_module.RETELL_PERIOD_S
            effects += self._tell_controls(
                self._crashes.make_evidence_update(now)
            )
        return effects

    def _find_untold(self, now: float) -> crash_messages.CrashNews:
        """Returns the ended runs that no control process was told yet."""
        news = self._crashes.make_full_update(now)
        ended = {
            crash_history_module.RunKey(c.content, c.server, c.born): c
            for c in news.crashes
            if c.has_ended
        }
        untold = ended.keys() - self._told_crashes
        self._told_crashes = set(ended)
        return crash_messages.CrashNews(
            self._node, tuple(ended[run] for run in sorted(untold))
        )

    def _tell_controls(
        self, news: crash_messages.CrashNews
    ) -> list[interface.EntryEffect]:
        if not news.crashes and not news.clearances:
            return []
        return [interface.Send(node, news) for node in self._zone_controls]

    def _refresh(self, now: float) -> list[interface.EntryEffect]:
        for zone, known in list(self._table.zones.items()):
            if (
                zone != self._zone
                and now - known.last_update_at > REMOTE_SILENCE_S
            ):
                self._table.remove_zone(zone)
        self._book.refresh(
            group for z in self._table.zones.values() for group in z.replicas
        )
        own = self._table.zones.get(self._zone)
        if own is None or now - own.last_update_at > HOLDER_SILENCE_S:
            # Another process may hold the lease now: tell all of them.
            self._holder = ""
        if own is None or not own.complete:
            return self._ask_table(self._zone)
        return []

    def _ask_table(self, zone: str) -> list[interface.EntryEffect]:
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
                    effects += self._ask_table(zone)
                return effects + _wrap(self._dispatcher.dispatch_all(now))
            case routing_messages.Withdrawal():
                self._table.withdraw(message)
                return []
            case claim_messages.ClaimReply():
                return _wrap(self._dispatcher.receive_claim(message, now))
            case member_messages.ResendRequest():
                return _wrap(self._listener.resend(sender))
            case crash_messages.BlockNews():
                self._guard.apply_blocks(message, now)
                return []
            case config_messages.ConfigurationUpdate():
                self._follower.receive(message, now)
                return []
            case config_messages.ChangeReply():
                return self._operations.receive_reply(sender, message, now)
            case config_messages.IdentityReply():
                return self._operations.receive_identity(message)
            case config_messages.FoundReply():
                return self._operations.receive_founding(message)
            case status.StatusReply():
                return self._operations.receive_status(message, now)
            case status.ExplainRequest(asker, token, request_id):
                reply = self._operations.explain(token, request_id)
                return [
                    interface.Send(sender, attrs.evolve(reply, asker=asker))
                ]
            case status.ExplainReply():
                return self._operations.receive_explain(message)
            case _:
                # Meant for a control process; a wrong address in settings.
                return []

    def _check_stopped(self) -> list[interface.EntryEffect]:
        if (
            self._stopping
            and not self._stopped
            and not self._dispatcher.count_open()
        ):
            self._stopped = True
            return [interface.Stopped()]
        return []


def _wrap(
    effects: Iterable[_ToSend | events.Effect],
) -> list[interface.EntryEffect]:
    """Returns the effects of the parts as effects of the role."""
    return [
        interface.Send(effect.node, effect.message)
        if isinstance(effect, _ToSend)
        else effect
        for effect in effects
    ]
