"""Messages with the configuration and changes of it."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead.configuration import changes, model


@attrs.frozen
class ConfigurationRequest:
    """Requests a configuration newer than a version, if there is one."""

    node: str
    version: int


@attrs.frozen
class ConfigurationUpdate:
    """Reports a version, with the document if the receiver's is older.

    Attributes:
        sender: Control process that sends it.
        ready: Whether the sender is certain to hold a version at least as new
            as the one in force in its zone.
        from_leader: Whether the sender leads the voters with a majority.
        leader: Leader according to the sender; empty if it has none.
        version: Version that the sender holds.
        configuration: The document; at version 0 if it was not needed.
    """

    sender: str
    ready: bool
    from_leader: bool
    leader: str
    version: int
    configuration: model.Configuration = model.Configuration()


@attrs.frozen
class ChangeRequest:
    """A change, from an entry to a control process."""

    entry: str
    change: changes.Change


@attrs.frozen
class ChangeReply:
    """Reply to a change.

    Attributes:
        outcome: The outcome, if `final`.
        final: Whether the change has been decided.
        leader: Control process to send the change to instead; empty if there is
            no leader.
        lost: Whether the change was appended by a leader that then lost its
            majority; it may take effect or not, which a resend determines.
    """

    outcome: changes.Outcome
    final: bool
    leader: str = ""
    lost: bool = False


@attrs.frozen
class FoundRequest:
    """Requests a control process with a data folder to start the cluster."""

    entry: str
    cluster: str


@attrs.frozen
class FoundReply:
    """Reply to a request to start the cluster."""

    cluster: str
    done: bool
    detail: str


@attrs.frozen
class IdentityRequest:
    """Queries a control process for its member name, before the bootstrap."""

    node: str


@attrs.frozen
class IdentityReply:
    """Reports the member name of a control process with a data folder.

    Attributes:
        node: Control process that replies.
        member: Its member name; empty if it has no data folder.
        cluster: Cluster that it belongs to; empty if there is none.
    """

    node: str
    member: str
    cluster: str


Message: TypeAlias = (
    ConfigurationRequest
    | ConfigurationUpdate
    | ChangeRequest
    | ChangeReply
    | FoundRequest
    | FoundReply
    | IdentityRequest
    | IdentityReply
)


@attrs.frozen
class Send:
    """Effect: send a configuration message to a node."""

    node: str
    message: Message
