"""The faults of one run, drawn from a seed: series that overlap."""

from __future__ import annotations

import random

import attrs

# Seconds between the starts of two series, and between the faults of one.
SERIES_GAP_S = (0.3, 2.5)
FAULT_GAP_S = (0.1, 1.5)
# A disk may be lost only when the last one has been made up for: an empty voter
# is taken in within about 6 s.
WIPE_GAP_S = 14.0


@attrs.frozen
class Kill:
    """A process is killed, and back after a while; its journal may be torn."""

    node: str
    down_s: float
    torn: bool = False


@attrs.frozen
class KillMany:
    """All processes of a role are killed at one moment."""

    role: str
    down_s: float


@attrs.frozen
class Wipe:
    """A coordinator is killed and comes back with an empty disk."""

    node: str
    down_s: float


@attrs.frozen
class Pause:
    """A process stands still (SIGSTOP), and goes on."""

    node: str
    for_s: float


@attrs.frozen
class Terminate:
    """A process gets SIGTERM and is started again."""

    node: str


@attrs.frozen
class Reload:
    """A process gets SIGHUP."""

    node: str


@attrs.frozen
class Cut:
    """Bytes between some nodes and all others are held up.

    Attributes:
        nodes: These nodes.
        for_s: For how long.
        way: `in`, `out` or `both`.
    """

    nodes: tuple[str, ...]
    for_s: float
    way: str


@attrs.frozen
class Delay:
    """Bytes to and from a node come late."""

    node: str
    for_s: float
    delay_s: float


@attrs.frozen
class Reset:
    """All connections of a node are reset."""

    node: str


@attrs.frozen
class Silence:
    """All open connections of a node carry nothing any more; new ones do."""

    node: str


@attrs.frozen
class Crash:
    """A backend server ends without a word, and another one comes."""

    server: int
    down_s: float


@attrs.frozen
class Drain:
    """A backend server says that it leaves, and leaves."""

    server: int


@attrs.frozen
class Change:
    """An operator changes the configuration, or two do at once."""

    racing: bool


@attrs.frozen
class LoseAnswers:
    """Backend servers run requests and reset their connections, for a while."""

    share: float
    for_s: float


@attrs.frozen
class DelayOrders:
    """Servers leave orders unanswered and carry them out late, for a while."""

    share: float
    for_s: float


Fault = (
    Kill
    | KillMany
    | Wipe
    | Pause
    | Terminate
    | Reload
    | Cut
    | Delay
    | Reset
    | Silence
    | Crash
    | Drain
    | Change
    | LoseAnswers
    | DelayOrders
)


def draw_plan(
    seed: int,
    *,
    seconds: float,
    gateways: list[str],
    coordinators: list[str],
    servers: int,
) -> list[tuple[float, Fault]]:
    """Returns the faults of a run with their times, in seconds."""
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
    return sorted(plan, key=lambda item: item[0])


class _Drawer:
    """Draws faults; every fifth seed has planned work only."""

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
        """Returns the kinds of one series; one kind often comes again."""
        kinds: list[type] = [Terminate, Reload, Change, Drain]
        if not self.is_planned_only:
            kinds += [Kill, KillMany, Wipe, Pause, Cut, Delay, Reset]
            kinds += [Silence, Crash, Kill, Cut, Crash]
            kinds += [LoseAnswers, DelayOrders]
        first = self.rng.choice(kinds)
        return [
            first if self.rng.random() < 0.5 else self.rng.choice(kinds)
            for _ in range(self.rng.randint(1, 4))
        ]

    def draw(self, kind: type, at: float) -> Fault:
        """Returns a fault of a kind."""
        rng = self.rng
        node = rng.choice(self._gateways + self._coordinators)
        for_s = rng.uniform(0.3, 5.0)
        if kind is Wipe and at - self._wiped_at < WIPE_GAP_S:
            kind = Kill
        match kind.__name__:
            case "Kill":
                return Kill(node, for_s, rng.random() < 0.3)
            case "KillMany":
                role = rng.choice(("gateway", "coordinator"))
                return KillMany(role, rng.uniform(0.1, 1.0))
            case "Wipe":
                self._wiped_at = at
                return Wipe(rng.choice(self._coordinators), for_s)
            case "Pause":
                return Pause(node, for_s)
            case "Terminate":
                return Terminate(node)
            case "Reload":
                return Reload(node)
            case "Cut":
                way = rng.choice(("in", "out", "both"))
                return Cut(self._draw_nodes(), for_s, way)
            case "Delay":
                return Delay(node, for_s, rng.uniform(0.01, 0.3))
            case "Reset":
                return Reset(node)
            case "Silence":
                return Silence(node)
            case "Crash":
                return Crash(rng.randrange(self._servers), for_s)
            case "Drain":
                return Drain(rng.randrange(self._servers))
            case "LoseAnswers":
                return LoseAnswers(rng.uniform(0.02, 0.2), for_s)
            case "DelayOrders":
                return DelayOrders(rng.uniform(0.2, 0.6), for_s)
        return Change(rng.random() < 0.4)

    def _draw_nodes(self) -> tuple[str, ...]:
        everyone = self._gateways + self._coordinators
        if self.rng.random() < 0.3:
            # A whole zone: nodes are named by it.
            zone = self.rng.choice(("z1", "z2", "z3"))
            return tuple(n for n in everyone if n.startswith(zone))
        return (self.rng.choice(everyone),)
