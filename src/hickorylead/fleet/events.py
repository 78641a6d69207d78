"""Events and effects of a coordinator other than messages and orders."""

from __future__ import annotations

import attrs

from hickorylead.crashes import messages
from hickorylead.fleet import instances, messages as fleet_messages


@attrs.frozen
class HeartbeatArrived:
    """Event: a backend server sent a heartbeat.

    Attributes:
        instance: What it reports.
        token: Identifies the call if its acknowledgement is awaited.
    """

    instance: instances.Instance
    token: str = ""


@attrs.frozen
class InstanceLeft:
    """Event: a backend server reported that it leaves for good.

    Attributes:
        name: The server.
        born: Start time of the incarnation that is leaving; 0 if the server
            does not report one.
        token: Identifies the call if its acknowledgement is awaited.
    """

    name: str
    born: int = 0
    token: str = ""


@attrs.frozen
class DeparturesSaved:
    """Event: departures are on disk, or could not be written.

    Attributes:
        effect: What was to be saved.
        is_saved: Whether it is on disk.
    """

    effect: SaveDepartures
    is_saved: bool


@attrs.frozen
class ReplaceRequested:
    """Event: an operator sent a full configuration, already validated.

    Attributes:
        token: Identifies the call.
        version: The operator's version.
        content: The configuration, packed.
    """

    token: str
    version: int
    content: bytes


@attrs.frozen
class UrgentTick:
    """Event: time has passed, and all urgent messages were handled."""


@attrs.frozen
class OrdinaryTick:
    """Event: time has passed, and all that had arrived was handled."""


@attrs.frozen
class PlanningDue:
    """Event: servers may be given orders, as nothing more urgent waits."""


@attrs.frozen
class ConfigurationDue:
    """Event: a configuration that the log holds may be decoded and applied."""


@attrs.frozen
class ReadRequested:
    """Event: an operator requested the newest configuration."""

    token: str


@attrs.frozen
class SaveInstances:
    """Effect: persist the known backend servers, to restore after a restart.

    Attributes:
        known: All servers known at present.
    """

    known: tuple[instances.Instance, ...]


@attrs.frozen
class SaveDepartures:
    """Effect: persist servers that are leaving or gone, then tell the reducer.

    Attributes:
        servers: Their state.
        origin: Coordinator that was first to receive it; empty if this one.
    """

    servers: tuple[instances.Instance, ...]
    origin: str = ""


@attrs.frozen
class AnswerReport:
    """Effect: respond to a server's report that it leaves.

    Attributes:
        token: Identifies the call.
        accepted: Whether the departure is certain to outlast a restart.
    """

    token: str
    accepted: bool


@attrs.frozen
class SaveCrashes:
    """Effect: persist the known lost runs, to restore after a restart.

    A lost run is a request whose server may have ended while running it.

    Attributes:
        known: All lost runs known at present, with their ages.
    """

    known: messages.CrashNews


@attrs.frozen
class SaveGatewayRecord:
    """Effect: persist what a coordinator keeps about the gateways.

    Attributes:
        record: What it keeps.
    """

    record: fleet_messages.GatewayRecord


@attrs.frozen
class AnswerReplace:
    """Effect: respond to an operator's configuration.

    Attributes:
        token: Identifies the call.
        accepted: True if the configuration is durably accepted; False if that
            is not certain.
    """

    token: str
    accepted: bool


@attrs.frozen
class AnswerRead:
    """Effect: respond to an operator's request for the configuration.

    Attributes:
        token: Identifies the call.
        version: The operator's version; 0 if there is none.
        content: The configuration, packed; None if the newest is not known.
    """

    token: str
    version: int
    content: bytes | None
