"""Messages about requests that crash the servers running them."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class Crash:
    """A lost run of a request: the server may have ended while running it.

    Attributes:
        content: The request hash.
        server: The server that ran the request.
        born: Start of the server's incarnation, in Unix milliseconds; 0 if the
            server does not report it.
        age_ms: How long ago the run was lost, in milliseconds.
        has_ended: Whether that incarnation is known to have ended.
    """

    content: int
    server: str
    born: int
    age_ms: int
    has_ended: bool = False


@attrs.frozen
class Clearance:
    """A request that got a complete response, so it does not crash servers.

    Attributes:
        content: The request hash.
        age_ms: Time since the response, in milliseconds.
    """

    content: int
    age_ms: int


@attrs.frozen
class AccusedRun:
    """A run that may have ended its server.

    Attributes:
        traits: The request hash, then the hashes of its shared prompt parts
            without those that recent runs proved sound.
        sent_ms: How long ago the request was sent, in milliseconds.
        proven: Those traits that had a sound run some time ago.
    """

    traits: tuple[int, ...]
    sent_ms: int
    proven: tuple[int, ...] = ()


@attrs.frozen
class Accusation:
    """Runs that were lost together with a server that may have ended.

    Attributes:
        server: The server.
        born: Start of the server's incarnation; see `Crash`.
        age_ms: How long ago they were lost, in milliseconds.
        runs: Those that were not proven sound.
        has_ended: Whether that incarnation is known to have ended.
    """

    server: str
    born: int
    age_ms: int
    runs: tuple[AccusedRun, ...]
    has_ended: bool = False


@attrs.frozen
class CrashNews:
    """Lost runs and cleared requests, sent to a coordinator.

    Attributes:
        sender: Node that sends the message.
        crashes: Lost runs.
        clearances: Requests that got a complete response.
        accusations: Lost runs of requests that share parts of their prompts.
        trait_clearances: Traits with a sound run, and since when the losses of
            their requests count again.
    """

    sender: str
    crashes: tuple[Crash, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    accusations: tuple[Accusation, ...] = ()
    trait_clearances: tuple[Clearance, ...] = ()


@attrs.frozen
class Block:
    """A request that is sent to no replica for a time.

    Attributes:
        content: The request hash.
        left_ms: Remaining time of the block, in milliseconds.
    """

    content: int
    left_ms: int


@attrs.frozen
class Suspicion:
    """A request that is blocked if one more server ends while running it.

    Attributes:
        content: The request hash.
        left_ms: Remaining time of the suspicion, in milliseconds.
        gateway: The only recipient that may send the request to a replica;
            empty if none may.
    """

    content: int
    left_ms: int
    gateway: str


@attrs.frozen
class TraitBlock:
    """Traits whose requests are sent to no replica for a time.

    Attributes:
        traits: A request with all of them is blocked; its hash and the hashes
            of its shared prompt parts are its traits.
        left_ms: Remaining time of the block, in milliseconds.
        lost_ms: Time since the last loss that the traits explain, in
            milliseconds.
    """

    traits: tuple[int, ...]
    left_ms: int
    lost_ms: int


@attrs.frozen
class TraitSuspicion:
    """A trait that may end servers; see `Suspicion`.

    Attributes:
        trait: The trait.
        left_ms: Remaining time of the suspicion, in milliseconds.
        lost_ms: Time since the last loss that the trait may explain, in
            milliseconds.
        gateway: The recipient that may send requests with the trait at once.
        since_ms: Time since the suspicion began, in milliseconds; 0 if no other
            recipient may ever send them.
    """

    trait: int
    left_ms: int
    lost_ms: int
    gateway: str
    since_ms: int = 0


@attrs.frozen
class BlockNews:
    """All blocked and suspected requests, from a coordinator to its gateways.

    Attributes:
        sender: The coordinator.
        blocks: All blocked requests.
        cleared: Hashes of requests that were cleared before their block
            expired.
        suspicions: All suspected requests.
        trait_blocks: All blocked traits.
        trait_suspicions: All suspected traits.
        released: Traits that were blocked a short time ago and no longer are.
    """

    sender: str
    blocks: tuple[Block, ...] = ()
    cleared: tuple[int, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    trait_blocks: tuple[TraitBlock, ...] = ()
    trait_suspicions: tuple[TraitSuspicion, ...] = ()
    released: tuple[TraitBlock, ...] = ()


Message: TypeAlias = CrashNews | BlockNews
