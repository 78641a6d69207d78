"""Tasks of a process, none of which ends unnoticed."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

# Delay after which a task that ended unexpectedly starts again, in seconds.
RESTART_DELAY_S = 0.5


class WarningLog(Protocol):
    """Log for problems that were handled."""

    def warn(self, message: str, **fields: Any) -> None:
        """Writes a log line."""


class TaskSet:
    """Tasks that are reported if they fail and cancelled at the end."""

    def __init__(self, log: WarningLog) -> None:
        """Makes a set without tasks.

        Args:
            log: Log for failures, with their place.
        """
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, name: str, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Starts a task that may end; an error that ends it is logged.

        Args:
            name: What it does, for the log.
            coroutine: Its work.
        """
        return self._add(self._run(name, coroutine))

    def keep_running(
        self, name: str, make_coroutine: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[None]:
        """Starts a task that is started again whenever it ends.

        Args:
            name: What it does, for the log.
            make_coroutine: Returns its work.
        """
        return self._add(self._run_again(name, make_coroutine))

    async def close(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(
        self, name: str, coroutine: Coroutine[Any, Any, None]
    ) -> None:
        try:
            await coroutine
        except Exception as error:  # noqa: BLE001 - logged, with its place
            self._report(name, error)

    async def _run_again(
        self, name: str, make_coroutine: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            await self._run(name, make_coroutine())
            self._log.warn("task ended", task=name, restart_s=RESTART_DELAY_S)
            await asyncio.sleep(RESTART_DELAY_S)

    def _report(self, name: str, error: Exception) -> None:
        self._log.warn(
            "task failed",
            task=name,
            why=repr(error),
            place="".join(traceback.format_exception(error, limit=-4)),
        )


def stop_on_end(task: asyncio.Task[None], stop: asyncio.Event) -> None:
    """Stops the process when a task that must keep running has ended.

    A process without ticks still responds, but renews nothing and detects no
    timeouts. This is worse than a process that has ended, since other nodes
    detect the end of a process.
    """

    def on_done(completed: asyncio.Task[None]) -> None:
        if not completed.cancelled():
            stop.set()

    task.add_done_callback(on_done)


def report_unhandled(log: WarningLog) -> None:
    """Logs errors of callbacks, timers and tasks that nothing else handles."""

    def handle(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        log.warn(
            "error unhandled",
            why=repr(error) if error else context["message"],
            what=context["message"],
            place="".join(traceback.format_exception(error, limit=-4))
            if error
            else "",
        )

    asyncio.get_running_loop().set_exception_handler(handle)
