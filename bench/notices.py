"""Measures messages, memory and time for servers that pause or leave.

Run as `python bench/notices.py`; docs/CAPACITY.md has the results.
"""

from __future__ import annotations

import time
import tracemalloc

from hickorylead.fleet import instances, messages as fleet_messages
from hickorylead.forwarding import model
from hickorylead.notices import (
    messages,
    notice_store as notice_store_module,
    pause_relay,
    pauses,
)
from hickorylead.wire import codec

GATEWAY = "waikato-1/front-hamilton-12/gateway"
COORDINATOR = "waikato-1/core-hamilton-1/coordinator"
# Replicas that a gateway chooses among: those of its zone, a fifth of 600.
CANDIDATES = 120
# Replicas that request a pause at the same time: a tenth of 600, and all.
PAUSED = 60
ALL = 600
ROUNDS = 500


def make_replica(number: int) -> model.Replica:
    """Returns a replica."""
    return model.Replica(
        f"i-{number:010x}",
        "model",
        "large",
        "10.0.0.1:80",
        "z1",
        13,
        born=1_784_102_400_000 + number,
    )


def make_pauses(count: int) -> tuple[messages.Pause, ...]:
    """Returns pauses as a node receives them."""
    replicas = map(make_replica, range(count))
    return tuple(messages.Pause(r.name, r.born, 3000) for r in replicas)


def measure_size(message: messages.Message | fleet_messages.Message) -> int:
    """Returns the bytes of an encoded message."""
    return len(codec.encode_envelope(codec.Envelope(COORDINATOR, "", message)))


def measure_time(action) -> float:
    """Returns the processor time of an action, in microseconds."""
    began = time.process_time()
    for _ in range(ROUNDS):
        action()
    return (time.process_time() - began) / ROUNDS * 1e6


def make_store(count: int) -> notice_store_module.NoticeStore:
    """Returns the notices of a gateway whose requests some replicas refused."""
    store = notice_store_module.NoticeStore()
    head = model.ResponseHead(503, not_run=True, retry_after_s=3.0)
    for number in range(count):
        store.record_response(
            make_replica(number), head, sent_at=99.9, now=100.0
        )
    return store


def print_sizes() -> None:
    """Prints the sizes of messages."""
    leave = messages.Leave(make_replica(0).name, make_replica(0).born)
    instance = instances.Instance(
        leave.server,
        "model",
        "10.0.0.1:8000",
        "hamilton",
        "hamilton-d1",
        13,
        models=("draft",),
        staged=("draft",),
        member=instances.Membership("g1", 4711, 0, "open"),
        born=leave.born,
    )
    for title, message in (
        ("PauseNews, 1 pause", messages.PauseNews(COORDINATOR, make_pauses(1))),
        ("PauseNews, 12", messages.PauseNews(COORDINATOR, make_pauses(12))),
        (
            f"PauseNews, {ALL}",
            messages.PauseNews(COORDINATOR, make_pauses(ALL)),
        ),
        ("LeaveNews, 1 server", messages.LeaveNews(GATEWAY, (leave,))),
        (
            "InstanceNews, 1",
            fleet_messages.InstanceNews(COORDINATOR, (instance,)),
        ),
    ):
        print(f"{title}: {measure_size(message)} B")


def print_memory() -> None:
    """Prints the memory that a gateway and a coordinator use for notices."""
    tracemalloc.start()
    store = make_store(ALL)
    used, _ = tracemalloc.get_traced_memory()
    print(f"gateway, {len(store)} notices: {used / 1e6:.2f} MB")
    pause_table = pauses.Pauses()
    for pause in make_pauses(ALL):
        pause_table.merge(pause, 100.0)
    with_pauses, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"coordinator, {ALL} pauses: {(with_pauses - used) / 1e6:.2f} MB")


def print_times() -> None:
    """Prints the processor time of a choice of replica and of an update."""
    replicas = [make_replica(number) for number in range(CANDIDATES)]
    store = make_store(PAUSED)

    def check() -> None:
        for replica in replicas:
            store.is_leaving(replica, 101.0)
        for replica in replicas:
            store.get_pause_remaining_s(replica, 101.0)
        for replica in replicas:
            store.is_likely_to_refuse(replica, 101.0, may_probe=True)

    print(f"choosing among {CANDIDATES}: {measure_time(check):.0f} us more")
    update = messages.PauseNews(COORDINATOR, make_pauses(12))
    encoded = codec.encode_envelope(codec.Envelope(COORDINATOR, "", update))
    us = measure_time(lambda: codec.decode_envelope(encoded))
    print(f"decoding 12 pauses: {us:.0f} us")

    def relay_update() -> None:
        relay = pause_relay.PauseRelay(COORDINATOR)
        relay.merge(update, is_forwarded=False, now=100.0)
        relay.collect_messages(
            gateways=[GATEWAY], coordinators=[COORDINATOR], now=100.0
        )

    print(f"relaying them: {measure_time(relay_update):.0f} us")


def run() -> None:
    """Prints sizes, memory and times."""
    print_sizes()
    print_memory()
    print_times()


if __name__ == "__main__":
    run()
