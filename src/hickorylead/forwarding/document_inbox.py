"""Configurations that a gateway has received and not yet put in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns import result

from hickorylead import notes

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import messages

# Time from its start after which a gateway applies a configuration from a
# coordinator that may be behind, in seconds: a coordinator that is up to date
# replies sooner.
STALE_WAIT_S = 1.2


@attrs.frozen
class Taken:
    """What the inbox decided.

    Attributes:
        document: The configuration to put in force; None if there is none.
        written: Log lines.
    """

    document: document_module.Document | None = None
    written: tuple[notes.Note, ...] = ()


NOTHING = Taken()


class DocumentInbox:
    """The newest configuration that waits to be put in force.

    Only that one is decoded. A gateway that is late has several of them in its
    connections, and decoding each would make it later still.
    """

    def __init__(
        self,
        decode: Callable[[bytes], result.Result[document_module.Document, str]],
        started_at: float,
    ) -> None:
        """Makes an empty inbox.

        Args:
            decode: Decodes a complete configuration as operators submit it.
            started_at: When the gateway started.
        """
        self._decode = decode
        self._started_at = started_at
        self._waiting: messages.DocumentUpdate | None = None
        # The newest one of a coordinator that may be behind, until the gateway
        # has any configuration.
        self._stale: messages.DocumentUpdate | None = None

    def add(self, update: messages.DocumentUpdate, held_version: int) -> None:
        """Adds a configuration that arrived.

        Args:
            update: The configuration.
            held_version: Version in force at this gateway; 0 if there is none.
        """
        if not update.content or update.version <= held_version:
            # The update is delayed, or from a coordinator that is behind: an
            # older version would restore a replaced route or a revoked key.
            return
        if update.is_fresh or held_version:
            self._waiting = _choose_newer(self._waiting, update)
        else:
            self._stale = _choose_newer(self._stale, update)

    def take(self, held_version: int, now: float) -> Taken:
        """Returns the configuration to put in force now, if there is one.

        Args:
            held_version: Version in force at this gateway; 0 if there is none.
            now: Present time.
        """
        if self._stale and (
            held_version or now - self._started_at > STALE_WAIT_S
        ):
            self._waiting = _choose_newer(self._waiting, self._stale)
            self._stale = None
        update, self._waiting = self._waiting, None
        if update is None or update.version <= held_version:
            return NOTHING
        fields = {
            "version_before": held_version,
            "sender": update.sender,
            "is_fresh": update.is_fresh,
            "sent_version": update.version,
            "size_bytes": len(update.content),
            "uptime_s": round(now - self._started_at, 3),
        }
        match self._decode(update.content):
            case result.Success(document) if document.version == update.version:
                written = notes.Note(
                    "configuration_applied",
                    fields={"outside_version": document.version, **fields},
                )
                return Taken(document, (written,))
            case result.Success(document):
                problem = f"the content has version {document.version}"
            case result.Failure(why):
                problem = str(why)
        written = notes.Note(
            "configuration_unreadable",
            fields={"why": problem, **fields},
            level="error",
        )
        return Taken(written=(written,))


def _choose_newer(
    known: messages.DocumentUpdate | None, update: messages.DocumentUpdate
) -> messages.DocumentUpdate:
    if known is None or known.version < update.version:
        return update
    return known
