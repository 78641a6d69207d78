"""What a coordinator announces periodically to the other coordinators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.fleet import messages

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorylead.consensus import voter as voter_module
    from hickorylead.fleet import (
        identity as identity_module,
        peer_directory,
        registry as registry_module,
    )


def make_hello(
    identity: identity_module.Identity,
    *,
    voter: voter_module.Voter,
    peers: peer_directory.PeerDirectory,
    registry: registry_module.Registry,
    gateways: int,
    has_traffic: bool,
    crashes: int,
) -> messages.CoordinatorHello:
    """Returns a coordinator's hello.

    Args:
        identity: The coordinator.
        voter: Its voter.
        peers: Coordinators known to it.
        registry: Backend servers known to it.
        gateways: Number of gateways whose home coordinator it is.
        has_traffic: Whether callers are served.
        crashes: Digest of its lost runs.
    """
    return messages.CoordinatorHello(
        node=identity.node,
        address=identity.address,
        incarnation=voter.member,
        nodes=tuple(peers.known),
        addresses=tuple(n.address for n in peers.known.values()),
        check=registry.digest,
        is_empty=identity.may_bootstrap and not voter.cluster,
        gateways=gateways,
        has_traffic=has_traffic,
        crashes=crashes,
    )


def list_coordinators(
    identity: identity_module.Identity,
    peers: peer_directory.PeerDirectory,
    *,
    is_fresh: bool,
) -> messages.KnownCoordinators:
    """Returns the list of coordinators for gateways.

    Args:
        identity: Identity of the sender.
        peers: Coordinators known to it.
        is_fresh: Whether it had contact to a leader recently.
    """
    return messages.KnownCoordinators(
        identity.node,
        (identity.node, *peers.known),
        (identity.address, *(n.address for n in peers.known.values())),
        is_fresh,
    )


def make_alive(
    node: str,
    sequences: Mapping[str, int],
    registry: registry_module.Registry,
) -> messages.Alive:
    """Returns the message about heartbeats without changes.

    Args:
        node: The coordinator that received them.
        sequences: Number of each server's newest heartbeat.
        registry: Backend servers known to it.
    """
    return messages.Alive(
        node,
        tuple(sequences),
        tuple(sequences.values()),
        tuple(registry.changed_sequences.get(n, 0) for n in sequences),
        tuple(registry.find_start_time(n) for n in sequences),
    )


def find_founders(
    identity: identity_module.Identity,
    *,
    voter: voter_module.Voter,
    peers: peer_directory.PeerDirectory,
) -> list[str] | None:
    """Returns the voters of a new configuration log; None if not to start one.

    At the first start all nodes have the same seeds. The node with the lowest
    address starts the log once every other seed has sent a hello, so that only
    one log is started.
    """
    seeds = identity.seeds
    if (
        not identity.may_bootstrap
        or voter.cluster
        or not seeds
        or identity.address != min(seeds)
    ):
        return None
    by_address = {
        n.address: n
        for n in peers.known.values()
        if n.incarnation and n.is_empty
    }
    others = [by_address.get(s) for s in seeds if s != min(seeds)]
    if any(other is None for other in others):
        return None
    return [voter.member, *(other.incarnation for other in others if other)]
