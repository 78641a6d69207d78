"""State that a backend server reports, and how reports are merged."""

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
        rank: Its place; rank 0 is the head, which handles the requests.
        state: joining, ready, open, closing or broken.
    """

    group: str = ""
    epoch: int = 0
    rank: int = 0
    state: str = ""


@attrs.frozen
class Instance:
    """One incarnation of a backend server.

    Attributes:
        name: Its id. A server may restart under the same id; `born`
            distinguishes these incarnations.
        service: Service it belongs to.
        address: `ip:port`.
        zone: Its availability zone.
        domain: Its fabric domain; empty for plain services.
        slots: Number of requests that it runs concurrently.
        phase: ready, draining or gone.
        sequence: Number of its newest heartbeat; orders its reports.
        models: Models in its memory.
        staged: Models staged on its VM.
        member: Its place in a group; an empty group name if it is in none.
        silent: Whether coordinators have received no heartbeat from it for
            long.
        last_model: Model of its last group, which it still has in memory;
            empty if it was in no group. The server does not report this field;
            nodes that observed the group forward it, so that a node that
            restarts gets it as well.
        born: Start time of this incarnation, in Unix milliseconds; 0 where
            servers do not report it and each incarnation has its own id.
        loading: Model that a coordinator ordered it to stage and that it does
            not report as staged yet; empty if there is none. The server does
            not report this field either.
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
        """Whether it is a member of a group."""
        return bool(self.member.group)


def is_newer(update: Instance, known: Instance | None) -> bool:
    """Returns whether an update of a backend server replaces the known state.

    Heartbeats arrive through any coordinator and may be reordered. The end of
    an incarnation is final: a late heartbeat of that incarnation would bring
    back an address that now belongs to another service. Draining is final as
    well; a server may report it in its HTTP responses while its heartbeats do
    not. A later incarnation under the same id numbers its heartbeats from the
    start, so updates of the previous incarnation are old even if their number
    is higher.
    """
    if known is None:
        return True
    if update.born != known.born:
        return update.born > known.born
    if known.phase == PHASE_GONE:
        return False
    if update.phase == PHASE_GONE:
        return True
    if update.phase == PHASE_DRAINING and known.phase == PHASE_READY:
        return True
    if update.sequence != known.sequence:
        return update.sequence > known.sequence
    if update.silent != known.silent:
        return update.silent
    if update.loading and not known.loading:
        return True
    return bool(update.last_model) and not known.last_model


def fill_unreported(update: Instance, known: Instance | None) -> Instance:
    """Returns an update, completed with fields that servers do not report."""
    last_model = update.last_model
    if known is not None and known.born != update.born:
        # A new incarnation has nothing in memory.
        known = None
    if known is not None and PHASE_DRAINING in (update.phase, known.phase):
        update = _keep_draining(update, known)
        last_model = update.last_model
    if update.has_group and update.models:
        last_model = update.models[0]
    elif known is not None and not last_model:
        last_model = known.last_model
    loading = update.loading or (known.loading if known is not None else "")
    if loading in update.staged:
        loading = ""
    return attrs.evolve(update, last_model=last_model, loading=loading)


def _keep_draining(update: Instance, known: Instance) -> Instance:
    """Returns the newer state of a draining server.

    The returned state is marked as draining unless the server is gone.
    """
    if update.phase == PHASE_GONE:
        return update
    newer = update if update.sequence >= known.sequence else known
    return attrs.evolve(newer, phase=PHASE_DRAINING)


def is_same_state(first: Instance, second: Instance) -> bool:
    """Returns whether two reports differ in nothing but their sequence."""
    return attrs.evolve(first, sequence=second.sequence) == second


def is_urgent(update: Instance, known: Instance | None) -> bool:
    """Returns whether a change must reach gateways without a tick's delay.

    A delay affects callers where a replica must no longer be used, or can be
    used again: a server leaves, its heartbeats stop or resume, a group opens
    or ends. Members that join and get ready matter only once the head opens.
    """
    if known is None:
        return update.member.state == GROUP_OPEN
    if update.phase != known.phase or update.silent != known.silent:
        return True
    previous, current = known.member, update.member
    if known.has_group and (previous.group, previous.epoch) != (
        current.group,
        current.epoch,
    ):
        return True
    return previous.state != current.state and current.state in (
        GROUP_OPEN,
        GROUP_CLOSING,
        GROUP_BROKEN,
    )
