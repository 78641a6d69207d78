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
    exchange as exchange_module,
    guard as guard_module,
    ledger as ledger_module,
    messages as crash_messages,
)
from hickorylead.membership import listener, messages as member_messages
from hickorylead.requests import dispatcher as dispatcher_module, events
from hickorylead.roles import nodes, operations, seam, status
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
        controls: All control processes of all zones, by the settings.
    """

    node: str
    controls: tuple[str, ...]


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
        by_zone = nodes.group_by_zone(identity.controls)
        self._zone_controls = by_zone.get(self._zone, ())
        self._follower = follower_module.Follower(
            node=identity.node, controls=self._zone_controls
        )
        self._listener = listener.Listener(
            entry=identity.node, controls=self._zone_controls
        )
        self._table = table_module.Table()
        self._book = health.HealthBook()
        # An entry finds out itself which replicas ended, from the table of all
        # zones. So it is its own home; control processes join what all found.
        self._guard = guard_module.Guard(identity.node)
        self._crashes = exchange_module.Exchange(identity.node)
        self._told_crashes: set[ledger_module.Run] = set()
        self._seen_crashes = 0
        self._next_retell = 0.0
        self._dispatcher = dispatcher_module.Dispatcher(
            entry=identity.node,
            controls=by_zone,
            table=self._table,
            book=self._book,
            policy=policy_module.Policy(
                zone=self._zone, table=self._table, book=self._book, rng=rng
            ),
            guard=self._guard,
        )
        self._operations = operations.Operations(
            node=identity.node,
            controls=identity.controls,
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
    def table(self) -> table_module.Table:
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
        self, event: seam.EntryEvent, now: float
    ) -> list[seam.EntryEffect]:
        """Handles one event and returns what is to be done."""
        match event:
            case (
                events.Arrive()
                | events.CallerLeft()
                | events.FrameArrived()
                | events.AnswerArrived()
                | events.AttemptFailed()
            ):
                effects = _wrap(
                    self._dispatcher.handle(event, self.configuration, now)
                )
                return effects + self._check_stopped()
            case seam.Tick():
                return self._tick(now)
            case seam.MessageArrived(sender, message):
                return self._receive(sender, message, now)
            case seam.AnnouncementArrived(announcement):
                return _wrap(self._listener.hear(announcement, now))
            case seam.ChangeSubmitted(change):
                return self._operations.submit(change, now)
            case seam.StatusAsked(token):
                return self._operations.ask_status(token, now)
            case seam.ExplainAsked(token, request_id):
                return self._operations.ask_explain(token, request_id, now)
            case seam.FoundingAsked(cluster):
                return self._operations.ask_founding(cluster, now)
            case seam.StopAsked():
                self._stopping = True
                self._dispatcher.draining = True
                return self._check_stopped()

    def _tick(self, now: float) -> list[seam.EntryEffect]:
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

    def _block(self, now: float) -> list[seam.EntryEffect]:
        """Finds the requests under which too many replicas ended."""
        effects: list[seam.EntryEffect] = []
        for _, news in self._guard.tell(self._node, now):
            self._crashes.take(news, (), now)
            if news.clearances:
                cleared = attrs.evolve(news, crashes=())
                effects += self._tell_controls(cleared)

        def has_ended(life: ledger_module.Life) -> bool:
            return self._table.has_lost(life.server)

        sent, written = self._crashes.tick(has_ended, (self._node,), now)
        for _, told in sent:
            if isinstance(told, crash_messages.BlockNews):
                self._guard.take(told, now)
        return [*effects, *written, *self._tell_crashes(now)]

    def _tell_crashes(self, now: float) -> list[seam.EntryEffect]:
        """Tells which requests ended replicas, at once and some again later.

        Control processes keep it in memory only; one that restarts has back
        what is blocked with the next time.
        """
        effects: list[seam.EntryEffect] = []
        if self._crashes.check != self._seen_crashes:
            self._seen_crashes = self._crashes.check
            effects += self._tell_controls(self._find_untold(now))
        if now >= self._next_retell:
            self._next_retell = now + exchange_module.RETELL_PERIOD_S
            effects += self._tell_controls(self._crashes.describe_proof(now))
        return effects

    def _find_untold(self, now: float) -> crash_messages.CrashNews:
        """Returns the ended runs that no control process was told yet."""
        news = self._crashes.describe_all(now)
        ended = {
            ledger_module.Run(c.content, c.server, c.born): c
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
    ) -> list[seam.EntryEffect]:
        if not news.crashes and not news.clearances:
            return []
        return [seam.Send(node, news) for node in self._zone_controls]

    def _refresh(self, now: float) -> list[seam.EntryEffect]:
        for zone, known in list(self._table.zones.items()):
            if zone != self._zone and now - known.heard_at > REMOTE_SILENCE_S:
                self._table.forget_zone(zone)
        self._book.refresh(
            group for z in self._table.zones.values() for group in z.replicas
        )
        own = self._table.zones.get(self._zone)
        if own is None or now - own.heard_at > HOLDER_SILENCE_S:
            # Another process may hold the lease now: tell all of them.
            self._holder = ""
        if own is None or not own.complete:
            return self._ask_table(self._zone)
        return []

    def _ask_table(self, zone: str) -> list[seam.EntryEffect]:
        request = routing_messages.TableRequest(self._node, zone)
        return [seam.Send(node, request) for node in self._zone_controls]

    def _receive(
        self, sender: str, message: seam.Message, now: float
    ) -> list[seam.EntryEffect]:
        match message:
            case routing_messages.TableUpdate(zone):
                if zone == self._zone:
                    self._holder = sender
                effects: list[seam.EntryEffect] = []
                if self._table.update(message, now):
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
                self._guard.take(message, now)
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
                return [seam.Send(sender, attrs.evolve(reply, asker=asker))]
            case status.ExplainReply():
                return self._operations.receive_explain(message)
            case _:
                # Meant for a control process; a wrong address in settings.
                return []

    def _check_stopped(self) -> list[seam.EntryEffect]:
        if (
            self._stopping
            and not self._stopped
            and not self._dispatcher.count_open()
        ):
            self._stopped = True
            return [seam.Stopped()]
        return []


def _wrap(
    effects: Iterable[_ToSend | events.Effect],
) -> list[seam.EntryEffect]:
    """Returns the effects of the parts as effects of the role."""
    return [
        seam.Send(effect.node, effect.message)
        if isinstance(effect, _ToSend)
        else effect
        for effect in effects
    ]
