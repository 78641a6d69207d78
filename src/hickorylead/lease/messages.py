"""Lease messages between the control processes of one zone."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class LeaseRequest:
    """Requests the lease, or its renewal, from a grantor.

    Attributes:
        candidate: Control process that sends the request.
        number: Fencing number that the candidate would hold.
        round: Number of the candidate's request; the reply repeats it.
    """

    candidate: str
    number: int
    round: int


@attrs.frozen
class LeaseReply:
    """Reply to a lease request.

    Attributes:
        grantor: Control process that replies.
        granted: Whether the grantor granted the lease for one term.
        highest: Highest fencing number that the grantor has observed.
        round: Round of the request.
    """

    grantor: str
    granted: bool
    highest: int
    round: int


Message: TypeAlias = LeaseRequest | LeaseReply


@attrs.frozen
class Send:
    """Effect: send a lease message to a node."""

    node: str
    message: Message
