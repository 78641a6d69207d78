"""Node names of processes: `zone/vm/role`."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

ENTRY = "entry"
CONTROL = "control"
GATEWAY = "gateway"
COORDINATOR = "coordinator"


def make_node_name(zone: str, vm: str, role: str) -> str:
    """Returns the node name of a process."""
    return f"{zone}/{vm}/{role}"


def get_zone(node: str) -> str:
    """Returns the zone of a process."""
    return node.partition("/")[0]


def group_by_zone(nodes: Iterable[str]) -> dict[str, tuple[str, ...]]:
    """Returns the nodes of each zone, sorted."""
    zones: dict[str, list[str]] = {}
    for node in sorted(nodes):
        zones.setdefault(get_zone(node), []).append(node)
    return {zone: tuple(names) for zone, names in zones.items()}


def make_request_id(entry: str, boot: int, count: int) -> str:
    """Returns a request ID that contains the node name of its entry."""
    zone, vm, _ = entry.split("/")
    return f"{zone}.{vm}.{boot:x}-{count:x}"


def parse_entry_node(request_id: str) -> str | None:
    """Returns the entry that accepted a request, from the request ID."""
    parts = request_id.split(".")
    if len(parts) != 3 or not all(parts):
        return None
    return make_node_name(parts[0], parts[1], ENTRY)
