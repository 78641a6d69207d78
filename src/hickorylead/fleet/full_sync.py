"""The table of all backend servers as one message for many recipients."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.fleet import messages

if TYPE_CHECKING:
    from hickorylead.fleet import registry as registry_module


class FullSync:
    """Makes the message again only after a change of the table.

    Gateways that lose their home coordinator together all need the table. The
    connections encode a message once for all its recipients; a table of its
    own for each would keep a coordinator that is late from catching up.
    """

    def __init__(self, sender: str, registry: registry_module.Registry) -> None:
        """Makes the source of full syncs.

        Args:
            sender: Name of this node.
            registry: Backend servers known to it.
        """
        self._sender = sender
        self._registry = registry
        self._change_count = -1
        self._made: dict[bool, messages.InstanceNews] = {}

    def make(self, *, is_full: bool) -> messages.InstanceNews:
        """Returns the present table.

        Args:
            is_full: Whether this node knows all servers.
        """
        if self._change_count != self._registry.change_count:
            self._change_count = self._registry.change_count
            self._made.clear()
        if is_full not in self._made:
            self._made[is_full] = messages.InstanceNews(
                self._sender,
                tuple(self._registry.instances.values()),
                is_full=is_full,
            )
        return self._made[is_full]
