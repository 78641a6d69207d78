"""The orders that were issued, and how many each server has accepted.

A join names the number of orders that the server must have accepted, and the
server refuses it if it counts another number. So the server itself stops a
planner that has missed another planner's orders, whatever state either has.

That holds as long as the number is never higher than what the server had
accepted when it reported that it is free: with a higher one, a join by a
planner with old state could take a server out of a group that serves. So an
order counts only when its effect was reported, or when the server responded
that it has begun. A number that a server reports comes with its group at that
moment. It is adopted only once the planner's view shows the same group.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.fleet import instances, orders

if TYPE_CHECKING:
    from collections.abc import Mapping

Effect: TypeAlias = orders.SendOrder | orders.RequestReport

# An order without a response is sent again after this, in seconds: above the
# time-out of an order (0.4 s).
ORDER_RETRY_S = 0.6
# Other orders wait this long for the response to an order to stage, in seconds;
# responses arrive within a few ms.
RESPONSE_WAIT_S = 0.1
# A heartbeat reports the effect of an order within 2 ms of its start; otherwise
# it is sent again after a heartbeat period and its jitter, in seconds.
EFFECT_WAIT_S = 1.6
# A probe of a server's state is repeated after this, in seconds; the reported
# state is about 0.25 s old, so an earlier probe would show nothing new.
PROBE_INTERVAL_S = 0.3


# An order to stage without a response is sent again after this, in seconds: it
# may have been lost. If it was accepted after all, the server has counted it
# and refuses the second one.
STAGE_RETRY_S = 2.0
# A load without an effect after this has failed, in seconds: almost three times
# the 16 s that the longest takes alone; with as many loads in progress as are
# allowed, loads took up to 25 s.
STAGE_TIMEOUT_S = 45.0

_UNKNOWN = -1

# Name and epoch of a server's group; empty and 0 without a group.
GroupKey: TypeAlias = tuple[str, int]


@attrs.frozen
class _Report:
    """Number of orders a server had accepted, and its group at that moment."""

    accepted: int
    group: GroupKey


@attrs.define
class _Pending:
    """An order in flight.

    Attributes:
        order: The order.
        issued_at: When it was issued.
        acknowledged: Whether the server responded that it has begun.
        sequence: Sequence of the newest heartbeat known when that
            response was handled.
    """

    order: orders.Order
    issued_at: float
    acknowledged: bool = False
    sequence: int = -1


class OrderTracker:
    """Orders of one planner, by server."""

    def __init__(self) -> None:
        """Makes a tracker without orders."""
        self._pending: dict[str, _Pending] = {}
        self._accepted: dict[str, int] = {}
        self._contested: set[str] = set()
        self._start_times: dict[str, int] = {}
        # Start of the loads that any planner ordered, by server.
        self._loading: dict[str, float] = {}
        self._empty: set[str] = set()
        # Reports whose number of orders is adopted once the planner's view of
        # the server shows the reported group.
        self._reports: dict[str, _Report] = {}
        self._probed_at: dict[str, float] = {}
        # Servers whose state is too old to send them orders.
        self._stale: frozenset[str] = frozenset()
        self._effects: list[Effect] = []
        self._now = 0.0

    def begin_round(
        self,
        servers: Mapping[str, instances.Instance],
        now: float,
        *,
        stale: frozenset[str] = frozenset(),
    ) -> None:
        """Begins a round: applies the effects of orders that servers report.

        Args:
            servers: Servers by name.
            now: Present time.
            stale: Servers whose state is too old to send them orders.
        """
        self._now = now
        self._stale = stale
        self._effects = []
        self._empty = {n for n, i in servers.items() if _is_empty(i)}
        self._clear_previous_incarnations(servers)
        self._update_loads(servers)
        for name in [n for n in self._pending if n not in servers]:
            del self._pending[name]
        for name in [n for n in self._accepted if n not in servers]:
            del self._accepted[name]
        for name in [n for n in self._probed_at if n not in servers]:
            del self._probed_at[name]
        self._contested &= servers.keys()
        self._apply_reports(servers)
        for name, pending in list(self._pending.items()):
            instance = servers[name]
            if _shows_effect(pending.order, instance):
                # A heartbeat often shows the effect before the response.
                if not pending.acknowledged:
                    self._increment_accepted(name)
                del self._pending[name]
            elif _is_pointless(pending.order, instance):
                del self._pending[name]
            elif pending.acknowledged and pending.sequence == _UNKNOWN:
                pending.sequence = instance.sequence
            elif (
                pending.acknowledged
                and instance.sequence > pending.sequence
                and isinstance(pending.order, orders.Join)
            ):
                # The server has left the group since, or this heartbeat was
                # sent before the join and arrived late. The number of accepted
                # orders includes the join, so it may be newer than the group
                # shown here.
                del self._pending[name]
                self._contested.add(name)

    def _clear_previous_incarnations(
        self, servers: Mapping[str, instances.Instance]
    ) -> None:
        """Clears the orders of previous incarnations under the same ids.

        A new incarnation has accepted no orders. With the number of the
        previous one, each order would be refused.
        """
        for name, instance in servers.items():
            previous = self._start_times.get(name, instance.born)
            self._start_times[name] = instance.born
            if previous == instance.born:
                continue
            self._pending.pop(name, None)
            self._loading.pop(name, None)
            self._accepted.pop(name, None)
            self._reports.pop(name, None)
            self._probed_at.pop(name, None)
            self._contested.discard(name)
        for name in [n for n in self._start_times if n not in servers]:
            del self._start_times[name]

    def _update_loads(self, servers: Mapping[str, instances.Instance]) -> None:
        """Updates which servers are loading, whichever planner ordered it."""
        found = {
            name: at
            for name, at in self._loading.items()
            if name in servers
            and (servers[name].loading or _is_empty(servers[name]))
        }
        for name, instance in servers.items():
            if instance.loading:
                found.setdefault(name, self._now)
        self._loading = found

    def _apply_reports(self, servers: Mapping[str, instances.Instance]) -> None:
        for name, report in list(self._reports.items()):
            instance = servers.get(name)
            if instance is None:
                del self._reports[name]
            elif report.group == _get_group_key(instance):
                # Only orders change a server's group, so the server refuses a
                # join with this number if its group has changed since.
                self._accepted[name] = report.accepted
                del self._reports[name]
                self._contested.discard(name)

    def end_round(self) -> list[Effect]:
        """Ends a round; returns the orders issued in it."""
        return self._effects

    def handle_response(self, event: orders.OrderAnswered) -> None:
        """Handles the response to an order."""
        pending = self._pending.get(event.name)
        if pending is None or pending.order != event.order:
            return
        # Status 200: the server accepted this join when it was sent before.
        is_repeat = event.status == 200 and isinstance(event.order, orders.Join)
        if event.status == 202 or is_repeat:
            if not pending.acknowledged:
                self._increment_accepted(event.name)
            pending.acknowledged = True
        elif event.status >= 400:
            if isinstance(event.order, orders.Join | orders.Stage):
                # Another planner's order arrived first, or a late one of this
                # planner.
                self._contested.add(event.name)
                self._reports.pop(event.name, None)
                self._probed_at[event.name] = self._now
                if event.name in self._empty:
                    # It has accepted an order, and an empty server gets no
                    # orders but loads: a previous incarnation of this planner
                    # started one. A second load would slow down both.
                    self._loading[event.name] = self._now
            del self._pending[event.name]

    def handle_report(self, event: orders.ReportArrived) -> None:
        """Handles the number of accepted orders that a server reports."""
        if event.born != self._start_times.get(event.name, event.born):
            # From another incarnation than the one that is planned for.
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
        # here. With only the number updated, a join would remove it from that
        # group.
        self._contested.add(event.name)
        group = (event.member.group, event.member.epoch)
        self._reports[event.name] = _Report(event.accepted, group)

    def issue_order(
        self, instance: instances.Instance, order: orders.Order
    ) -> bool:
        """Issues an order unless it is in flight or the server is stale.

        Returns:
            Whether the order was issued.
        """
        if self.is_stale(instance):
            return False
        if (
            isinstance(order, orders.Join | orders.Stage)
            and instance.name in self._contested
        ):
            self._probe(instance)
            return False
        pending = self._pending.get(instance.name)
        if pending is not None and pending.order == order:
            wait_s = EFFECT_WAIT_S if pending.acknowledged else ORDER_RETRY_S
            if self._now - pending.issued_at < wait_s:
                return False
        renewed = _Pending(order, self._now)
        if pending is not None and pending.order == order:
            # A join that was acknowledged once stays acknowledged. Otherwise,
            # if the join is sent again to a server whose heartbeats do not
            # arrive here, and gets no response this time, it would count as
            # never accepted. But the tracked number of accepted orders includes
            # this join, so the server would accept another join with that
            # number and leave its group.
            renewed.acknowledged = pending.acknowledged
            renewed.sequence = pending.sequence
        self._pending[instance.name] = renewed
        # An incarnation starts without orders; only a refusal shows that
        # another planner has issued some. Staging names the number, too: its
        # acceptance then shows that no other order was accepted in between.
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
        """Returns whether a server's state is too old to send it orders."""
        return instance.name in self._stale

    def is_contested(self, instance: instances.Instance) -> bool:
        """Returns whether the server must be probed before it can join."""
        if instance.name not in self._contested:
            return False
        self._probe(instance)
        return True

    def is_busy(self, instance: instances.Instance) -> bool:
        """Returns whether an order in flight conflicts with a new one."""
        pending = self._pending.get(instance.name)
        if pending is None:
            return False
        if isinstance(pending.order, orders.Stage):
            # Before the response the number of accepted orders is not known.
            wait_s = self._now - pending.issued_at
            return not pending.acknowledged and wait_s < RESPONSE_WAIT_S
        if pending.acknowledged and isinstance(pending.order, orders.Join):
            # It is in the group, though no heartbeat has reported it yet. The
            # number includes this join; with it the server would accept another
            # one.
            return True
        return self._now - pending.issued_at < EFFECT_WAIT_S

    def is_loading(self, instance: instances.Instance) -> bool:
        """Returns whether the server is loading, on any planner's order."""
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
        return since is not None and self._now - since < STAGE_TIMEOUT_S

    def _is_load(self, pending: _Pending) -> bool:
        wait_s = STAGE_TIMEOUT_S if pending.acknowledged else STAGE_RETRY_S
        return (
            isinstance(pending.order, orders.Stage)
            and self._now - pending.issued_at < wait_s
        )

    def _probe(self, instance: instances.Instance) -> None:
        if (
            self._now - self._probed_at.get(instance.name, -1e9)
            < PROBE_INTERVAL_S
        ):
            return
        self._probed_at[instance.name] = self._now
        self._effects.append(
            orders.RequestReport(instance.name, instance.address)
        )

    def _increment_accepted(self, name: str) -> None:
        self._accepted[name] = self._accepted.get(name, 0) + 1


def _get_group_key(instance: instances.Instance) -> GroupKey:
    return instance.member.group, instance.member.epoch


def _is_empty(instance: instances.Instance) -> bool:
    return not (instance.staged or instance.last_model or instance.has_group)


def _shows_effect(order: orders.Order, instance: instances.Instance) -> bool:
    """Returns whether a server reports the effect of an order."""
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
    """Returns whether a server has left the group of an order."""
    match order:
        case orders.Open(group, epoch) | orders.Close(group, epoch):
            member = instance.member
            return (member.group, member.epoch) != (group, epoch)
        case _:
            return False
