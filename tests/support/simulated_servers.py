"""A simulated backend server that forms groups by the documented interface."""

from __future__ import annotations

import attrs

from hickorylead.fleet import instances, orders

WARM_S = 0.2
STAGED_S = 0.5
# Shorter than the real 12 to 16 s, so that short schedules cover complete
# loads and group lifetimes.
LOAD_S = 1.5
FORM_S = 0.3
# A head aborts its group's streams after waiting this long for its members.
STALL_S = 5.0
MAX_STAGED_MODELS = 1


@attrs.define
class SimulatedServer:
    """One incarnation of a backend server.

    Attributes:
        name: Id of the server.
        zone: Its zone.
        domain: Its fabric domain.
        accepted: Number of orders it has accepted.
        loads: Start times of its loads from the weight store.
        born: Start time of the incarnation in milliseconds; 0 if each
            incarnation has an id of its own.
    """

    name: str
    zone: str = "z1"
    domain: str = "d1"
    address: str = "10.0.0.1:80"
    alive: bool = True
    phase: str = instances.PHASE_READY
    sequence: int = 0
    accepted: int = 0
    highest_epoch: int = 0
    member: instances.Membership = instances.Membership()
    members: tuple[str, ...] = ()
    model: str = ""
    last_model: str = ""
    staged: list[str] = attrs.field(factory=list)
    staging: dict[str, float] = attrs.field(factory=dict)
    ready_at: float = 0.0
    open_at: float = 0.0
    loads: list[float] = attrs.field(factory=list)
    born: int = 0

    def make_heartbeat(self) -> instances.Instance:
        """Returns its next heartbeat."""
        self.sequence += 1
        return instances.Instance(
            name=self.name,
            service="model",
            address=self.address,
            zone=self.zone,
            domain=self.domain,
            phase=self.phase,
            sequence=self.sequence,
            models=(
                (self.model,)
                if self.member.group
                and self.member.state != instances.GROUP_JOINING
                else ()
            ),
            staged=tuple(self.staged),
            member=self.member,
            born=self.born,
        )

    def advance(self, now: float) -> bool:
        """Advances to a time; returns whether the server's state changed."""
        changed = False
        for model, at in list(self.staging.items()):
            if now >= at:
                del self.staging[model]
                self._add_staged(model)
                changed = True
        state = self.member.state
        if state == instances.GROUP_JOINING and now >= self.ready_at:
            self.last_model = self.model
            self._add_staged(self.model)
            self._set_state(instances.GROUP_READY)
            changed = True
        elif state == instances.GROUP_READY and 0 < self.open_at <= now:
            self.open_at = 0.0
            self._set_state(instances.GROUP_OPEN)
            changed = True
        return changed

    def apply_order(
        self, order: orders.Order, expected: int | None, now: float
    ) -> int:
        """Carries out an order; returns the status of the response."""
        if expected is not None and expected != self.accepted:
            return 409
        match order:
            case orders.Join():
                return self._join(order, now)
            case orders.Stage(model):
                if model in self.staged:
                    return 200
                self.accepted += 1
                self.loads.append(now)
                self.staging[model] = now + LOAD_S
                return 202
        if (self.member.group, self.member.epoch) != (
            order.group,
            order.epoch,
        ):
            return 409
        match order:
            case orders.Open():
                if self.member.rank or self.member.state not in (
                    instances.GROUP_READY,
                    instances.GROUP_OPEN,
                ):
                    return 409
                if self.member.state == instances.GROUP_OPEN or self.open_at:
                    return 200
                self.accepted += 1
                self.open_at = now + FORM_S
                return 202
            case orders.Close():
                if self.member.state != instances.GROUP_OPEN:
                    return 409
                self.accepted += 1
                self._set_state(instances.GROUP_READY)
                return 202
            case orders.Leave():
                self.accepted += 1
                self.member = instances.Membership()
                self.open_at = 0.0
                return 200
        raise AssertionError(order)

    def _join(self, order: orders.Join, now: float) -> int:
        if order.epoch < self.highest_epoch:
            return 412
        found = (self.member.group, self.member.epoch)
        if found == (order.group, order.epoch):
            return 200 if self.members == order.members else 412
        self.highest_epoch = order.epoch
        self.accepted += 1
        self.members = order.members
        self.model = order.model
        self.open_at = 0.0
        self.member = instances.Membership(
            order.group,
            order.epoch,
            order.members.index(self.name),
            instances.GROUP_JOINING,
        )
        if self.last_model == order.model:
            self.ready_at = now + WARM_S
        elif order.model in self.staged:
            self.ready_at = now + STAGED_S
        else:
            self.loads.append(now)
            self.ready_at = now + LOAD_S
        return 202

    def _add_staged(self, model: str) -> None:
        if model in self.staged:
            self.staged.remove(model)
        self.staged.append(model)
        del self.staged[:-MAX_STAGED_MODELS]

    def _set_state(self, state: str) -> None:
        self.member = attrs.evolve(self.member, state=state)
