"""What each control process tells about its zone, for `status`."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class GroupStatus:
    """One replica group.

    Attributes:
        name: The group.
        service: Service it runs.
        domain: Fabric domain.
        state: forming, serving, broken or draining.
        vms: VMs by rank; empty where one is lost.
    """

    name: str
    service: str
    domain: str
    state: str
    vms: tuple[str, ...]


@attrs.frozen
class ServiceStatus:
    """One service in one zone."""

    service: str
    wanted: int
    serving: int


@attrs.frozen
class EntryStatus:
    """One entry, and the configuration version it follows."""

    entry: str
    version: int


@attrs.frozen
class ControlStatus:
    """One control process, and its zone if it holds the lease.

    Attributes:
        node: The control process.
        zone: Its zone.
        version: Configuration version that it holds.
        preset: Preset in force by that version.
        leader: Control process that it takes for the leader of the log.
        is_leader: Whether it leads the log with a majority.
        is_holder: Whether it holds the zone lease.
        fence: Its fencing number, if it does.
        members: Backend servers present.
        largest_domain: VMs of the largest fabric domain.
        stranded: Healthy VMs in no serving group.
        downtime_s: Replica seconds lost so far, while it held the lease.
        services: What is wanted and what serves.
        groups: All groups.
        entries: All entries heard.
    """

    node: str
    zone: str
    version: int
    preset: str
    leader: str
    is_leader: bool
    is_holder: bool
    fence: int
    members: int
    largest_domain: int
    stranded: int
    downtime_s: float
    services: tuple[ServiceStatus, ...] = ()
    groups: tuple[GroupStatus, ...] = ()
    entries: tuple[EntryStatus, ...] = ()


@attrs.frozen
class StatusRequest:
    """Asks a control process for its status."""

    entry: str
    token: str


@attrs.frozen
class StatusReply:
    """Answers a status request."""

    token: str
    status: ControlStatus


@attrs.frozen
class ExplainRequest:
    """Asks the entry that took a request what happened to it."""

    asker: str
    token: str
    request_id: str


@attrs.frozen
class ExplainStep:
    """One step of a trail, as `explain` shows it."""

    after_s: float
    what: str
    detail: str
    weighed: tuple[str, ...] = ()


@attrs.frozen
class ExplainReply:
    """Answers an explain request; not `found` if the trail is not kept.

    It goes back through the control process that passed the request on: the
    two entries do not know each other's addresses.
    """

    token: str
    found: bool
    service: str = ""
    workspace: str = ""
    steps: tuple[ExplainStep, ...] = ()
    asker: str = ""


Message: TypeAlias = StatusRequest | StatusReply | ExplainRequest | ExplainReply
