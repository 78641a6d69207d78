"""Messages that carry the configuration and changes of it."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead.configuration import changes, model


@attrs.frozen
class ConfigurationRequest:
    """Asks a control process for anything newer than a version."""

    node: str
    version: int


@attrs.frozen
class ConfigurationUpdate:
    """Tells a version, and the document if the receiver's is older.

    Attributes:
        sender: Control process that tells.
        ready: Whether the sender surely knows what was in force in its zone.
        from_leader: Whether the sender leads the voters with a majority.
        leader: Control process that it takes for the leader; may be empty.
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
    """Answers a change.

    Attributes:
        outcome: The answer, if `final`.
        final: Whether the change has been decided.
        leader: Where to send it instead; empty if there is no leader.
        lost: Whether it was appended by a leader that then lost its majority;
            it may take effect or not, and a resend finds out.
    """

    outcome: changes.Outcome
    final: bool
    leader: str = ""
    lost: bool = False


@attrs.frozen
class FoundRequest:
    """Asks a control process with a data folder to start the cluster."""

    entry: str
    cluster: str


@attrs.frozen
class FoundReply:
    """Answers a request to start the cluster."""

    cluster: str
    done: bool
    detail: str


@attrs.frozen
class IdentityRequest:
    """Asks a control process which member it is, before there is a cluster."""

    node: str


@attrs.frozen
class IdentityReply:
    """Tells the member of a control process with a data folder.

    Attributes:
        node: Control process that answers.
        member: Its member name; empty if it has no data folder.
        cluster: Cluster that it belongs to; empty if to none.
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
