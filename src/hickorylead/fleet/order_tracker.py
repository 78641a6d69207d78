"""The orders that were issued, and how many each server has accepted.

A join names the number of orders that the server must have accepted, and the
server refuses it if it counts another number. So the server itself stops a
planner that has missed another planner's orders, whatever either planner knows.

This holds as long as the number in a join is never higher than what the server
had accepted when it reported that it is free: with a higher number, a join by a
planner with old state could take a server out of a group that serves. So an
order counts only when its effect was reported, or when the server responded
that it has begun. A number that a server reports comes with its group at that
moment. A planner adopts the number only once its own view shows the same group.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.fleet import (
    instances,
    order_effects,
    order_waits,
    orders,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorylead.turns import own_pauses

Effect: TypeAlias = orders.SendOrder | orders.RequestReport

# Time after which an order without a response is sent again first, in seconds:
# above the time-out of an order (0.4 s).
ORDER_RETRY_S = 0.6
# Time for which a server's other orders wait for the response to an order to
# stage, in seconds; responses arrive within a few ms.
RESPONSE_WAIT_S = 0.1
# Time after which an order without a reported effect is sent again, in seconds:
# a heartbeat period and its jitter. Normally a heartbeat reports the effect
# within 2 ms of the order's start.
EFFECT_WAIT_S = 1.6
# Time after which a probe of a server's state is repeated, in seconds. The
# reported state is about 0.25 s old: an earlier probe would show nothing new.
PROBE_INTERVAL_S = 0.3
# Time after which an order to stage without a response is sent again, in
# seconds: the order may have been lost. If the server accepted it after all,
# the server has counted it and refuses the second order.
STAGE_RETRY_S = 2.0
# Time after which a load without an effect has failed, in seconds: almost three
# times the 16 s that the longest load takes alone; with as many loads in
# progress as are allowed, loads took up to 25 s.
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
        sequence: Number of the newest heartbeat known in the first round after
            that response; -1 before that round.
    """

    order: orders.Order
    issued_at: float
    acknowledged: bool = False
    sequence: int = -1


class OrderTracker:
    """Orders of one planner, by server."""

    def __init__(self, *, pauses: own_pauses.OwnPauses | None = None) -> None:
        """Makes a tracker without orders.

        Args:
            pauses: Times at which the process did not handle what servers sent;
                None if there are none.
        """
        self.waits = order_waits.OrderWaits(pauses)
        self._pending: dict[str, _Pending] = {}
        self._accepted: dict[str, int] = {}
        self._contested: set[str] = set()
        self._start_times: dict[str, int] = {}
        # Start times of the loads that any planner ordered, by server.
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
        self.waits.retain(servers.keys())
        self._apply_reports(servers)
        for name, pending in list(self._pending.items()):
            instance = servers[name]
            if order_effects.shows_effect(pending.order, instance):
                # The effect is often reported before the response arrives.
                if not pending.acknowledged:
                    self._increment_accepted(name)
                del self._pending[name]
                self.waits.end_backoff(name)
            elif order_effects.is_pointless(pending.order, instance):
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
                # orders includes the join, so the number may be newer than the
                # group shown here.
                del self._pending[name]
                self._contested.add(name)

    def _clear_previous_incarnations(
        self, servers: Mapping[str, instances.Instance]
    ) -> None:
        """Clears the orders of previous incarnations under the same ids.

        A new incarnation has accepted no orders. With the number of the
        previous incarnation, each order would be refused.
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
            self.waits.end_backoff(name)
        for name in [n for n in self._start_times if n not in servers]:
            del self._start_times[name]

    def _update_loads(self, servers: Mapping[str, instances.Instance]) -> None:
        """Updates which servers are loading, on any planner's order."""
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
        """Handles the response to an order, or that there was none."""
        if event.status:
            self.waits.end_backoff(event.name)
        pending = self._pending.get(event.name)
        if pending is None or pending.order != event.order:
            return
        # Status 200: the server accepted this join when sent earlier.
        is_repeat = event.status == 200 and isinstance(event.order, orders.Join)
        if event.status == 202 or is_repeat:
            if not pending.acknowledged:
                self._increment_accepted(event.name)
            pending.acknowledged = True
        elif event.status >= 400:
            if isinstance(event.order, orders.Join | orders.Stage):
                # Another planner's order arrived first, or a late order of this
                # planner.
                self._contested.add(event.name)
                self._reports.pop(event.name, None)
                self._probed_at[event.name] = self._now
                if event.name in self._empty:
                    # The server has accepted an order, and an empty server gets
                    # only orders to load: a previous incarnation of this
                    # planner started a load. A second load would slow both.
                    self._loading[event.name] = self._now
            del self._pending[event.name]

    def handle_report(self, event: orders.ReportArrived) -> None:
        """Handles the number of accepted orders that a server reports."""
        if event.born != self._start_times.get(event.name, event.born):
            # The report is from another incarnation than the known one.
            return
        if event.accepted is None:
            return
        self.waits.end_backoff(event.name)
        is_contested = event.name in self._contested
        if not is_contested and event.accepted <= self._accepted.get(
            event.name, 0
        ):
            # The report is not new, or older than this planner's last order.
            return
        # Another planner's orders may have moved the server to a group unknown
        # here. If only the number were updated, a join would remove the server
        # from that group.
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
            wait_s = _get_first_wait(pending)
            wait_s *= self.waits.get_backoff(instance.name)
            if self.measure_wait(pending.issued_at) < wait_s:
                return False
            self.waits.record_repeat(instance.name)
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
        # A new incarnation has accepted no orders; only a refusal shows that
        # another planner has issued some. A stage order carries the number:
        # its acceptance shows that no other order was accepted in between.
        expected = (
            self._accepted.get(instance.name, 0)
            if isinstance(order, orders.Join | orders.Stage)
            else None
        )
        self._effects.append(
            orders.SendOrder(instance.name, instance.address, order, expected)
        )
        return True

    def measure_wait(self, since: float) -> float:
        """Returns for how long servers have had time to be heard."""
        return self.waits.measure(since, self._now)

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
            waited_s = self.measure_wait(pending.issued_at)
            return not pending.acknowledged and waited_s < RESPONSE_WAIT_S
        if pending.acknowledged and isinstance(pending.order, orders.Join):
            # The server is in the group, though no heartbeat has reported it
            # yet. The number of accepted orders includes this join; with that
            # number the server would accept another join.
            return True
        return self.measure_wait(pending.issued_at) < EFFECT_WAIT_S

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
        if not isinstance(pending.order, orders.Stage):
            return False
        if pending.acknowledged:
            return self._now - pending.issued_at < STAGE_TIMEOUT_S
        return self.measure_wait(pending.issued_at) < STAGE_RETRY_S

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


def _get_first_wait(pending: _Pending) -> float:
    """Returns after how long an order is sent again first, in seconds."""
    if pending.acknowledged:
        return EFFECT_WAIT_S
    if isinstance(pending.order, orders.Stage):
        return STAGE_RETRY_S
    return ORDER_RETRY_S


def _get_group_key(instance: instances.Instance) -> GroupKey:
    return instance.member.group, instance.member.epoch


def _is_empty(instance: instances.Instance) -> bool:
    return not (instance.staged or instance.last_model or instance.has_group)
