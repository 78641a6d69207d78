"""All message types on the wire and records on disk, by number.

The fields of the schema are numbered by the order of a class's attributes and
by the order of the tuples below. Append only, and regenerate the schema with
`python -m hickorylead.wire.schema`.
"""

from __future__ import annotations

import importlib
import typing

import attrs


@attrs.frozen
class Variant:
    """A message class, by name.

    A process imports the module only when it first encodes or decodes such a
    message: importing all of them takes a sixth of a gateway's start-up time,
    and callers wait for the start after a power loss.

    Attributes:
        module: Module, below `hickorylead`.
        name: Name of the class; also identifies the message on the wire.
    """

    module: str
    name: str

    def load(self) -> type:
        """Returns the class."""
        module = importlib.import_module(f"hickorylead.{self.module}")
        return typing.cast("type", getattr(module, self.name))


# Classes whose values stand in many messages, each many times.
REPEATED = frozenset({"Instance"})

_CLAIM = "claims.messages"
_CONFIG = "configuration.messages"
_CHANGES = "configuration.changes"
_CONSENSUS = "consensus.messages"
_CRASHES = "crashes.messages"
_FLEET = "fleet.messages"
_LEASE = "lease.messages"
_MEMBER = "membership.messages"
_STATUS = "roles.status"
_NOTICES = "notices.messages"
_RATES = "ratelimits.messages"
_RELAYING = "relaying.messages"
_ROUTING = "routing.messages"

MESSAGES: tuple[Variant, ...] = (
    Variant(_CONSENSUS, "VoteRequest"),
    Variant(_CONSENSUS, "VoteReply"),
    Variant(_CONSENSUS, "AppendRequest"),
    Variant(_CONSENSUS, "AppendReply"),
    Variant(_CONSENSUS, "SnapshotRequest"),
    Variant(_CONSENSUS, "JoinRequest"),
    Variant(_LEASE, "LeaseRequest"),
    Variant(_LEASE, "LeaseReply"),
    Variant(_CLAIM, "ClaimRequest"),
    Variant(_CLAIM, "ClaimReply"),
    Variant(_CLAIM, "ClaimRelease"),
    Variant(_CLAIM, "ClaimFinish"),
    Variant(_CONFIG, "ConfigurationRequest"),
    Variant(_CONFIG, "ConfigurationUpdate"),
    Variant(_CONFIG, "ChangeRequest"),
    Variant(_CONFIG, "ChangeReply"),
    Variant(_CONFIG, "FoundRequest"),
    Variant(_CONFIG, "FoundReply"),
    Variant(_CONFIG, "IdentityRequest"),
    Variant(_CONFIG, "IdentityReply"),
    Variant(_MEMBER, "Edge"),
    Variant(_MEMBER, "Gone"),
    Variant(_MEMBER, "Digest"),
    Variant(_MEMBER, "ResendRequest"),
    Variant(_ROUTING, "TableUpdate"),
    Variant(_ROUTING, "TableRequest"),
    Variant(_STATUS, "StatusRequest"),
    Variant(_STATUS, "StatusReply"),
    Variant(_STATUS, "ExplainRequest"),
    Variant(_STATUS, "ExplainReply"),
    Variant(_ROUTING, "Withdrawal"),
    Variant(_FLEET, "InstanceNews"),
    Variant(_FLEET, "Alive"),
    Variant(_FLEET, "GatewayHello"),
    Variant(_FLEET, "ZoneLoads"),
    Variant(_FLEET, "CoordinatorHello"),
    Variant(_FLEET, "KnownCoordinators"),
    Variant(_FLEET, "DocumentUpdate"),
    Variant(_FLEET, "ReplaceRequest"),
    Variant(_FLEET, "ReplaceReply"),
    Variant(_FLEET, "ReadRequest"),
    Variant(_FLEET, "ReadReply"),
    Variant(_FLEET, "StallNews"),
    Variant(_CRASHES, "CrashNews"),
    Variant(_CRASHES, "BlockNews"),
    Variant(_RATES, "LimitNews"),
    Variant(_RATES, "PermitRequest"),
    Variant(_RATES, "PermitReply"),
    Variant(_NOTICES, "PauseNews"),
    Variant(_NOTICES, "LeaveNews"),
    Variant(_RELAYING, "RelayRequest"),
    Variant(_RELAYING, "RelayOffer"),
    Variant(_RELAYING, "RelayOpen"),
    Variant(_RELAYING, "RelayAccepted"),
    Variant(_RELAYING, "RelayRefused"),
    Variant(_RELAYING, "RelayData"),
    Variant(_RELAYING, "RelayClosed"),
    Variant(_RELAYING, "RelayFinished"),
    Variant(_FLEET, "GatewayRecord"),
    Variant(_FLEET, "RetryLoan"),
    Variant(_FLEET, "DeparturesKept"),
)

RECORDS: tuple[Variant, ...] = (
    Variant(_CONSENSUS, "HardState"),
    Variant(_CONSENSUS, "TruncateLog"),
    Variant(_CONSENSUS, "AppendLog"),
    Variant(_CONSENSUS, "InstallSnapshot"),
)

OPERATIONS: tuple[Variant, ...] = (
    Variant(_CHANGES, "ApplyService"),
    Variant(_CHANGES, "DeleteService"),
    Variant(_CHANGES, "ApplyPreset"),
    Variant(_CHANGES, "SwitchPreset"),
    Variant(_CHANGES, "DrainVm"),
    Variant(_CHANGES, "NoChange"),
    Variant(_CHANGES, "SetVoters"),
    Variant(_CHANGES, "ReplaceWhole"),
)

# Unions within messages; each becomes a struct of the schema.
UNIONS: tuple[tuple[str, tuple[Variant, ...]], ...] = (
    ("Operation", OPERATIONS),
)
ROOTS: tuple[tuple[str, tuple[Variant, ...]], ...] = (
    ("Message", MESSAGES),
    ("Record", RECORDS),
)


def is_union(hint: typing.Any) -> bool:
    """Returns whether an annotation is a union of message classes."""
    return bool(typing.get_args(hint)) and typing.get_origin(hint) is not tuple
