"""Interface that decodes and encodes a deployment's headers and bodies.

Deployments differ in the names of headers and the shape of bodies. A codec
translates them to and from the types of this package and makes no decisions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from hickorylead.forwarding import events, model


class HeaderCodec(Protocol):
    """Codec between callers, this system and replicas."""

    def decode_metadata(
        self, headers: Iterable[model.Header]
    ) -> model.RequestMetadata | str:
        """Returns the caller's metadata, or what is wrong with its headers."""

    def list_forwarded_headers(
        self, headers: Iterable[model.Header], workspace: str
    ) -> tuple[model.Header, ...]:
        """Returns the headers to forward, the same for every attempt."""

    def encode_request_head(self, attempt: events.StartAttempt) -> bytes:
        """Returns the head of a request to a replica."""

    def decode_response_head(
        self, status: int, headers: Sequence[model.Header]
    ) -> model.ResponseHead:
        """Returns the decoded head of a replica's response."""

    def encode_refusal(
        self, refusal: events.Refuse, attempt_id: str
    ) -> tuple[tuple[model.Header, ...], bytes]:
        """Returns the headers and body of a refusal."""
