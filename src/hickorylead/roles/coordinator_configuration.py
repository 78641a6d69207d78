"""The configuration at a coordinator: its voter, and what is in force here."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

import attrs

from hickorylead import notes
from hickorylead.consensus import (
    configuration_requests,
    messages as consensus_messages,
    voter as voter_module,
)
from hickorylead.fleet import events, held_document, messages
from hickorylead.roles import interface

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    import random

    from returns import result

    from hickorylead.configuration import document as document_module
    from hickorylead.consensus import options
    from hickorylead.fleet import (
        gateways as gateways_module,
        identity as identity_module,
        peer_directory as peer_directory_module,
    )
    from hickorylead.turns import own_pauses

Effect: TypeAlias = (
    interface.Send
    | consensus_messages.Persist
    | events.AnswerReplace
    | events.AnswerRead
    | notes.Note
)


class CoordinatorConfiguration:
    """Passes changes to the voter, and what is committed to gateways."""

    def __init__(
        self,
        identity: identity_module.Identity,
        *,
        decode_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        peers: peer_directory_module.PeerDirectory,
        gateways: gateways_module.Gateways,
        pauses: own_pauses.OwnPauses,
        use_document: Callable[[document_module.Document], None],
        handle_commit: Callable[[float], Iterable[Any]],
        records: Sequence[consensus_messages.Record],
        rng: random.Random,
        now: float,
        voter_options: options.VoterOptions,
    ) -> None:
        """Restores what the disk holds.

        Args:
            identity: The coordinator.
            decode_document: Decodes a complete configuration as operators
                submit it.
            peers: Coordinators known to it.
            gateways: Gateways known to it.
            pauses: Times at which urgent messages were not handled.
            use_document: Called with each document that is decoded.
            handle_commit: Called after a configuration was committed; returns
                further effects.
            records: Records of its journal.
            rng: Source of the jitter of elections.
            now: Present time.
            voter_options: Options of its voter.
        """
        self._identity = identity
        self._peers = peers
        self._gateways = gateways
        self._pauses = pauses
        self._use_document = use_document
        self._handle_commit = handle_commit
        self._held = held_document.HeldDocument(decode_document)
        # Whether a committed configuration is still to be decoded.
        self.has_unapplied = False
        self.restart_voter(records, rng, now, voter_options)

    def restart_voter(
        self,
        records: Sequence[consensus_messages.Record],
        rng: random.Random,
        now: float,
        voter_options: options.VoterOptions,
    ) -> None:
        """Restores the voter from the disk, after a start or a disk fault."""
        self.voter = voter_module.Voter(
            node=self._identity.node,
            incarnation=self._identity.incarnation,
            peers=tuple(self._peers.known),
            rng=rng,
            now=now,
            options=attrs.evolve(voter_options, zones=self._identity.zones),
            is_founder=self._identity.may_bootstrap,
            pauses=self._pauses,
        )
        self.voter.restore(records)
        self.requests = configuration_requests.ConfigurationRequests(
            node=self._identity.node,
            start_id=f"{rng.getrandbits(32):08x}",
            voter=self.voter,
        )
        self._held.load(self.voter.configuration)
        self._decode()

    @property
    def version(self) -> int:
        """Operators' version of the configuration that this node holds."""
        return self._held.version

    @property
    def size_bytes(self) -> int:
        """Size of the configuration as it is sent to gateways, in bytes."""
        return self._held.size_bytes

    @property
    def document(self) -> document_module.Document | None:
        """The configuration that this node has applied."""
        return self._held.document

    def make_update(self, now: float) -> messages.DocumentUpdate:
        """Returns the message that puts it in force at a gateway."""
        return self._held.make_update(
            self._identity.node, is_fresh=self.voter.is_fresh(now)
        )

    def replace(
        self,
        token: str,
        version: int,
        content: bytes,
        now: float,
        *,
        requester: str = "",
    ) -> list[Effect]:
        """Handles a complete configuration of an operator.

        Args:
            token: Identifies the call.
            version: The operator's version.
            content: The configuration, packed.
            now: Present time.
            requester: Coordinator that forwards the call; empty if none.
        """
        return self.convert_effects(
            self.requests.replace(
                token,
                version=version,
                content=content,
                requester=requester,
                now=now,
            ),
            now,
        )

    def read(
        self,
        token: str,
        now: float,
        *,
        held_version: int = 0,
        requester: str = "",
    ) -> list[Effect]:
        """Handles an operator's request for the newest configuration.

        Args:
            token: Identifies the call.
            now: Present time.
            held_version: Version that the requester has.
            requester: Coordinator that forwards the call; empty if none.
        """
        return self.convert_effects(
            self.requests.read(
                token, requester=requester, held_version=held_version, now=now
            ),
            now,
        )

    def receive_reply(
        self, reply: messages.ReplaceReply | messages.ReadReply, now: float
    ) -> list[Effect]:
        """Handles the reply of another coordinator to a forwarded request."""
        return self.convert_effects(self.requests.receive(reply, now), now)

    def receive(
        self, message: consensus_messages.Message, now: float
    ) -> list[Effect]:
        """Handles a message of another voter."""
        effects = self.convert_effects(self.voter.receive(message, now), now)
        if isinstance(message, consensus_messages.AppendReply):
            effects += self.tick_requests(now)
        return effects

    def tick_voter(self, now: float) -> list[Effect]:
        """Handles the timeouts of the voter."""
        self.voter.set_peers(self._peers.heard_at)
        return self.convert_effects(self.voter.tick(now), now)

    def tick_requests(self, now: float) -> list[Effect]:
        """Handles the timeouts of operators' requests."""
        return self.convert_effects(self.requests.tick(now), now)

    def convert_effects(
        self, effects: Iterable[configuration_requests.Effect], now: float
    ) -> list[Effect]:
        """Converts effects of the voter and of operators' requests."""
        wrapped: list[Effect] = []
        for effect in effects:
            match effect:
                case consensus_messages.Send(node, message):
                    wrapped.append(interface.Send(node, message))
                case configuration_requests.SendTo(node, message):
                    wrapped.append(interface.Send(node, message))
                case consensus_messages.Answer(outcome):
                    wrapped += self.convert_effects(
                        self.requests.handle_committed(outcome.change_id, now),
                        now,
                    )
                case consensus_messages.Abandon(change_id):
                    self.requests.handle_abandoned(change_id)
                case consensus_messages.Apply():
                    wrapped += self._publish(now)
                    wrapped += self._handle_commit(now)
                case _:
                    wrapped.append(effect)
        return wrapped

    def _publish(self, now: float) -> list[Effect]:
        """Sends a new configuration to the gateways, as it was committed."""
        before = self.version
        if not self._held.load(self.voter.configuration):
            return []
        self.has_unapplied = True
        update = self.make_update(now)
        own = self._gateways.list_home_gateways(now)
        self._gateways.record_document_sent(own, now)
        effects: list[Effect] = [interface.Send(node, update) for node in own]
        effects.append(
            notes.note(
                "configuration_applied",
                version_before=before,
                outside_version=self.version,
                leader=self.voter.leader,
                is_fresh=self.voter.is_fresh(now),
            )
        )
        return effects

    def apply(self) -> list[notes.Note]:
        """Decodes a new configuration; returns why it cannot be, if so."""
        self.has_unapplied = False
        problem = self._decode()
        if not problem:
            return []
        return [
            notes.note("configuration_unreadable", level="error", why=problem)
        ]

    def _decode(self) -> str:
        """Decodes what is held; returns why it could not be decoded."""
        problem = self._held.decode()
        if self.document is not None:
            self._use_document(self.document)
        return problem
