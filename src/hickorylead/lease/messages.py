"""Messages of the lease among the control processes of one zone."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class LeaseRequest:
    """Asks a grantor for the lease, or to renew it.

    Attributes:
        candidate: Control process that asks.
        number: Fencing number it would hold.
        round: Counts requests of this candidate; the reply repeats it.
    """

    candidate: str
    number: int
    round: int


@attrs.frozen
class LeaseReply:
    """Answers a lease request.

    Attributes:
        grantor: Control process that answers.
        granted: Whether it promised the lease for one term.
        highest: Highest fencing number it has heard of.
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
