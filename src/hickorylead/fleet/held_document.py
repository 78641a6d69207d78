"""The configuration that a coordinator has applied and sends to gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns import result

from hickorylead.fleet import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.configuration import document as document_module, model


class HeldDocument:
    """The newest committed configuration, decoded and as operators sent it.

    Gateways get it before this node has decoded it.

    It is kept when the voter has to start again with what its disk holds, which
    may be older.
    """

    def __init__(
        self,
        decode: Callable[[bytes], result.Result[document_module.Document, str]],
    ) -> None:
        """Makes the state without a configuration.

        Args:
            decode: Decodes a complete configuration as operators submit it.
        """
        self._decode = decode
        self._content = b""
        # The operator's version; 0 if there is no configuration.
        self.version = 0
        self.document: document_module.Document | None = None

    @property
    def size_bytes(self) -> int:
        """Size of the configuration as it is sent to gateways, in bytes."""
        return len(self._content)

    def load(self, configuration: model.Configuration) -> bool:
        """Holds a committed configuration from now on, still encoded.

        Returns:
            Whether it is newer than what was held.
        """
        if (
            not configuration.content
            or configuration.outside_version <= self.version
        ):
            return False
        self.version = configuration.outside_version
        self._content = configuration.content
        return True

    def decode(self) -> str:
        """Decodes what is held, if that was not done yet.

        Returns:
            Why it could not be decoded; empty if it was.
        """
        if self.document is not None and self.document.version >= self.version:
            return ""
        if not self._content:
            return ""
        match self._decode(self._content):
            case result.Success(document):
                self.document = document
                return ""
            case result.Failure(problem):
                return str(problem)
        raise AssertionError("a result is a success or a failure")

    def make_update(
        self, sender: str, *, is_fresh: bool
    ) -> messages.DocumentUpdate:
        """Returns the message that puts it in force at a gateway.

        Args:
            sender: Name of this coordinator.
            is_fresh: Whether it is certain to be recent.
        """
        return messages.DocumentUpdate(
            sender, self.version, self._content, is_fresh
        )
