"""SIGHUP while a process starts or ends: by default it would kill it."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


class _Pending:
    """Whether a signal arrived before there was a handler for it."""

    is_set = False


def hold() -> None:
    """Holds the signal until `handle` is called."""

    def record(*_: object) -> None:
        _Pending.is_set = True

    signal.signal(signal.SIGHUP, record)
    # It is blocked while the program is imported.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def handle(loop: asyncio.AbstractEventLoop, reload: Callable[[], None]) -> None:
    """Calls a function at each signal, and now if one was held."""
    loop.add_signal_handler(signal.SIGHUP, reload)
    if _Pending.is_set:
        _Pending.is_set = False
        reload()


def release() -> None:
    """Holds the signal until the process has ended.

    The event loop restores the default when it is closed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
