"""The faults of one run: overlapping series that are drawn from a seed."""

from __future__ import annotations

import random

import attrs

# Seconds between the starts of two series, and between the faults of one.
SERIES_GAP_S = (0.3, 2.5)
FAULT_GAP_S = (0.1, 1.5)
# A disk may be lost only after the cluster has recovered from the previous
# loss: a voter with an empty disk is readmitted within about 6 s.
WIPE_GAP_S = 14.0


@attrs.frozen
class Kill:
    """A process is killed and restarted; its journal may get a torn record."""

    node: str
    down_s: float
    torn: bool = False


@attrs.frozen
class KillRole:
    """All processes of a role are killed at the same time."""

    role: str
    down_s: float


@attrs.frozen
class Wipe:
    """A coordinator is killed and restarted with an empty disk."""

    node: str
    down_s: float


@attrs.frozen
class Freeze:
    """A process is stopped (SIGSTOP) and later continued."""

    node: str
    duration_s: float


@attrs.frozen
class Terminate:
    """A process gets SIGTERM and is restarted."""

    node: str


@attrs.frozen
class Reload:
    """A process gets SIGHUP."""

    node: str


@attrs.frozen
class Partition:
    """Bytes between some nodes and all others are blocked.

    Attributes:
        nodes: The nodes that are partitioned from all others.
        duration_s: How long the partition lasts.
        direction: Blocked direction, seen from the nodes: `in`, `out` or
            `both`.
    """

    nodes: tuple[str, ...]
    duration_s: float
    direction: str


@attrs.frozen
class Delay:
    """Bytes to and from a node are delayed."""

    node: str
    duration_s: float
    delay_s: float


@attrs.frozen
class Reset:
    """All connections of a node are reset."""

    node: str


@attrs.frozen
class Blackhole:
    """All open connections of a node drop all bytes; new ones work."""

    node: str


@attrs.frozen
class Crash:
    """A backend server ends without notice and is replaced by a new one."""

    server: int
    down_s: float


@attrs.frozen
class Drain:
    """A backend server drains, ends and is replaced by a new one."""

    server: int


@attrs.frozen
class Change:
    """The configuration is changed once, or by two changes at once."""

    racing: bool


@attrs.frozen
class LargeChanges:
    """Several large configurations are sent at once.

    Attributes:
        count: How many.
        keys: Keys of workspaces in each, of 20 random characters.
    """

    count: int
    keys: int


@attrs.frozen
class LoseResponses:
    """For some time, servers run requests but lose part of the responses."""

    share: float
    duration_s: float


@attrs.frozen
class DelayOrders:
    """For some time, servers carry out some orders late, without responding."""

    share: float
    duration_s: float


@attrs.frozen
class Isolate:
    """Gateways lose their connections to all backend servers.

    Attributes:
        nodes: The gateways.
        duration_s: How long it lasts.
        kind: `hang`: open connections and new ones hang; `reset`: open ones are
            reset, new ones refused; `refuse`: open ones work, new ones are
            refused.
    """

    nodes: tuple[str, ...]
    duration_s: float
    kind: str


@attrs.frozen
class CrashingPart:
    """For some time, requests come whose prompts have a part that ends servers.

    Attributes:
        part: Id of the part.
        duration_s: How long.
        per_s: Requests a second.
    """

    part: str
    duration_s: float
    per_s: float


Fault = (
    Kill
    | KillRole
    | Wipe
    | Freeze
    | Terminate
    | Reload
    | Partition
    | Delay
    | Reset
    | Blackhole
    | Crash
    | Drain
    | Change
    | LargeChanges
    | LoseResponses
    | DelayOrders
    | Isolate
    | CrashingPart
)


