"""The orders that were given, and how many each server has accepted.

A server refuses a join that names another number of accepted orders than it
counts. So a planner that does not know of another one's orders is stopped by
the server itself, whatever either believes.

That holds as long as the number is never higher than what the server had
accepted when it told that it is free: with a higher one, a join by a planner
whose news are old could take a server out of a group that serves. So an order
counts only when its effect was told, or was answered as begun. A number that
a server reports comes with its group at that moment. It is adopted only once
the planner's view of the server shows the same group.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.fleet import instances, orders

if TYPE_CHECKING:
    from collections.abc import Mapping

Effect: TypeAlias = orders.SendOrder | orders.RequestReport

# An order that was not answered is given again after this, in seconds: above
# the time-out of an order (0.4 s).
ORDER_RETRY_S = 0.6
# Answers come within some ms, in seconds.
ANSWER_WAIT_S = 0.1
# What an order began is told by a heartbeat within 2 ms (trial runs); without
# one it is given again after a heartbeat period and its spread, in seconds.
EFFECT_WAIT_S = 1.6
# A question for a server's state is put again after this, in seconds; what it
# answers is about 0.25 s old, so an earlier one would show no news.
PROBE_INTERVAL_S = 0.3


# An order to stage that was not answered is given again after this, in seconds:
# it may have been lost. If it was taken after all, the server counts it and
# refuses the second one.
STAGE_RETRY_S = 2.0
# A load that shows no effect for this long has failed, in seconds: almost three
# times the 16 s that the longest takes alone; under way with as many others as
# are allowed 25 s were seen.
STAGE_LIMIT_S = 45.0

_NOT_SEEN = -1

# Name and epoch of a server's group; empty and 0 without a group.
GroupKey: TypeAlias = tuple[str, int]


@attrs.frozen
class _Report:
    """Number of orders a server had accepted, and its group at that moment."""

    accepted: int
    group: GroupKey


@attrs.define
class _Pending:
    """An order under way.

    Attributes:
        order: The order.
        given_at: When it was given.
        answered: Whether the server answered that it has begun.
        heartbeat: Heartbeat known when that answer was taken.
    """

    order: orders.Order
    given_at: float
    answered: bool = False
    heartbeat: int = -1


class OrderTracker:
    """Orders of one planner, by server."""

    def __init__(self) -> None:
        """Makes a ledger without orders."""
        self._pending: dict[str, _Pending] = {}
        self._accepted: dict[str, int] = {}
        self._contested: set[str] = set()
        self._born: dict[str, int] = {}
        # Servers that load what some planner ordered, since when.
        self._loading: dict[str, float] = {}
        self._empty: set[str] = set()
        # Reports whose number of orders is adopted once the planner's view of
        # the server shows the reported group.
        self._reported: dict[str, _Report] = {}
        self._asked: dict[str, float] = {}
        # Servers not heard of recently enough to get orders.
        self._stale: frozenset[str] = frozenset()
        self._effects: list[Effect] = []
        self._now = 0.0

    def begin_round(
        self,
        everyone: Mapping[str, instances.Instance],
        now: float,
        *,
        stale: frozenset[str] = frozenset(),
    ) -> None:
        """Begins a round: takes what servers tell of the orders' effects.

        Args:
            everyone: Servers by name.
            now: Present time.
            stale: Servers not heard of recently enough to get orders.
        """
        self._now = now
        self._stale = stale
        self._effects = []
        self._empty = {n for n, i in everyone.items() if _is_empty(i)}
        self._forget_former(everyone)
        self._note_loading(everyone)
        for name in [n for n in self._pending if n not in everyone]:
            del self._pending[name]
        for name in [n for n in self._accepted if n not in everyone]:
            del self._accepted[name]
        for name in [n for n in self._asked if n not in everyone]:
            del self._asked[name]
        self._contested &= everyone.keys()
        self._settle_reports(everyone)
        for name, pending in list(self._pending.items()):
            instance = everyone[name]
            if _shows_effect(pending.order, instance):
                # A heartbeat often tells the effect before the answer comes.
                if not pending.answered:
                    self._count(name)
                del self._pending[name]
            elif _is_pointless(pending.order, instance):
                del self._pending[name]
            elif pending.answered and pending.heartbeat == _NOT_SEEN:
                pending.heartbeat = instance.sequence
            elif (
                pending.answered
                and instance.sequence > pending.heartbeat
                and isinstance(pending.order, orders.Join)
            ):
                # The server has left the group since, or this heartbeat was
                # sent before the join and arrived late. The number includes
                # the join, so it may be newer than the group shown here.
                del self._pending[name]
                self._contested.add(name)

    def _forget_former(
        self, everyone: Mapping[str, instances.Instance]
    ) -> None:
        """Forgets what was ordered of former lives under the same ids.

        A life that begins has accepted nothing. With the number of the former
        one, each order would be refused.
        """
        for name, instance in everyone.items():
            before = self._born.get(name, instance.born)
            self._born[name] = instance.born
            if before == instance.born:
                continue
            self._pending.pop(name, None)
            self._loading.pop(name, None)
            self._accepted.pop(name, None)
            self._reported.pop(name, None)
            self._asked.pop(name, None)
            self._contested.discard(name)
        for name in [n for n in self._born if n not in everyone]:
            del self._born[name]

    def _note_loading(self, everyone: Mapping[str, instances.Instance]) -> None:
        """Takes which servers load what any planner ordered."""
        found = {
            name: at
            for name, at in self._loading.items()
            if name in everyone
            and (everyone[name].loading or _is_empty(everyone[name]))
        }
        for name, instance in everyone.items():
            if instance.loading:
                found.setdefault(name, self._now)
        self._loading = found

    def _settle_reports(
        self, everyone: Mapping[str, instances.Instance]
    ) -> None:
        for name, report in list(self._reported.items()):
            instance = everyone.get(name)
            if instance is None:
                del self._reported[name]
            elif report.group == _get_group_key(instance):
                # Only orders change a server's group, so the server refuses a
                # join with this number if its group has changed since.
                self._accepted[name] = report.accepted
                del self._reported[name]
                self._contested.discard(name)

    def end_round(self) -> list[Effect]:
        """Ends a round; returns the orders given in it."""
        return self._effects

    def handle_response(self, event: orders.OrderAnswered) -> None:
        """Takes the answer to an order."""
        pending = self._pending.get(event.name)
        if pending is None or pending.order != event.order:
            return
        # A join that holds already was taken when it was given before.
        holds = event.status == 200 and isinstance(event.order, orders.Join)
        if event.status == 202 or holds:
            if not pending.answered:
                self._count(event.name)
            pending.answered = True
        elif event.status >= 400:
            if isinstance(event.order, orders.Join | orders.Stage):
                # Another planner's order came first, or a late one of ours.
                self._contested.add(event.name)
                self._reported.pop(event.name, None)
                self._asked[event.name] = self._now
                if event.name in self._empty:
                    # It has accepted an order, and nothing but a load is
                    # ordered of an empty server: a former life of this planner
                    # began it. A second one would slow down both.
                    self._loading[event.name] = self._now
            del self._pending[event.name]

    def handle_report(self, event: orders.ReportArrived) -> None:
        """Takes how many orders a server says it has accepted."""
        if event.born != self._born.get(event.name, event.born):
            # Of another life than the one that is planned for.
            return
        if event.accepted is None:
            return
        is_contested = event.name in self._contested
        if not is_contested and event.accepted <= self._accepted.get(
            event.name, 0
        ):
            # Nothing new, or a report older than this planner's last order.
            return
        # Another planner's orders may have moved the server to a group unknown
        # here. With only the number updated, a join would remove it from there.
        self._contested.add(event.name)
        group = (event.member.group, event.member.epoch)
        self._reported[event.name] = _Report(event.accepted, group)

    def issue_order(
        self, instance: instances.Instance, order: orders.Order
    ) -> bool:
        """Gives an order unless it is under way or the server is stale.

        Returns:
            Whether it did.
        """
        if self.is_stale(instance):
            return False
        if (
            isinstance(order, orders.Join | orders.Stage)
            and instance.name in self._contested
        ):
            self._ask(instance)
            return False
        pending = self._pending.get(instance.name)
        if pending is not None and pending.order == order:
            wait_s = EFFECT_WAIT_S if pending.answered else ORDER_RETRY_S
            if self._now - pending.given_at < wait_s:
                return False
        renewed = _Pending(order, self._now)
        if pending is not None and pending.order == order:
            # A join that was taken once stays known as taken. Given again to a
            # server whose heartbeats do not come here, and not answered this
            # time, it would seem never to have begun; but the number counts
            # it, so another join would take the server out of its group.
            renewed.answered = pending.answered
            renewed.heartbeat = pending.heartbeat
        self._pending[instance.name] = renewed
        # A life begins without orders; only a refusal shows that another
        # planner gave some. Staging names the number, too: that it was taken
        # then shows that nothing came in between.
        expected = (
            self._accepted.get(instance.name, 0)
            if isinstance(order, orders.Join | orders.Stage)
            else None
        )
        self._effects.append(
            orders.SendOrder(instance.name, instance.address, order, expected)
        )
        return True

    def is_stale(self, instance: instances.Instance) -> bool:
        """Says whether a server's state is too old to give it orders."""
        return instance.name in self._stale

    def is_contested(self, instance: instances.Instance) -> bool:
        """Says whether the server must be asked before it can join."""
        if instance.name not in self._contested:
            return False
        self._ask(instance)
        return True

    def is_busy(self, instance: instances.Instance) -> bool:
        """Says whether an order is under way that would come in between."""
        pending = self._pending.get(instance.name)
        if pending is None:
            return False
        if isinstance(pending.order, orders.Stage):
            # Until it is answered the number of accepted orders is not known.
            wait_s = self._now - pending.given_at
            return not pending.answered and wait_s < ANSWER_WAIT_S
        if pending.answered and isinstance(pending.order, orders.Join):
            # It is in the group, though no heartbeat has told so yet. The
            # number counts this join; with it another one would be taken.
            return True
        return self._now - pending.given_at < EFFECT_WAIT_S

    def is_staging(self, instance: instances.Instance) -> bool:
        """Says whether the server was told to stage a model, and has not."""
        return self._is_loading(instance.name)

    def list_loading(self) -> list[str]:
        """Returns the servers, of any planner, that load from the store."""
        names = self._pending.keys() | self._loading.keys()
        return [name for name in names if self._is_loading(name)]

    def _is_loading(self, name: str) -> bool:
        pending = self._pending.get(name)
        if pending is not None and self._is_load(pending):
            return True
        since = self._loading.get(name)
        return since is not None and self._now - since < STAGE_LIMIT_S

    def _is_load(self, pending: _Pending) -> bool:
        wait_s = STAGE_LIMIT_S if pending.answered else STAGE_RETRY_S
        return (
            isinstance(pending.order, orders.Stage)
            and self._now - pending.given_at < wait_s
        )

    def _ask(self, instance: instances.Instance) -> None:
        if self._now - self._asked.get(instance.name, -1e9) < PROBE_INTERVAL_S:
            return
        self._asked[instance.name] = self._now
        self._effects.append(
            orders.RequestReport(instance.name, instance.address)
        )

    def _count(self, name: str) -> None:
        self._accepted[name] = self._accepted.get(name, 0) + 1


def _get_group_key(instance: instances.Instance) -> GroupKey:
    return instance.member.group, instance.member.epoch


def _is_empty(instance: instances.Instance) -> bool:
    return not (instance.staged or instance.last_model or instance.has_group)


def _shows_effect(order: orders.Order, instance: instances.Instance) -> bool:
    """Says whether a server tells that an order has had its effect."""
    member = instance.member
    found = (member.group, member.epoch)
    match order:
        case orders.Join(group, epoch):
            return found == (group, epoch)
        case orders.Open(group, epoch):
            return (
                found == (group, epoch) and member.state == instances.GROUP_OPEN
            )
        case orders.Close(group, epoch):
            return found == (group, epoch) and member.state in (
                instances.GROUP_CLOSING,
                instances.GROUP_READY,
            )
        case orders.Leave(group, epoch):
            return found != (group, epoch)
        case orders.Stage(model):
            return model in instance.staged


def _is_pointless(order: orders.Order, instance: instances.Instance) -> bool:
    """Says whether a server has left the group that an order is about."""
    match order:
        case orders.Open(group, epoch) | orders.Close(group, epoch):
            member = instance.member
            return (member.group, member.epoch) != (group, epoch)
        case _:
            return False
