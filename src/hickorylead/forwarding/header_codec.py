"""How a deployment's callers and replicas write what this package decides on.

Deployments differ in the names of headers and the shape of bodies. A dialect
turns them into the types here, and back; it decides nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from hickorylead.forwarding import events, model


class HeaderCodec(Protocol):
    """Names and formats between callers, this system and replicas."""

    def decode_metadata(
        self, headers: Iterable[model.Header]
    ) -> model.RequestMetadata | str:
        """Returns what a caller says, or what is wrong with its headers."""

    def list_forwarded_headers(
        self, headers: Iterable[model.Header], workspace: str
    ) -> tuple[model.Header, ...]:
        """Returns the headers to pass on, whatever the attempt."""

    def encode_request_head(self, attempt: events.StartAttempt) -> bytes:
        """Returns the head of a request to a replica."""

    def decode_response_head(
        self, status: int, headers: Sequence[model.Header]
    ) -> model.ResponseHead:
        """Returns the head of a replica's answer."""

    def write_refusal(
        self, refusal: events.Refuse, attempt_id: str
    ) -> tuple[tuple[model.Header, ...], bytes]:
        """Returns headers and body of an answer of our own."""
