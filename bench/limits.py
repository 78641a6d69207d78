"""Measures messages, memory and time for servers that report a rate limit.

Run as `python bench/limits.py`; docs/CAPACITY.md has the results.
"""

from __future__ import annotations

import random
import time
import tracemalloc

from hickorylead.fleet import gateways, peer_directory, registry
from hickorylead.forwarding import model
from hickorylead.ratelimits import (
    allocator,
    limit_table,
    messages,
    permit_broker,
    permit_pool,
)
from hickorylead.turns import own_pauses
from hickorylead.wire import codec

GATEWAY = "waikato-1/front-hamilton-12/gateway"
COORDINATOR = "waikato-1/core-hamilton-1/coordinator"
# Replicas that report a limit at the same time: a tenth of 600, and all.
LIMITED = 60
ALL = 600
# Servers whose permits a gateway requests at once: it gets 9.7 requests/s, and
# every 0.5 s it requests permits for the servers that could use one.
REQUESTED = 5
ROUNDS = 2000


def make_limits(count: int) -> tuple[messages.RateLimit, ...]:
    """Returns rate limits as a node receives them."""
    return tuple(
        messages.RateLimit(
            f"i-{n:010x}", 1_784_102_400_000 + n, 1.1, True, 500, 20_000
        )
        for n in range(count)
    )


def measure_size(message: messages.Message) -> int:
    """Returns the bytes of an encoded message."""
    return len(codec.encode_envelope(codec.Envelope(COORDINATOR, "", message)))


def measure_time(action) -> float:
    """Returns the processor time of an action, in microseconds."""
    began = time.process_time()
    for _ in range(ROUNDS):
        action()
    return (time.process_time() - began) / ROUNDS * 1e6


def make_replica(limit: messages.RateLimit) -> model.Replica:
    """Returns the replica that a limit applies to."""
    return model.Replica(
        limit.server, "model", "large", "10.0.0.1:80", "z1", 13, born=limit.born
    )


def make_broker() -> permit_broker.PermitBroker:
    """Returns the permit broker of a coordinator without peers."""
    return permit_broker.PermitBroker(
        COORDINATOR,
        registry=registry.Registry(),
        peers=peer_directory.PeerDirectory(node=COORDINATOR, seeds=()),
        gateways=gateways.Gateways(zone=COORDINATOR),
    )


def print_sizes(limits: tuple[messages.RateLimit, ...]) -> None:
    """Prints the sizes of messages."""
    requested = tuple(messages.Ask(limit, 2) for limit in limits[:REQUESTED])
    permits = tuple(
        messages.Permits(limit.server, limit.born, 1, 2000, 700)
        for limit in limits[:REQUESTED]
    )
    for title, message in (
        ("LimitNews, 1 limit", messages.LimitNews(COORDINATOR, limits[:1])),
        (f"LimitNews, {LIMITED}", messages.LimitNews(COORDINATOR, limits)),
        ("PermitRequest, 1", messages.PermitRequest(GATEWAY, 1, requested[:1])),
        (
            f"PermitRequest, {REQUESTED}",
            messages.PermitRequest(GATEWAY, 1, requested),
        ),
        ("PermitReply, 1", messages.PermitReply(GATEWAY, 1, permits[:1])),
        (
            f"PermitReply, {REQUESTED}",
            messages.PermitReply(GATEWAY, 1, permits),
        ),
    ):
        print(f"{title}: {measure_size(message)} B")


def print_memory() -> None:
    """Prints the memory that a gateway and a coordinator use for limits."""
    tracemalloc.start()
    pool = permit_pool.PermitPool(
        GATEWAY,
        first=1,
        rng=random.Random(1),
        pauses=own_pauses.OwnPauses(100.0),
    )
    pool.merge_limits(make_limits(ALL), 100.0)
    for limit in make_limits(ALL):
        pool.request_permit(make_replica(limit), is_needed=False, now=100.0)
    used, _ = tracemalloc.get_traced_memory()
    print(f"gateway, {ALL} limits and accounts: {used / 1e6:.2f} MB")
    tracemalloc.reset_peak()
    before, _ = tracemalloc.get_traced_memory()
    broker = make_broker()
    broker.merge_limits(
        messages.LimitNews(COORDINATOR, make_limits(ALL)), 100.0
    )
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"coordinator, {ALL} limits: {(after - before) / 1e6:.2f} MB")


def print_times(limits: tuple[messages.RateLimit, ...]) -> None:
    """Prints the processor time of each step of a request for permits."""
    broker = make_broker()
    broker.merge_limits(messages.LimitNews(COORDINATOR, limits), 100.0)
    requested = tuple(messages.Ask(limit, 2) for limit in limits[:REQUESTED])
    request = messages.PermitRequest(GATEWAY, 1, requested)
    encoded = codec.encode_envelope(codec.Envelope(GATEWAY, "", request))

    def handle() -> None:
        broker.handle_request(
            request, GATEWAY, has_recent_leader=True, now=100.0
        )

    print(f"handling a request of {REQUESTED}: {measure_time(handle):.0f} us")
    decode_us = measure_time(lambda: codec.decode_envelope(encoded))
    encode_us = measure_time(
        lambda: codec.encode_envelope(codec.Envelope(GATEWAY, "", request))
    )
    print(f"decoding it: {decode_us:.0f} us; encoding it: {encode_us:.0f} us")
    pool = permit_pool.PermitPool(
        GATEWAY,
        first=1,
        rng=random.Random(1),
        pauses=own_pauses.OwnPauses(100.0),
    )
    pool.merge_limits(limits, 100.0)
    replicas = [make_replica(limit) for limit in limits]

    def check() -> None:
        for replica in replicas:
            pool.may_send(replica, 100.0)

    us = measure_time(check)
    print(f"choosing among {LIMITED} that report a limit: {us:.0f} us more")
    limit = limit_table.KnownLimit(0, 1.1, True, 100.0, 100.0)
    permit_allocator = allocator.Allocator()
    us = measure_time(
        lambda: permit_allocator.allocate(
            requested[0], limit, has_recent_leader=True, now=100.0
        )
    )
    print(f"one server's permits: {us:.1f} us")


def run() -> None:
    """Prints sizes, memory and times."""
    limits = make_limits(LIMITED)
    print_sizes(limits)
    print_memory()
    print_times(limits)


if __name__ == "__main__":
    run()
