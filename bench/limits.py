"""Measures what is remembered and told of servers that name a rate limit.

Run as `python bench/limits.py`; docs/CAPACITY.md has what it prints.
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
from hickorylead.wire import codec

GATEWAY = "waikato-1/front-hamilton-12/gateway"
HOME = "waikato-1/core-hamilton-1/coordinator"
# Replicas that name a limit at the same time: a tenth of 600.
LIMITED = 60
# And all of them.
ALL = 600
# Servers that a gateway asks permits of at once: 9.7 requests/s, and permits
# for those that could use one are asked for each 0.5 s.
ASKED = 5
ROUNDS = 2000


def make_limits(count: int) -> tuple[messages.RateLimit, ...]:
    """Returns limits as a node is told them."""
    return tuple(
        messages.RateLimit(
            f"i-{n:010x}", 1_784_102_400_000 + n, 1.1, True, 500, 20_000
        )
        for n in range(count)
    )


def measure_size(message: messages.Message) -> int:
    """Returns the bytes of an encoded message."""
    return len(codec.encode_envelope(codec.Envelope(HOME, "", message)))


def measure_time(action) -> float:
    """Returns the processor time of an action, in microseconds."""
    began = time.process_time()
    for _ in range(ROUNDS):
        action()
    return (time.process_time() - began) / ROUNDS * 1e6


def make_replica(limit: messages.RateLimit) -> model.Replica:
    """Returns the replica of a limit."""
    return model.Replica(
        limit.server, "model", "large", "10.0.0.1:80", "z1", 13, born=limit.born
    )


def make_exchange() -> permit_broker.PermitBroker:
    """Returns the exchange of a coordinator that is alone."""
    return permit_broker.PermitBroker(
        HOME,
        registry=registry.Registry(),
        neighbours=peer_directory.PeerDirectory(node=HOME, seeds=()),
        gateways=gateways.Gateways(zone=HOME),
    )


def print_sizes(limits: tuple[messages.RateLimit, ...]) -> None:
    """Prints the sizes of messages."""
    asks = tuple(messages.Ask(limit, 2) for limit in limits[:ASKED])
    given = tuple(
        messages.Permits(limit.server, limit.born, 1, 2000, 700)
        for limit in limits[:ASKED]
    )
    for title, message in (
        ("LimitNews, 1 limit", messages.LimitNews(HOME, limits[:1])),
        (f"LimitNews, {LIMITED}", messages.LimitNews(HOME, limits)),
        ("PermitRequest, 1", messages.PermitRequest(GATEWAY, 1, asks[:1])),
        (f"PermitRequest, {ASKED}", messages.PermitRequest(GATEWAY, 1, asks)),
        ("PermitReply, 1", messages.PermitReply(GATEWAY, 1, given[:1])),
        (f"PermitReply, {ASKED}", messages.PermitReply(GATEWAY, 1, given)),
    ):
        print(f"{title}: {measure_size(message)} B")


def print_memory() -> None:
    """Prints the memory of what a gateway and a coordinator keep."""
    tracemalloc.start()
    gateway = permit_pool.PermitPool(GATEWAY, first=1, rng=random.Random(1))
    gateway.merge_limits(make_limits(ALL), 100.0)
    for limit in make_limits(ALL):
        gateway.request_permit(make_replica(limit), is_needed=False, now=100.0)
    used, _ = tracemalloc.get_traced_memory()
    print(f"gateway, {ALL} limits and accounts: {used / 1e6:.2f} MB")
    tracemalloc.reset_peak()
    before, _ = tracemalloc.get_traced_memory()
    coordinator = make_exchange()
    coordinator.merge_limits(messages.LimitNews(HOME, make_limits(ALL)), 100.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"coordinator, {ALL} limits: {(after - before) / 1e6:.2f} MB")


def print_times(limits: tuple[messages.RateLimit, ...]) -> None:
    """Prints the processor time of a request for permits, on its way."""
    subject = make_exchange()
    subject.merge_limits(messages.LimitNews(HOME, limits), 100.0)
    asks = tuple(messages.Ask(limit, 2) for limit in limits[:ASKED])
    request = messages.PermitRequest(GATEWAY, 1, asks)
    packed = codec.encode_envelope(codec.Envelope(GATEWAY, "", request))

    def answer() -> None:
        subject.handle_request(request, GATEWAY, is_fresh=True, now=100.0)

    print(f"answering a request of {ASKED}: {measure_time(answer):.0f} us")
    decode_us = measure_time(lambda: codec.decode_envelope(packed))
    encode_us = measure_time(
        lambda: codec.encode_envelope(codec.Envelope(GATEWAY, "", request))
    )
    print(f"decoding it: {decode_us:.0f} us; encoding it: {encode_us:.0f} us")
    gateway = permit_pool.PermitPool(GATEWAY, first=1, rng=random.Random(1))
    gateway.merge_limits(limits, 100.0)
    replicas = [make_replica(limit) for limit in limits]

    def look() -> None:
        for replica in replicas:
            gateway.may_send(replica, 100.0)

    us = measure_time(look)
    print(f"choosing among {LIMITED} that name a limit: {us:.0f} us more")
    known = limit_table.KnownLimit(0, 1.1, True, 100.0, 100.0)
    bucket = allocator.Allocator()
    us = measure_time(
        lambda: bucket.allocate(asks[0], known, is_fresh=True, now=100.0)
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
