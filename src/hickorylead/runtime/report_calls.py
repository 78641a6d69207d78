"""Calls with which backend servers report their state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.fleet import events, instances

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.runtime import operator_calls


class ReportCalls:
    """Passes reports to the reducer, and waits where it has to decide."""

    def __init__(
        self,
        calls: operator_calls.OperatorCalls,
        apply: Callable[[events.HeartbeatArrived | events.InstanceLeft], None],
    ) -> None:
        """Initializes the calls of one coordinator.

        Args:
            calls: Calls that wait for an outcome.
            apply: Passes an event to the reducer.
        """
        self._calls = calls
        self._apply = apply

    async def receive_heartbeat(
        self, instance: instances.Instance, *, call_id: str
    ) -> bool:
        """Handles a heartbeat; returns whether it may be acknowledged.

        Args:
            instance: What the server reports.
            call_id: Id of the call, unique in the system.
        """
        if instance.phase == instances.PHASE_READY:
            self._apply(events.HeartbeatArrived(instance))
            return True
        event = events.HeartbeatArrived(instance, call_id)
        return bool(await self._calls.wait(call_id, lambda: self._apply(event)))

    async def deregister(self, name: str, born: int, *, call_id: str) -> bool:
        """Records that a server has left for good.

        Args:
            name: The server.
            born: Start time of its incarnation; 0 if it reports none.
            call_id: Id of the call, unique in the system.

        Returns:
            Whether it may be acknowledged.
        """
        event = events.InstanceLeft(name, born, call_id)
        return bool(await self._calls.wait(call_id, lambda: self._apply(event)))
