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
        self.document: document_module.Document | None = None

    @property
    def version(self) -> int:
        """The operator's version; 0 if there is no configuration."""
        return self.document.version if self.document else 0

    @property
    def size_bytes(self) -> int:
        """Size of the configuration as it is sent to gateways, in bytes."""
        return len(self._content)

    def load(self, configuration: model.Configuration) -> str:
        """Applies a committed configuration if it is newer.

        Returns:
            Why it could not be decoded; empty if it was decoded or is not
            newer.
        """
        if (
            not configuration.content
            or configuration.outside_version <= self.version
        ):
            return ""
        match self._decode(configuration.content):
            case result.Success(document):
                self.document = document
                self._content = configuration.content
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
