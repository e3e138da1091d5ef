"""Server side of peering: handles the requests of other VMs."""

from collections.abc import Callable
import logging

from postspring import errors
from postspring import histories
from postspring import keyedlog
from postspring.peering import messages
from postspring.peering import program_leases as leases_module
from postspring import transport

__all__ = ["PeerService"]

LOG = logging.getLogger(__name__)

# Relays a call to the log: method, path, body, and a callback that gets status
# and body of the response.
RelayCall = Callable[[str, str, bytes, Callable[[int, bytes], None]], None]
TakeLoads = Callable[[messages.LoadsReport], messages.LoadsResponse]
TakeCrashes = Callable[[messages.CrashesReport], None]
AnswerPermit = Callable[[messages.PermitRequest], messages.PermitResponse]


class PeerService:
    """Handles requests of other VMs.

    Parameters
    ==========

    journal : Journal
        The turns that this VM has in memory.
    relay_call : callable
        Relays another VM's call to the log.
    leases : Promises
        Leases on programs, granted to other VMs.
    has_all_recent_turns : callable
        Returns whether this VM has every turn that ended here recently.
    view_of : callable
        Returns the records of a subject that this VM has read, or None.
    add_member : callable
        Called with name and entry of a VM that may be new.
    accepts_replicas : callable
        Returns whether this VM stays up: one that is shutting down refuses
        replicas, and the sender asks others at once.
    has_direct_path : callable
        Returns whether the direct path from this VM leads to the log.
    reaches_log : callable
        Returns whether the log accepts calls of this VM, though some of its
        responses may be lost.
    accepts_work : callable
        Returns whether this VM accepts new calls: one that is about to stop
        refuses them, so it must not report that it could run a turn.
    take_loads : callable
        Stores another VM's calls in flight, returns those of all others.
    permit : callable
        Decides whether a workspace's request may run.
    take_crashes : callable
        Adds what another VM knows of upstreams that crashed under requests.
    """

    def __init__(
        self,
        journal: histories.Journal,
        relay_call: RelayCall,
        leases: leases_module.ProgramLeases,
        has_all_recent_turns: Callable[[], bool],
        view_of: Callable[[str], keyedlog.LogPage | None],
        add_member: Callable[[str, bytes], None],
        accepts_replicas: Callable[[], bool] = lambda: True,
        has_direct_path: Callable[[], bool] = lambda: True,
        reaches_log: Callable[[], bool] = lambda: False,
        accepts_work: Callable[[], bool] = lambda: True,
        take_loads: TakeLoads | None = None,
        permit: AnswerPermit | None = None,
        take_crashes: TakeCrashes | None = None,
    ):
        self._take_crashes = take_crashes
        self._permit = permit
        self._take_loads = take_loads
        self._accepts_replicas = accepts_replicas
        self._takes_work = accepts_work
        self._is_direct = has_direct_path
        self._reaches_log = reaches_log
        self._introduce = add_member
        self._view_of = view_of
        self._journal = journal
        self._relay_call = relay_call
        self._leases = leases
        self._has_all_recent_turns = has_all_recent_turns

    def handle(self, call: transport.IncomingCall) -> None:
        """Handle one request."""
        prefix = messages.STORE_PREFIX
        try:
            if call.target.startswith(prefix):
                self._relay_store_call(call, call.target[len(prefix) :])
            elif call.target == messages.KEEP_PATH:
                self._keep(call)
            elif call.target == messages.RECORD_PATH:
                self._record(call)
            elif call.target == messages.VIEW_PATH:
                self._view(call)
            elif call.target == messages.PING_PATH:
                call.respond(200, [])
            elif call.target == messages.FIND_PATH:
                self._find(call)
            elif call.target == messages.LOADS_PATH and self._take_loads:
                self._loads(call)
            elif call.target == messages.CRASHES_PATH and self._take_crashes:
                self._take_crashes(
                    messages.decode(messages.CrashesReport, call.body)
                )
                call.respond(200, [])
            elif call.target == messages.PERMIT_PATH and self._permit:
                request = messages.decode(messages.PermitRequest, call.body)
                answer = self._permit(request)
                call.respond(200, [], messages.encode(answer))
            else:
                call.respond(404, [])
        except (errors.PeerError, histories.HistoryError) as error:
            LOG.warning(
                "invalid request from peer", extra={"error": str(error)}
            )
            call.respond(400, [])

    def _relay_store_call(
        self, call: transport.IncomingCall, path: str
    ) -> None:
        # A call that fails here as well would take 1.2 s to time out.
        if not self._is_direct():
            call.respond(503, [])
            return

        def answered(status: int, body: bytes) -> None:
            call.respond(status, [], body)

        self._relay_call(call.method, path, call.body, answered)

    def _keep(self, call: transport.IncomingCall) -> None:
        request = messages.decode(messages.StoreReplicasRequest, call.body)
        if not self._accepts_replicas():
            call.respond(messages.STOPPING_STATUS, [])
            return
        for record in request.records:
            self._journal.store_replica(record, request.is_log_unavailable)
        response = messages.StoreReplicasResponse(
            reaches_log=self._reaches_log()
        )
        call.respond(200, [], messages.encode(response))

    def _record(self, call: transport.IncomingCall) -> None:
        request = messages.decode(messages.RecordRequest, call.body)
        if not self._accepts_replicas() or not self._reaches_log():
            call.respond(messages.LOG_UNREACHABLE_STATUS, [])
            return
        self._journal.record_for_peer(
            request.turns, lambda: call.respond(200, [])
        )

    def _view(self, call: transport.IncomingCall) -> None:
        request = messages.decode(messages.ViewRequest, call.body)
        self._introduce(request.vm, request.entry)
        page = self._view_of(request.subject)
        if page is None:
            call.respond(404, [])
            return
        entries = [(entry.key, entry.value) for entry in page.entries]
        view = messages.ViewResponse(entries, page.next)
        call.respond(200, [], messages.encode(view))

    def _loads(self, call: transport.IncomingCall) -> None:
        report = messages.decode(messages.LoadsReport, call.body)
        call.respond(200, [], messages.encode(self._take_loads(report)))

    def _find(self, call: transport.IncomingCall) -> None:
        request = messages.decode(messages.FindRequest, call.body)
        journal = self._journal
        program = histories.ProgramId(request.program)
        previous = request.previous
        has_turn = has_chain = False
        if previous is not None:
            ref = journal.resolve_ref(program, histories.TurnId(previous))
            has_turn = journal.known_turn(ref) is not None
            has_chain = journal.known_chain(ref) is not None
        if request.entry:
            self._introduce(request.vm, request.entry)
        was_requested_elsewhere = self._leases.was_requested_elsewhere(
            request.program, request.incarnation
        )
        is_leased_elsewhere = False
        if request.is_offline_request:
            self._leases.note_request(request.program, request.incarnation)
            # A VM that only looks for one to forward a turn to runs nothing
            # offline: a lease for it would keep the VM that it finds from
            # running the program.
            is_leased_elsewhere = not self._leases.grant(
                request.program, request.vm
            )
        can_run = journal.can_run(program, previous, request.ceiling)
        found = messages.FindResponse(
            can_run=can_run and self._takes_work(),
            has_program=journal.knows(program),
            has_turn=has_turn,
            has_all_recent_turns=self._has_all_recent_turns(),
            has_chain=has_chain and self._takes_work(),
            charged=journal.charged(program),
            offline_tokens=journal.accounts.offline_tokens(program),
            is_leased_elsewhere=is_leased_elsewhere,
            may_be_offline_elsewhere=was_requested_elsewhere,
            unsettled=list(journal.unsettled(program).items()),
            offline_tokens_left=journal.offline_tokens_left(program),
            may_have_offline_charges=journal.may_have_offline_charges
            or self._leases.any_may_be_unsettled,
        )
        call.respond(200, [], messages.encode(found))
