"""Operators' calls that wait for an answer of the reducer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from hickorylead import notes

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.telemetry import decisions


class OperatorCalls:
    """Calls by their ids; each gets one outcome, None if it is not known."""

    def __init__(self, log: decisions.DecisionLog) -> None:
        """Makes an empty set of calls.

        Args:
            log: Log of decisions.
        """
        self._log = log
        self._pending: dict[str, asyncio.Future[Any]] = {}
        self._is_ended = False

    async def wait(self, call_id: str, begin: Callable[[], None]) -> Any:
        """Returns the outcome of a call.

        Args:
            call_id: Its id.
            begin: Passes the call to the reducer; not called once all calls
                have been ended.
        """
        if self._is_ended:
            return None
        future: asyncio.Future[Any] = asyncio.Future()
        self._pending[call_id] = future
        try:
            begin()
            return await future
        finally:
            del self._pending[call_id]

    def is_pending(self, call_id: str) -> bool:
        """Returns whether a call's handler does not have its outcome yet."""
        return call_id in self._pending

    def complete(self, call_id: str, outcome: Any) -> None:
        """Completes a call."""
        future = self._pending.get(call_id)
        if future is not None and not future.done():
            future.set_result(outcome)

    def give_up(self, why: str) -> None:
        """Completes all calls; whether they take effect is not known.

        Args:
            why: Reason code for the log.
        """
        for call_id, future in self._pending.items():
            if future.done():
                continue
            self._log.write(
                notes.Note(
                    "operator_call_undecided", call_id, {"why": why}, "warning"
                )
            )
            self.complete(call_id, None)

    def end(self, why: str) -> None:
        """Completes all calls, and from now on each new one at once."""
        self._is_ended = True
        self.give_up(why)
