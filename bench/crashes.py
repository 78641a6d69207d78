"""Measures messages, memory and time for requests that crash servers.

Run as `python bench/crashes.py`; docs/CAPACITY.md has the results.
"""

from __future__ import annotations

import time
import tracemalloc

from hickorylead.crashes import (
    crash_history,
    crash_tracker,
    messages,
    request_hash,
)
from hickorylead.wire import codec

NODE = "waikato-1/core-hamilton-1/coordinator"
# Requests in flight at a replica at the peak: 3,500 a second of 4 s each, over
# 600 replicas.
RUNS_PER_REPLICA = 23
# Replicas in a zone that is lost.
ZONE_REPLICAS = 120
ROUNDS = 200
# A prompt of some 1,400 tokens.
BODY_BYTES = 8192


def make_crashes(replicas: int, running: int) -> tuple[messages.Crash, ...]:
    """Returns the runs that are lost when replicas crash."""
    return tuple(
        messages.Crash(
            (server * 1000 + number) * 2654435761 % 2**63,
            f"i-{server:010x}",
            1_784_102_400_000 + server,
            1000,
            has_ended=True,
        )
        for server in range(replicas)
        for number in range(running)
    )


def measure_size(message: messages.Message) -> int:
    """Returns the bytes of an encoded message."""
    return len(codec.encode_envelope(codec.Envelope(NODE, "", message)))


def measure_time(action) -> float:
    """Returns the processor time of an action, in microseconds."""
    began = time.process_time()
    for _ in range(ROUNDS):
        action()
    return (time.process_time() - began) / ROUNDS * 1e6


def run() -> None:
    """Prints sizes, memory and times."""
    one = make_crashes(1, 1)
    replica = make_crashes(1, RUNS_PER_REPLICA)
    zone = make_crashes(ZONE_REPLICAS, RUNS_PER_REPLICA)
    for title, crashes in (
        ("1 lost run", one),
        (f"{RUNS_PER_REPLICA} lost runs", replica),
        (f"a zone, {len(zone)} lost runs", zone),
    ):
        update = messages.CrashNews(NODE, crashes)
        print(f"CrashNews, {title}: {measure_size(update)} B")
    blocks = tuple(messages.Block(c.content, 900_000) for c in replica[:5])
    update = messages.BlockNews(NODE, blocks)
    print(f"BlockNews, 5 blocks: {measure_size(update)} B")
    tracemalloc.start()
    tracker = crash_tracker.CrashTracker(NODE)
    tracker.merge(messages.CrashNews(NODE, zone), (), 100.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"crash history with a zone's lost runs: {used / 1e6:.2f} MB")
    tick_us = measure_time(lambda: tracker.tick(lambda _: False, (), 100.0))
    print(f"tick with them: {tick_us:.0f} us")
    history = crash_history.CrashHistory()
    for crash in zone:
        history.merge(crash, 100.0)
    prune_us = measure_time(lambda: history.prune(101.0))
    print(f"pruning, once a second: {prune_us:.0f} us")
    body = bytes(BODY_BYTES)
    hash_us = measure_time(
        lambda: request_hash.hash_request("crew", (b"POST", b"/drafts/", body))
    )
    print(f"hashing a request of {BODY_BYTES} bytes: {hash_us:.1f} us")


if __name__ == "__main__":
    run()
