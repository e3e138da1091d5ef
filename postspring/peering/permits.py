"""Permits: requests to the quota allocators of workspaces' rate limits.

A quota allocator grants permits from a data centre's part of a limit
(:mod:`postspring.quotas`).  A VM sends its request to an allocator of its own
data centre first, and to those of the other data centres if that one refuses:
so the whole limit can be used, whichever data centre the callers use.
"""

from collections.abc import Callable
import functools
import random

from postspring import errors
from postspring import forwarding
from postspring.peering import avoided_vms
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import quotas
from postspring import transport
from postspring import workspaces

__all__ = ["Permits"]

# VMs respond to each other in a few ms; an allocator that has not responded by
# then is slow, dead or cut off, and gets no request for AVOID_SECONDS.
ANSWER_TIMEOUT_SECONDS = 0.12
AVOID_SECONDS = 0.7
TICK_SECONDS = 0.2
# A refusal is reused for this long at most, as limits may change.
MAX_REFUSAL_SECONDS = 2.0
MIN_REFUSAL_SECONDS = 0.05
# Callers get a retry delay that is longer by a random part of it, up to this
# fraction, so that those refused together don't all return at once.
RETRY_SPREAD = 0.3

OnVerdict = Callable[[forwarding.Verdict], None]
WorkspaceOf = Callable[[str], workspaces.Workspace | None]


