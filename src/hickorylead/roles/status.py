"""Status of control processes and their zones, for `status`."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class GroupStatus:
    """One replica group.

    Attributes:
        name: The group.
        service: Service that it runs.
        domain: Fabric domain.
        state: forming, serving, broken or draining.
        vms: VMs by rank; an empty name where a VM is lost.
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
    """One entry, and the version of its configuration."""

    entry: str
    version: int


@attrs.frozen
class ControlStatus:
    """One control process, and its zone if it holds the lease.

    Attributes:
        node: The control process.
        zone: Its zone.
        version: Version of its configuration.
        preset: Preset in force in that version.
        leader: Control process that it considers the leader of the log.
        is_leader: Whether it leads the log and has a majority.
        is_holder: Whether it holds the zone lease.
        fence: Fencing number of the lease, if the process holds the lease.
        members: Backend servers present.
        largest_domain: VMs of the largest fabric domain.
        stranded: Healthy VMs in no serving group.
        downtime_s: Replica seconds lost so far, while the process held the
            lease.
        services: Wanted and serving replicas of each service.
        groups: All groups.
        entries: All entries that it receives messages from.
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
    """Requests the status of a control process."""

    entry: str
    token: str


@attrs.frozen
class StatusReply:
    """Reply to a status request."""

    token: str
    status: ControlStatus


@attrs.frozen
class ExplainRequest:
    """Requests the history of a request from the entry that accepted it."""

    asker: str
    token: str
    request_id: str


@attrs.frozen
class ExplainStep:
    """One step of a request's history, as `explain` shows it."""

    after_s: float
    what: str
    detail: str
    weighed: tuple[str, ...] = ()


@attrs.frozen
class ExplainReply:
    """Reply to an explain request; `found` is false if no history is stored.

    The reply is sent back through the control process that forwarded the
    request: the two entries do not know each other's addresses.
    """

    token: str
    found: bool
    service: str = ""
    workspace: str = ""
    steps: tuple[ExplainStep, ...] = ()
    asker: str = ""


Message: TypeAlias = StatusRequest | StatusReply | ExplainRequest | ExplainReply
