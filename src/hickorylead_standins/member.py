"""A backend server's membership in replica groups."""

from __future__ import annotations

import attrs

from hickorylead.membership import announcements
from hickorylead.placement import orders


class Member:
    """The group membership of one VM, as ordered and as announced."""

    def __init__(
        self, state: announcements.ServerState, *, checks_fence: bool
    ) -> None:
        """Creates a server that belongs to no group.

        Args:
            state: Its initial announced state, with name, zone and address.
            checks_fence: Whether it refuses orders with an old fencing number.
        """
        self.state = attrs.evolve(state, checks_fence=checks_fence)
        self._checks_fence = checks_fence

    def apply_order(self, order: orders.Order) -> str:
        """Applies an order; returns why it is refused, or an empty string.

        A member that starts to load is in phase `loading` afterwards; the
        caller then has to call `finish_load` when the load is done.
        """
        state = self.state
        if self._checks_fence and order.fence < state.fence:
            return "old_fence"
        fence = max(state.fence, order.fence)
        match order:
            case orders.Release(group=group):
                if state.group != group:
                    return "not_a_member"
                is_leaving = state.phase == announcements.PHASE_LEAVING
                self.state = attrs.evolve(
                    state,
                    fence=fence,
                    phase=state.phase
                    if is_leaving
                    else announcements.PHASE_IDLE,
                    group="",
                    service="",
                    generation=0,
                    rank=0,
                    size=0,
                )
            case orders.Assign(group=group, generation=generation):
                if state.phase == announcements.PHASE_LEAVING:
                    return "leaving"
                if state.group and state.group != group:
                    return "member_of_another_group"
                if state.group == group and generation < state.generation:
                    return "old_generation"
                is_loaded = state.weights == order.weights and (
                    state.phase != announcements.PHASE_LOADING
                )
                self.state = attrs.evolve(
                    state,
                    fence=fence,
                    phase=(
                        announcements.PHASE_READY
                        if is_loaded
                        else announcements.PHASE_LOADING
                    ),
                    group=group,
                    service=order.service,
                    generation=generation,
                    rank=order.rank,
                    size=len(order.members),
                    weights=order.weights,
                )
        return ""

    def finish_load(self) -> None:
        """Marks the weights as loaded."""
        if self.state.phase == announcements.PHASE_LOADING:
            self.state = attrs.evolve(
                self.state, phase=announcements.PHASE_READY
            )

    def leave(self) -> None:
        """Marks the server as leaving: it accepts no new work."""
        self.state = attrs.evolve(self.state, phase=announcements.PHASE_LEAVING)
