"""Where HTTP handlers wait for what the reducer decides."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")


class Waiters(Generic[T]):
    """One future for each question that is open."""

    def __init__(self) -> None:
        """Makes a place where nobody waits."""
        self._futures: dict[str, list[asyncio.Future[T]]] = {}

    def wait(self, name: str) -> asyncio.Future[T]:
        """Returns the future of a question; several may share a name."""
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._futures.setdefault(name, []).append(future)
        return future

    def answer(self, name: str, value: T) -> None:
        """Gives the answer to all who wait under a name."""
        for future in self._futures.pop(name, []):
            if not future.done():
                future.set_result(value)
