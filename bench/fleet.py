"""Control costs of gateways and coordinators, at several sizes.

A deployment of the real reducers runs in one process, in simulated time. What
each node sends is encoded by the real codec and counted.
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

IDLE_S = 10.0
LOSSES = 5
LOSS_INTERVAL_S = 2.0


@attrs.frozen
class Size:
    """One size of a deployment of three zones.

    Attributes:
        gateways: Gateways of a zone.
        coordinators: Coordinators of a zone.
        servers: Backend servers of a zone.
        domain: Backend servers of a fabric domain.
    """

    gateways: int
    coordinators: int
    servers: int
    domain: int


SIZES = (Size(3, 1, 16, 8), Size(12, 2, 32, 8), Size(24, 2, 57, 19))


class MessageCounter:
    """Bytes and messages of each node, during one measurement."""

    def __init__(self) -> None:
        self.sent = collections.Counter()
        self.received = collections.Counter()
        self.messages = collections.Counter()
        self._last = (None, 0)

    def record(self, sender: str, target: str, message: object) -> None:
        """Counts one message."""
        last_message, size = self._last
        if last_message is not message:
            envelope = codec.Envelope(sender, "10.0.0.10:7000", message)
            size = len(codec.encode_envelope(envelope)) + frame.HEADER.size
            self._last = (message, size)
        self.sent[sender] += size
        self.received[target] += size
        self.messages[sender] += 1


def measure(size: Size) -> list[list[str]]:
    """Returns rows of the table for a size."""
    simulation = fleet_simulation.FleetSimulation(
        servers_per_zone=size.servers,
        domain_size=size.domain,
        gateways_per_zone=size.gateways,
        coordinators_per_zone=size.coordinators,
    )
    simulation.run(2.0)
    simulation.replace(simulation.coordinator_names[0], 1)
    rows = []
    forming = _count_messages(simulation, lambda: simulation.run(10.0))
    rows += _render(size, "groups form", 10.0, forming)
    idle = _count_messages(simulation, lambda: simulation.run(IDLE_S))
    rows += _render(size, "quiet", IDLE_S, idle)

    def lose_servers() -> None:
        for number in range(LOSSES):
            simulation.crash(simulation.list_open_heads()[number].name)
            simulation.run(LOSS_INTERVAL_S)

    lossy = _count_messages(simulation, lose_servers)
    rows += _render(size, "a loss each 2 s", LOSSES * LOSS_INTERVAL_S, lossy)
    return rows


def _count_messages(simulation, action) -> MessageCounter:
    counter = MessageCounter()
    simulation.on_send = counter.record
    action()
    simulation.on_send = None
    return counter


def _render(
    size: Size, period: str, seconds: float, counter: MessageCounter
) -> list[list[str]]:
    rows = []
    for role in (nodes.GATEWAY, nodes.COORDINATOR):
        ending = f"/{role}"
        number = 3 * (
            size.gateways if role == nodes.GATEWAY else size.coordinators
        )

        def mean_per_s(counts, ending=ending, number=number) -> float:
            total = sum(v for n, v in counts.items() if n.endswith(ending))
            return total / number / seconds

        rows.append(
            [
                str(3 * size.gateways),
                str(3 * size.coordinators),
                str(3 * size.servers),
                period,
                role,
                f"{mean_per_s(counter.sent):.0f}",
                f"{mean_per_s(counter.received):.0f}",
                f"{mean_per_s(counter.messages):.1f}",
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