def draw_plan(
    seed: int,
    *,
    seconds: float,
    gateways: list[str],
    coordinators: list[str],
    servers: int,
) -> list[tuple[float, Fault]]:
    """Returns the faults of a run with their start times, in seconds."""
    drawer = _Drawer(seed, gateways, coordinators, servers)
    plan: list[tuple[float, Fault]] = []
    at = 0.5
    while at < seconds:
        kinds = drawer.draw_kinds()
        moment = at
        for kind in kinds:
            if moment < seconds:
                plan.append((moment, drawer.draw(kind, moment)))
            moment += drawer.rng.uniform(*FAULT_GAP_S)
        at += drawer.rng.uniform(*SERIES_GAP_S) + 0.5 * (moment - at)
    if seed % 3 == 1:
        # A generator of its own keeps the other faults of the seed as they are.
        rng = random.Random(f"parts {seed}")
        fault = CrashingPart(f"bad{seed:x}", rng.uniform(6.0, 14.0), 4.0)
        plan.append((rng.uniform(0.0, seconds / 2), fault))
    if seed % 4 == 2:
        rng = random.Random(f"large {seed}")
        for _ in range(rng.randint(1, 3)):
            fault = LargeChanges(rng.randint(2, 8), rng.randint(2000, 150_000))
            plan.append((rng.uniform(0.0, seconds), fault))
    return sorted(plan, key=lambda item: item[0])


class _Drawer:
    """Draws faults; every fifth seed has planned operations only."""

    def __init__(
        self,
        seed: int,
        gateways: list[str],
        coordinators: list[str],
        servers: int,
    ) -> None:
        self.rng = random.Random(seed)
        self._gateways = gateways
        self._coordinators = coordinators
        self._servers = servers
        self._wiped_at = -WIPE_GAP_S
        self.is_planned_only = seed % 5 == 0

    def draw_kinds(self) -> list[type]:
        """Returns the kinds of faults of a series; kinds often repeat."""
        kinds: list[type] = [Terminate, Reload, Change, Drain]
        if not self.is_planned_only:
            kinds += [Kill, KillRole, Wipe, Freeze, Partition, Delay, Reset]
            kinds += [Blackhole, Crash, Kill, Partition, Crash]
            kinds += [LoseResponses, DelayOrders, Isolate, Isolate]
        first = self.rng.choice(kinds)
        return [
            first if self.rng.random() < 0.5 else self.rng.choice(kinds)
            for _ in range(self.rng.randint(1, 4))
        ]

    def draw(self, kind: type, at: float) -> Fault:
        """Returns a fault of a kind with drawn parameters."""
        rng = self.rng
        node = rng.choice(self._gateways + self._coordinators)
        duration_s = rng.uniform(0.3, 5.0)
        if kind is Wipe and at - self._wiped_at < WIPE_GAP_S:
            kind = Kill
        match kind.__name__:
            case "Kill":
                return Kill(node, duration_s, rng.random() < 0.3)
            case "KillRole":
                role = rng.choice(("gateway", "coordinator"))
                return KillRole(role, rng.uniform(0.1, 1.0))
            case "Wipe":
                self._wiped_at = at
                return Wipe(rng.choice(self._coordinators), duration_s)
            case "Freeze":
                return Freeze(node, duration_s)
            case "Terminate":
                return Terminate(node)
            case "Reload":
                return Reload(node)
            case "Partition":
                direction = rng.choice(("in", "out", "both"))
                return Partition(self._draw_nodes(), duration_s, direction)
            case "Delay":
                return Delay(node, duration_s, rng.uniform(0.01, 0.3))
            case "Reset":
                return Reset(node)
            case "Blackhole":
                return Blackhole(node)
            case "Crash":
                return Crash(rng.randrange(self._servers), duration_s)
            case "Drain":
                return Drain(rng.randrange(self._servers))
            case "LoseResponses":
                return LoseResponses(rng.uniform(0.02, 0.2), duration_s)
            case "Isolate":
                count = rng.randint(1, len(self._gateways) - 1)
                return Isolate(
                    tuple(rng.sample(self._gateways, count)),
                    duration_s + 1.0,
                    rng.choice(("hang", "reset", "refuse")),
                )
            case "DelayOrders":
                return DelayOrders(rng.uniform(0.2, 0.6), duration_s)
        return Change(rng.random() < 0.4)

    def _draw_nodes(self) -> tuple[str, ...]:
        node_names = self._gateways + self._coordinators
        if self.rng.random() < 0.3:
            # All nodes of a zone; their names start with it.
            zone = self.rng.choice(("z1", "z2", "z3"))
            return tuple(n for n in node_names if n.startswith(zone))
        return (self.rng.choice(node_names),)
