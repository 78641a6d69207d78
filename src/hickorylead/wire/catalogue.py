"""All message types that cross the wire or reach the disk, by number.

The order of a class's attributes and the order of the tuples below number the
fields of the schema. Add at the end only, and make the schema anew with
`python -m hickorylead.wire.schema`.
"""

from __future__ import annotations

from typing import Any

from hickorylead.claims import messages as claim
from hickorylead.configuration import changes, messages as config
from hickorylead.consensus import messages as consensus
from hickorylead.fleet import messages as fleet
from hickorylead.lease import messages as lease
from hickorylead.membership import messages as member
from hickorylead.roles import status
from hickorylead.routing import messages as routing

MESSAGES: tuple[type, ...] = (
    consensus.VoteRequest,
    consensus.VoteReply,
    consensus.AppendRequest,
    consensus.AppendReply,
    consensus.SnapshotRequest,
    consensus.JoinRequest,
    lease.LeaseRequest,
    lease.LeaseReply,
    claim.ClaimRequest,
    claim.ClaimReply,
    claim.ClaimRelease,
    claim.ClaimFinish,
    config.ConfigurationRequest,
    config.ConfigurationUpdate,
    config.ChangeRequest,
    config.ChangeReply,
    config.FoundRequest,
    config.FoundReply,
    config.IdentityRequest,
    config.IdentityReply,
    member.Edge,
    member.Gone,
    member.Digest,
    member.ResendRequest,
    routing.TableUpdate,
    routing.TableRequest,
    status.StatusRequest,
    status.StatusReply,
    status.ExplainRequest,
    status.ExplainReply,
    routing.Withdrawal,
    fleet.InstanceNews,
    fleet.Alive,
    fleet.GatewayHello,
    fleet.ZoneLoads,
    fleet.CoordinatorHello,
    fleet.KnownCoordinators,
    fleet.DocumentUpdate,
    fleet.ReplaceRequest,
    fleet.ReplaceReply,
    fleet.ReadRequest,
    fleet.ReadReply,
    fleet.StallNews,
)

RECORDS: tuple[type, ...] = (
    consensus.HardState,
    consensus.TruncateLog,
    consensus.AppendLog,
    consensus.InstallSnapshot,
)

OPERATIONS: tuple[type, ...] = (
    changes.ApplyService,
    changes.DeleteService,
    changes.ApplyPreset,
    changes.SwitchPreset,
    changes.DrainVm,
    changes.NoChange,
    changes.SetVoters,
    changes.ReplaceWhole,
)

# Unions by the annotation that names them; each is a struct of its own.
UNIONS: dict[Any, tuple[str, tuple[type, ...]]] = {
    changes.Operation: ("Operation", OPERATIONS),
}
ROOTS: tuple[tuple[str, tuple[type, ...]], ...] = (
    ("Message", MESSAGES),
    ("Record", RECORDS),
)
