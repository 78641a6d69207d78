"""How a voter becomes a candidate, gives and counts votes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.consensus import messages

if TYPE_CHECKING:
    from hickorylead.consensus import (
        leadership as leadership_module,
        voter_state,
    )


class Elections:
    """Elections in which a voter stands or votes."""

    def __init__(
        self,
        state: voter_state.VoterState,
        leadership: leadership_module.Leadership,
    ) -> None:
        """Creates the elections of a voter that has not stood in any.

        Args:
            state: State of the voter.
            leadership: Begins once the voter is elected.
        """
        self._state = state
        self._leadership = leadership
        self._votes: set[str] = set()
        self._trial = False
        self._next_request = 0.0

    def has_leader(self, now: float) -> bool:
        """Returns whether a leader with a majority was recently in contact."""
        if self._state.role == "leader":
            return self._leadership.has_majority(now)
        return (
            self._state.leader != ""
            and self._state.measure_silence(
                self._state.last_leader_contact_at, now
            )
            < self._state.options.election_max_s
        )

    def start(self, now: float) -> list[messages.Effect]:
        """Starts an election with this voter as the candidate."""
        # Without a trial vote (pre-vote), a voter that was partitioned off
        # would return with a high term and depose a working leader. A trial
        # vote changes no term and is refused by voters that have a leader, so
        # the candidate does not raise its term.
        self._state.election_timer.restart(now)
        self._state.role = "candidate"
        self._state.leader = ""
        self._trial = True
        self._votes = {self._state.member}
        self._next_request = now + self._state.options.heartbeat_s
        return self._request_votes() or self._count_votes(now)

    def tick(self, now: float) -> list[messages.Effect]:
        """Requests votes again that are missing.

        A voter that has just started may not have been reached at first.
        """
        if self._state.role != "candidate" or now < self._next_request:
            return []
        self._next_request = now + self._state.options.heartbeat_s
        return self._request_votes()

    def receive_request(
        self, request: messages.VoteRequest, now: float
    ) -> list[messages.Effect]:
        """Grants or refuses a vote."""
        state = self._state
        if request.recipient != state.member or not state.accepts_cluster(
            request.cluster
        ):
            return []
        up_to_date = (request.last_term, request.last_index) >= (
            state.log.last_term,
            state.log.last_index,
        )
        effects: list[messages.Effect] = []
        if request.trial:
            granted = (
                up_to_date
                and request.term > state.term
                and not self.has_leader(now)
            )
        else:
            effects += state.join_cluster(request.cluster)
            if request.term > state.term:
                effects += state.step_down(request.term, now)
            granted = (
                up_to_date
                and request.term == state.term
                and state.hard_state.voted_for in ("", request.candidate)
            )
            if granted:
                effects += state.update_hard_state(voted_for=request.candidate)
                state.election_timer.restart(now)
        reply = messages.VoteReply(
            state.member, state.term, granted, request.trial
        )
        node = messages.get_node(request.candidate)
        return [*effects, messages.Send(node, reply)]

    def receive_reply(
        self, reply: messages.VoteReply, now: float
    ) -> list[messages.Effect]:
        """Counts a vote; the last one that was missing begins a term."""
        if reply.term > self._state.term:
            return self._state.step_down(reply.term, now)
        if (
            self._state.role != "candidate"
            or reply.trial != self._trial
            or not reply.granted
            or (not reply.trial and reply.term != self._state.term)
        ):
            return []
        self._votes.add(reply.voter)
        return self._count_votes(now)

    def _request_votes(self) -> list[messages.Effect]:
        # A trial vote is about the next term.
        term = self._state.term + int(self._trial)
        return [
            messages.Send(
                messages.get_node(voter),
                messages.VoteRequest(
                    cluster=self._state.cluster,
                    recipient=voter,
                    candidate=self._state.member,
                    term=term,
                    last_index=self._state.log.last_index,
                    last_term=self._state.log.last_term,
                    trial=self._trial,
                ),
            )
            for voter in self._state.voters
            if voter not in self._votes
        ]

    def _count_votes(self, now: float) -> list[messages.Effect]:
        if not self._state.is_majority(self._votes):
            return []
        if self._trial:
            self._trial = False
            self._votes = {self._state.member}
            effects = self._state.update_hard_state(
                term=self._state.term + 1, voted_for=self._state.member
            )
            return [
                *effects,
                *self._request_votes(),
                *self._count_votes(now),
            ]
        return self._leadership.begin(now)
