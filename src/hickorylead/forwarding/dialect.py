"""How a deployment's callers and replicas write what this package decides on.

Deployments differ in the names of headers and the shape of bodies. A dialect
turns them into the types here, and back; it decides nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from hickorylead.forwarding import events, model


class Dialect(Protocol):
    """Names and formats between callers, this system and replicas."""

    def read_terms(self, headers: Iterable[model.Header]) -> model.Terms | str:
        """Returns what a caller says, or what is wrong with its headers."""

    def list_headers(
        self, headers: Iterable[model.Header], workspace: str
    ) -> tuple[model.Header, ...]:
        """Returns the headers to pass on, whatever the attempt."""

    def write_head(self, attempt: events.Open) -> bytes:
        """Returns the head of a request to a replica."""

    def read_head(
        self, status: int, headers: Sequence[model.Header]
    ) -> model.Head:
        """Returns the head of a replica's answer."""

    def write_refusal(
        self, refusal: events.Refuse, attempt_id: str
    ) -> tuple[tuple[model.Header, ...], bytes]:
        """Returns headers and body of an answer of our own."""
