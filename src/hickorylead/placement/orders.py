"""Orders to backend servers, as the published interface defines them."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class Assign:
    """Makes a server a member of a replica group.

    A server that belongs to another group refuses the order: it must be
    released first. So no order, however late, puts a VM into two groups.

    Attributes:
        vm: Server that receives the order.
        address: Its `ip:port`.
        fence: Fencing number of the holder of the zone lease.
        group: Replica group.
        generation: Generation of the member list.
        rank: The server's rank in the group.
        members: Addresses of all members, by rank.
        service: Service that the group runs.
        weights: Weights to load, as `Service.weights` names them.
    """

    vm: str
    address: str
    fence: int
    group: str
    generation: int
    rank: int
    members: tuple[str, ...]
    service: str
    weights: str


@attrs.frozen
class Release:
    """Removes a server from a replica group."""

    vm: str
    address: str
    fence: int
    group: str
    generation: int


Order: TypeAlias = Assign | Release


@attrs.frozen
class SendOrder:
    """Effect: send an order to its server, unless the lease has ended."""

    order: Order
