"""How urgent the messages between processes are."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.consensus import messages as consensus_messages
from hickorylead.fleet import messages as fleet_messages
from hickorylead.turns import work_queue

if TYPE_CHECKING:
    from hickorylead.roles import interface


def find_lane(message: interface.Message) -> work_queue.Lane:
    """Returns the lane in which a message waits to be handled.

    Urgent is what others judge a coordinator by, and what operators wait for.
    """
    match message:
        case (
            consensus_messages.VoteRequest()
            | consensus_messages.VoteReply()
            | consensus_messages.AppendRequest()
            | consensus_messages.AppendReply()
            | consensus_messages.SnapshotRequest()
            | consensus_messages.JoinRequest()
            | fleet_messages.CoordinatorHello()
            | fleet_messages.ReadRequest()
            | fleet_messages.ReadReply()
            | fleet_messages.ReplaceRequest()
            | fleet_messages.ReplaceReply()
        ):
            return work_queue.Lane.URGENT
    return work_queue.Lane.ORDINARY
