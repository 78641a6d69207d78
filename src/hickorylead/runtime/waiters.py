"""Futures on which HTTP handlers wait for effects of the reducer."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")


class Waiters(Generic[T]):
    """Futures of pending requests, by name."""

    def __init__(self) -> None:
        """Makes an empty set of waiters."""
        self._futures: dict[str, list[asyncio.Future[T]]] = {}

    def wait(self, name: str) -> asyncio.Future[T]:
        """Returns a new future; several may share a name."""
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._futures.setdefault(name, []).append(future)
        return future

    def resolve(self, name: str, value: T) -> None:
        """Resolves all futures of a name."""
        for future in self._futures.pop(name, []):
            if not future.done():
                future.set_result(value)
