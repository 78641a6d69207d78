"""Control costs of gateways and coordinators, at several sizes.

A deployment is built in one process with given time, by the real reducers;
what each node sends is encoded by the real codec and counted.
"""

from __future__ import annotations

import collections
import pathlib
import sys

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from support import fleet_simulation

from hickorylead.roles import nodes
from hickorylead.wire import codec, frame

QUIET_S = 10.0
LOSSES = 5
LOSS_PERIOD_S = 2.0


@attrs.frozen
class Size:
    """One size of a deployment of three zones.

    Attributes:
        gateways: Gateways of a zone.
        coordinators: Coordinators of a zone.
        servers: Backend servers of a zone.
        domain: Servers of a fabric domain.
    """

    gateways: int
    coordinators: int
    servers: int
    domain: int


SIZES = (Size(3, 1, 16, 8), Size(12, 2, 32, 8), Size(24, 2, 57, 19))


class Count:
    """Bytes and messages by role, in one stretch of time."""

    def __init__(self) -> None:
        self.sent = collections.Counter()
        self.received = collections.Counter()
        self.messages = collections.Counter()
        self._last = (None, 0)

    def watch(self, sender: str, target: str, message: object) -> None:
        """Counts one message."""
        known, size = self._last
        if known is not message:
            envelope = codec.Envelope(sender, "10.0.0.10:7000", message)
            size = len(codec.encode_envelope(envelope)) + frame.HEADER.size
            self._last = (message, size)
        self.sent[sender] += size
        self.received[target] += size
        self.messages[sender] += 1


def measure(size: Size) -> list[list[str]]:
    """Returns rows of the table for a size."""
    world = fleet_simulation.FleetSimulation(
        servers_per_zone=size.servers,
        domain_size=size.domain,
        gateways_per_zone=size.gateways,
        coordinators_per_zone=size.coordinators,
    )
    world.run(2.0)
    world.replace(world.coordinator_names[0], 1)
    rows = []
    forming = _play(world, lambda: world.run(10.0))
    rows += _render(size, "groups form", 10.0, forming)
    quiet = _play(world, lambda: world.run(QUIET_S))
    rows += _render(size, "quiet", QUIET_S, quiet)

    def lose() -> None:
        for number in range(LOSSES):
            world.crash(world.list_open()[number].name)
            world.run(LOSS_PERIOD_S)

    lossy = _play(world, lose)
    rows += _render(size, "a loss each 2 s", LOSSES * LOSS_PERIOD_S, lossy)
    return rows


def _play(world, action) -> Count:
    count = Count()
    world.on_send = count.watch
    action()
    world.on_send = None
    return count


def _render(
    size: Size, stretch: str, seconds: float, count: Count
) -> list[list[str]]:
    rows = []
    for role in (nodes.GATEWAY, nodes.COORDINATOR):
        ending = f"/{role}"
        number = 3 * (
            size.gateways if role == nodes.GATEWAY else size.coordinators
        )

        def mean(counter, ending=ending, number=number) -> float:
            total = sum(v for n, v in counter.items() if n.endswith(ending))
            return total / number / seconds

        rows.append(
            [
                str(3 * size.gateways),
                str(3 * size.coordinators),
                str(3 * size.servers),
                stretch,
                role,
                f"{mean(count.sent):.0f}",
                f"{mean(count.received):.0f}",
                f"{mean(count.messages):.1f}",
            ]
        )
    return rows


def run() -> str:
    """Measures all sizes; returns the table as Markdown."""
    head = (
        "gateways",
        "coordinators",
        "servers",
        "stretch",
        "role",
        "sent B/s",
        "received B/s",
        "messages/s",
    )
    lines = ["| " + " | ".join(head) + " |", "|---" * len(head) + "|"]
    for size in SIZES:
        lines += ["| " + " | ".join(row) + " |" for row in measure(size)]
    return "\n".join(lines)


if __name__ == "__main__":
    print(run())
