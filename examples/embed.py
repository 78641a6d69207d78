"""Three nodes agree on who may issue orders; the caller supplies the time."""

import random

from hickorylead.lease import zone_lease

NODES = ("a/vm1/control", "a/vm2/control", "a/vm3/control")

leases = {
    node: zone_lease.ZoneLease(
        node=node, nodes=NODES, rng=random.Random(number), now=0.0
    )
    for number, node in enumerate(NODES)
}


def deliver(node, effects, now):
    for effect in effects:
        if effect.node in leases:
            replies = leases[effect.node].receive(effect.message, now)
            deliver(effect.node, replies, now)


holder = ""
for tick in range(200):
    now = tick * 0.1
    if tick == 120:
        del leases[holder]  # The holder dies at 12 s.
    for node, lease in list(leases.items()):
        deliver(node, lease.tick(now), now)
    held = [n for n, lease in leases.items() if lease.may_issue_orders(now)]
    assert len(held) <= 1
    if held:
        holder = held[0]

print(f"{holder} issues orders under number {leases[holder].fencing_number}")
