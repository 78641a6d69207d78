"""What a backend server tells of itself, and how reports of it are merged."""

from __future__ import annotations

import attrs

PHASE_READY = "ready"
PHASE_DRAINING = "draining"
PHASE_GONE = "gone"

GROUP_JOINING = "joining"
GROUP_READY = "ready"
GROUP_OPEN = "open"
GROUP_CLOSING = "closing"
GROUP_BROKEN = "broken"


@attrs.frozen
class Membership:
    """The place of a backend server in a replica group.

    Attributes:
        group: Name of the group.
        epoch: Fencing number of the member list.
        rank: Its place; rank 0 is the head, which takes the requests.
        state: joining, ready, open, closing or broken.
    """

    group: str = ""
    epoch: int = 0
    rank: int = 0
    state: str = ""


@attrs.frozen
class Instance:
    """One life of a backend server.

    Attributes:
        name: Its id. A server may start again under the id that it had; `born`
            tells these lives apart.
        service: Service it belongs to.
        address: `ip:port`.
        zone: Its availability zone.
        domain: Its fabric domain; empty for plain services.
        slots: Requests that it runs at once.
        phase: ready, draining or gone.
        sequence: Counts its heartbeats; tells old news from new.
        models: Models in its memory.
        staged: Models staged on its VM.
        member: Its place in a group; an empty group name if it is in none.
        silent: Whether control nodes have missed its heartbeats for long.
        last_model: Model of its last group, which it still has in memory;
            empty if it was in none. It does not tell this; those who saw the
            group pass it on, so that a node that restarts knows it as well.
        born: When this life began, in Unix milliseconds; 0 where servers do not
            tell it, and each life has an id of its own.
        loading: Model that a control node had it stage and that it does not
            tell yet; empty if there is none. It does not tell this either.
    """

    name: str
    service: str
    address: str
    zone: str
    domain: str = ""
    slots: int = 1
    phase: str = PHASE_READY
    sequence: int = 0
    models: tuple[str, ...] = ()
    staged: tuple[str, ...] = ()
    member: Membership = Membership()
    silent: bool = False
    last_model: str = ""
    born: int = 0
    loading: str = ""

    @property
    def has_group(self) -> bool:
        """Says whether it is a member of a group."""
        return bool(self.member.group)


def is_newer(news: Instance, known: Instance | None) -> bool:
    """Says whether news of a backend server replace what is known.

    Heartbeats come through any control node and may be overtaken. That a life
    has ended is never taken back: a late heartbeat of it would bring back an
    address that now belongs to another service. Nor is that it leaves, which a
    server may say with its answers while its heartbeats do not. A later life
    under the same id counts its heartbeats anew; whatever is heard of the
    former one, its number may be higher, but it is old.
    """
    if known is None:
        return True
    if news.born != known.born:
        return news.born > known.born
    if known.phase == PHASE_GONE:
        return False
    if news.phase == PHASE_GONE:
        return True
    if news.phase == PHASE_DRAINING and known.phase == PHASE_READY:
        return True
    if news.sequence != known.sequence:
        return news.sequence > known.sequence
    if news.silent != known.silent:
        return news.silent
    if news.loading and not known.loading:
        return True
    return bool(news.last_model) and not known.last_model


def keep_known(news: Instance, known: Instance | None) -> Instance:
    """Returns news with what a server does not tell, as far as it is known."""
    last_model = news.last_model
    if known is not None and known.born != news.born:
        # A life that begins has nothing in memory.
        known = None
    if known is not None and PHASE_DRAINING in (news.phase, known.phase):
        news = _keep_draining(news, known)
        last_model = news.last_model
    if news.has_group and news.models:
        last_model = news.models[0]
    elif known is not None and not last_model:
        last_model = known.last_model
    loading = news.loading or (known.loading if known is not None else "")
    if loading in news.staged:
        loading = ""
    return attrs.evolve(news, last_model=last_model, loading=loading)


def _keep_draining(news: Instance, known: Instance) -> Instance:
    """Returns news of a life that leaves, as one of them says."""
    if news.phase == PHASE_GONE:
        return news
    newer = news if news.sequence >= known.sequence else known
    return attrs.evolve(newer, phase=PHASE_DRAINING)


def says_the_same(first: Instance, second: Instance) -> bool:
    """Says whether two reports differ in nothing but their number."""
    return attrs.evolve(first, sequence=second.sequence) == second


def is_urgent(news: Instance, known: Instance | None) -> bool:
    """Says whether callers feel it if gateways hear of a change a tick later.

    They do where a replica must be used no more, or can be used again: a
    server leaves, falls silent or comes back, a group opens or ends. That
    members join and get ready is only of use once the head is open.
    """
    if known is None:
        return news.member.state == GROUP_OPEN
    if news.phase != known.phase or news.silent != known.silent:
        return True
    before, after = known.member, news.member
    if known.has_group and (before.group, before.epoch) != (
        after.group,
        after.epoch,
    ):
        return True
    return before.state != after.state and after.state in (
        GROUP_OPEN,
        GROUP_CLOSING,
        GROUP_BROKEN,
    )