class Permits(forwarding.Limiter):
    """Requests permits from quota allocators, and has one of its own.

    Parameters
    ==========

    members : Members
        The list of VMs.
    workspace_of : callable
        Returns a workspace of the configuration in force, by name.
    data_center_count : int
        Number of data centres.
    span : float
        Seconds over which requests are counted.
    accepts_work : callable
        Returns whether this VM accepts new calls: one that is shutting down
        grants no permits.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        timers: transport.Timers,
        members: members_module.Members,
        workspace_of: WorkspaceOf,
        data_center_count: int,
        span: float,
        accepts_work: Callable[[], bool] = lambda: True,
    ):
        self._http = http
        self._timers = timers
        self._members = members
        self._workspace_of = workspace_of
        self._takes_work = accepts_work
        self._allocator = quotas.QuotaAllocator(
            data_center_count, span, timers.now, lambda: members.listed_seconds
        )
        self._granted = quotas.GrantedPermits(span)
        self.avoided = avoided_vms.AvoidedVms(AVOID_SECONDS, timers.now)
        # Allocators by workspace and data centre, as of a revision of the list
        # of VMs: hashing all VMs for each call would cost more than the call
        # to the allocator.
        self._revision = -1
        self._allocators_by_part: dict[
            tuple[str, str], list[members_module.Member]
        ] = {}
        self._refused_until: dict[tuple[str, quotas.PermitUse], float] = {}

    def start(self) -> None:
        """Start the allocator's clock."""
        self._timers.call_every(TICK_SECONDS, self._allocator.tick)

    def request_permit(
        self,
        workspace: workspaces.Workspace,
        use: quotas.PermitUse,
        on_done: OnVerdict,
    ) -> None:
        """Request a permit for a call."""
        now = self._timers.now()
        until = self._refused_until.get((workspace.name, use), 0.0)
        if until > now:
            on_done(_refused(until - now, 0))
            return
        _PermitCall(self, workspace, use, on_done).start()

    def answer(
        self, request: messages.PermitRequest
    ) -> messages.PermitResponse:
        """Handle another VM's request for a permit."""
        if request.is_return:
            self._allocator.release_permit(request.workspace)
            return messages.PermitResponse(quotas.PermitState.GRANTED, 0.0)
        workspace = self._workspace_of(request.workspace)
        if workspace is None or not self._takes_work():
            return messages.PermitResponse(quotas.PermitState.NOT_READY, 0.0)
        decision = self._decide(
            workspace, request.use, request.ignore_readiness, request.ages
        )
        return messages.PermitResponse(decision.state, decision.wait)

    # -- for _PermitCall ------------------------------------------------------

    def data_centers(self) -> list[str]:
        """Return the data centres: this one first, the others shuffled."""
        here = self._members.own.data_center
        others = {item.data_center for item in self._members.listed}
        others.discard(here)
        rest = sorted(others)
        random.shuffle(rest)
        return [here, *rest]

    def allocators(
        self, workspace: str, data_center: str
    ) -> list[members_module.Member]:
        """Return the possible allocators of a workspace in a data centre.

        They are in order of precedence.
        """
        if self._members.revision != self._revision:
            self._revision = self._members.revision
            self._allocators_by_part.clear()
        part = (workspace, data_center)
        found = self._allocators_by_part.get(part)
        if found is None:
            found = self._find_allocators(workspace, data_center)
            self._allocators_by_part[part] = found
        return found

    def _find_allocators(
        self, workspace: str, data_center: str
    ) -> list[members_module.Member]:
        vms = [*self._members.by_name.values()]
        own = self._members.own
        if own.name not in self._members.by_name:
            vms.append(own)
        return quotas.allocators_of(workspace, vms, data_center)

    def ask_allocator(
        self,
        member: members_module.Member,
        workspace: workspaces.Workspace,
        use: quotas.PermitUse,
        ignore_readiness: bool,
        on_decision: Callable[[quotas.PermitDecision], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Request a permit from one allocator, which may be this VM's."""
        now = self._timers.now()
        part = (workspace.name, member.data_center, member.incarnation)
        ages = self._granted.ages(*part, now)

        def on_answer(decision: quotas.PermitDecision) -> None:
            if decision.state is not quotas.PermitState.NOT_READY:
                self._granted.mark_reported(*part)
            if decision.state is quotas.PermitState.GRANTED:
                self._granted.add(*part, self._timers.now())
            on_decision(decision)

        def failed() -> None:
            self.avoided.add(member)
            on_failure()

        if member.name == self._members.own.name:
            on_answer(self._decide(workspace, use, ignore_readiness, ages))
            return
        request = messages.PermitRequest(
            workspace.name, use, ignore_readiness, ages
        )
        self._send(member, request, on_answer, failed)

    def release_permit(
        self, member: members_module.Member, workspace: str
    ) -> None:
        """Return a permit to its allocator.

        If the message is lost, the permit counts as used.
        """
        self._granted.remove(workspace, member.data_center, member.incarnation)
        if member.name == self._members.own.name:
            self._allocator.release_permit(workspace)
            return
        request = messages.PermitRequest(
            workspace, quotas.PermitUse.CONTINUES_PROGRAM, is_return=True
        )
        self._send(member, request, lambda decision: None, lambda: None)

    def note_refusal(
        self, workspace: str, use: quotas.PermitUse, wait: float
    ) -> None:
        """Refuse further requests of the same use for some seconds."""
        until = self._timers.now() + wait
        self._refused_until[(workspace, use)] = until

    # -- own ------------------------------------------------------------------

    def _decide(
        self, workspace, use, ignore_readiness, ages
    ) -> quotas.PermitDecision:
        own = self._members.own
        first = self.allocators(workspace.name, own.data_center)[0]
        is_first = first.name == own.name
        return self._allocator.request_permit(
            workspace, use, is_first, ignore_readiness, ages
        )

    def _send(self, member, request, on_decision, on_failure) -> None:
        def answered(status: int, body: bytes) -> None:
            decision = _decode_decision(status, body)
            if decision is None:
                on_failure()
            else:
                on_decision(decision)

        self._http.send(
            messages.request_to(
                member.peers,
                messages.PERMIT_PATH,
                messages.encode(request),
                ANSWER_TIMEOUT_SECONDS,
            ),
            transport.ResponseCollector(answered, lambda error: on_failure()),
        )


class _PermitCall:
    """One call's request for a permit, which tries one VM after the other."""

    def __init__(
        self,
        permits: Permits,
        workspace: workspaces.Workspace,
        use: quotas.PermitUse,
        on_done: OnVerdict,
    ):
        self._permits = permits
        self._workspace = workspace
        self._use = use
        self._on_done = on_done
        self._data_centers = permits.data_centers()
        self._allocators: list[members_module.Member] = []
        self._unready: members_module.Member | None = None
        self._waits: list[float] = []
        self._asked = 0

    def start(self) -> None:
        """Request a permit in this data centre first."""
        self._next_data_center()

    # -- own ------------------------------------------------------------------

    def _next_data_center(self) -> None:
        if not self._data_centers:
            self._end()
            return
        data_center = self._data_centers.pop(0)
        found = self._permits.allocators(self._workspace.name, data_center)
        self._allocators = [
            member for member in found if member not in self._permits.avoided
        ]
        self._unready = None
        self._next_allocator()

    def _next_allocator(self) -> None:
        if self._allocators:
            self._ask(self._allocators.pop(0), False)
        elif self._unready is not None:
            # No allocator here is ready; the first one that responded so
            # decides all the same.
            member, self._unready = self._unready, None
            self._ask(member, True)
        else:
            self._next_data_center()

    def _ask(
        self, member: members_module.Member, ignore_readiness: bool
    ) -> None:
        self._asked += 1
        self._permits.ask_allocator(
            member,
            self._workspace,
            self._use,
            ignore_readiness,
            functools.partial(self._handle_decision, member, ignore_readiness),
            self._next_allocator,
        )

    def _handle_decision(
        self, member, ignore_readiness: bool, decision: quotas.PermitDecision
    ) -> None:
        if decision.state is quotas.PermitState.GRANTED:
            release_permit = functools.partial(
                self._permits.release_permit, member, self._workspace.name
            )
            self._on_done(
                forwarding.Verdict(
                    True, allocators=self._asked, release_permit=release_permit
                )
            )
        elif decision.state is quotas.PermitState.REFUSED:
            self._waits.append(decision.wait)
            self._next_data_center()
        else:
            if not ignore_readiness and self._unready is None:
                self._unready = member
            self._next_allocator()

    def _end(self) -> None:
        if not self._waits:
            self._on_done(
                forwarding.Verdict(False, False, allocators=self._asked)
            )
            return
        wait = min(*self._waits, MAX_REFUSAL_SECONDS)
        self._permits.note_refusal(self._workspace.name, self._use, wait)
        self._on_done(_refused(wait, self._asked))


def _refused(wait: float, asked: int) -> forwarding.Verdict:
    """Return the refusal of a limit that is used up for some seconds."""
    spread = 1.0 + RETRY_SPREAD * random.random()
    seconds = max(wait, MIN_REFUSAL_SECONDS) * spread
    return forwarding.Verdict(False, retry_after=seconds, allocators=asked)


def _decode_decision(status: int, body: bytes) -> quotas.PermitDecision | None:
    """Return an allocator's response; None if it is malformed."""
    if status != 200:
        return None
    try:
        permit = messages.decode(messages.PermitResponse, body)
        return quotas.PermitDecision(permit.state, permit.wait)
    except errors.PeerError:
        return None
