"""Finds servers that report the same address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.fleet import instances

if TYPE_CHECKING:
    from collections.abc import Collection


class AddressIndex:
    """Names of the servers whose incarnation has not ended, by address."""

    def __init__(self) -> None:
        """Initializes an empty index."""
        self._names: dict[str, dict[str, None]] = {}
        self._shared: set[str] = set()

    def record(
        self, instance: instances.Instance, known: instances.Instance | None
    ) -> None:
        """Records a changed server.

        Args:
            instance: Its new state.
            known: Its previous state; None if it is a new one.
        """
        if known is not None and known.phase != instances.PHASE_GONE:
            if (
                known.address == instance.address
                and instance.phase != instances.PHASE_GONE
            ):
                return
            self.remove(known)
        if instance.phase != instances.PHASE_GONE:
            names = self._names.setdefault(instance.address, {})
            names[instance.name] = None
            if len(names) > 1:
                self._shared.add(instance.address)

    def remove(self, instance: instances.Instance) -> None:
        """Removes a server."""
        names = self._names.get(instance.address, {})
        names.pop(instance.name, None)
        if len(names) < 2:
            self._shared.discard(instance.address)
        if not names:
            self._names.pop(instance.address, None)

    def list_shared(self) -> list[Collection[str]]:
        """Returns the names of the servers at each address of several."""
        return [tuple(self._names[address]) for address in self._shared]
