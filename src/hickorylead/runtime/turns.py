"""Runs the work of a process in the order of its urgency."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING, Any, TypeAlias

from hickorylead.runtime import clock
from hickorylead.turns import work_queue

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.runtime import tasks
    from hickorylead.telemetry import turn_costs

Work: TypeAlias = "Callable[[], None]"


class Turns:
    """Calls functions, urgent ones first, and lets sockets be read between."""

    def __init__(
        self, log: tasks.WarningLog, costs: turn_costs.TurnCosts | None = None
    ) -> None:
        """Makes a runner without work.

        Args:
            log: Log for failures, with their place.
            costs: Account of the time that work waits, if there is one.
        """
        self._log = log
        self._costs = costs
        self._queue: work_queue.WorkQueue[Work] = work_queue.WorkQueue()
        self._is_scheduled = False
        self._is_turn_over = False

    def add(self, lane: work_queue.Lane, work: Work) -> None:
        """Adds work to a lane; it is called in a turn of the event loop."""
        self._queue.add(lane, work, clock.read_monotonic())
        self._schedule()

    async def wait_for_turn(self, lane: work_queue.Lane) -> None:
        """Waits until it is the turn of the calling task.

        What the task then does takes a turn of its own, as its time is not
        known to the queue.
        """
        turn: asyncio.Future[None] = asyncio.Future()

        def begin() -> None:
            if not turn.done():
                turn.set_result(None)
                self._is_turn_over = True

        self.add(lane, begin)
        await turn

    def call_after_reading(self, callback: Callable[[], None]) -> None:
        """Calls a function once the sockets have been read and queued.

        The loop reads the sockets in its next iteration, and the tasks that
        were waiting for them run in the one after it.
        """
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, loop.call_soon, callback)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        now = clock.read_monotonic()
        self._queue.begin_turn(now)
        self._is_turn_over = False
        while (
            not self._is_turn_over
            and (taken := self._queue.take(now)) is not None
        ):
            lane, waited_s, work = taken
            if self._costs is not None:
                self._costs.record_wait(lane.name.lower(), waited_s)
            try:
                work()
            except Exception as error:  # noqa: BLE001 - logged, with its place
                self._log.warn(
                    "work failed",
                    why=repr(error),
                    place="".join(traceback.format_exception(error, limit=-4)),
                )
            now = clock.read_monotonic()
        if len(self._queue):
            self._schedule()


class TurnLimitedApp:
    """An ASGI application whose requests wait for their turn."""

    def __init__(
        self,
        app: Any,
        turns: Turns,
        find_lane: Callable[[str], work_queue.Lane],
    ) -> None:
        """Wraps an application.

        Args:
            app: The ASGI application.
            turns: Runs the work of the process.
            find_lane: Returns the lane of a request by its path.
        """
        self._app = app
        self._turns = turns
        self._find_lane = find_lane

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one request once it is its turn."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        lane = self._find_lane(scope["path"])
        if lane == work_queue.Lane.URGENT:
            await self._app(scope, receive, send)
            return
        # Read before the wait: a client that gives up meanwhile has told what
        # it had to tell.
        first = await receive()

        async def receive_again() -> Any:
            nonlocal first
            message, first = first, None
            return message if message is not None else await receive()

        await self._turns.wait_for_turn(lane)
        await self._app(scope, receive_again, send)
