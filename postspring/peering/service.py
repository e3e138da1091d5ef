"""What an entry VM does for the others."""

from collections.abc import Callable
import logging

from postspring import errors
from postspring import histories
from postspring import keyedlog
from postspring.peering import messages
from postspring.peering import promises as promises_module
from postspring import transport

__all__ = ["PeerService"]

LOG = logging.getLogger(__name__)

# Passes a call on to the log: method, path, body, and who takes the answer.
PassOn = Callable[[str, str, bytes, Callable[[int, bytes], None]], None]
TakeLoads = Callable[[messages.LoadsReport], messages.Loads]
Permit = Callable[[messages.PermitRequest], messages.Permit]


class PeerService:
    """Answers other VMs' requests.

    Parameters
    ==========

    pass_on : callable
        Makes a call to the log for another VM.
    promises : Promises
        Which VM may let a program go on.
    view_of : callable
        Returns what this VM knows of a subject, or None.
    introduce : callable
        Told the name and the entry of a VM that may be new.
    is_complete : callable
        Returns whether this VM knows all that began here lately.
    takes_copies : callable
        Returns whether this VM stays: one that was told to stop keeps
        nothing more, and others are asked at once.
    is_direct : callable
        Returns whether this VM reaches the log itself.
    reaches_log : callable
        Returns whether the log takes calls of this VM, though the answers
        of some may be lost.
    takes_work : callable
        Returns whether this VM takes new calls: one that is about to end
        refuses them, so it tells nobody that it could run a turn.
    take_loads : callable
        Takes what another VM has in flight, returns what all others have.
    permit : callable
        Answers whether a workspace's request may run.
    """

    def __init__(
        self,
        journal: histories.Journal,
        pass_on: PassOn,
        promises: promises_module.Promises,
        is_complete: Callable[[], bool],
        view_of: Callable[[str], keyedlog.LogPage | None],
        introduce: Callable[[str, bytes], None],
        takes_copies: Callable[[], bool] = lambda: True,
        is_direct: Callable[[], bool] = lambda: True,
        reaches_log: Callable[[], bool] = lambda: False,
        takes_work: Callable[[], bool] = lambda: True,
        take_loads: TakeLoads | None = None,
        permit: Permit | None = None,
    ):
        self._permit = permit
        self._take_loads = take_loads
        self._takes_copies = takes_copies
        self._takes_work = takes_work
        self._is_direct = is_direct
        self._reaches_log = reaches_log
        self._introduce = introduce
        self._view_of = view_of
        self._journal = journal
        self._pass_on = pass_on
        self._promises = promises
        self._is_complete = is_complete

    def handle(self, call: transport.IncomingCall) -> None:
        """Answer one request."""
        prefix = messages.STORE_PREFIX
        try:
            if call.target.startswith(prefix):
                self._pass(call, call.target[len(prefix) :])
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
            elif call.target == messages.PERMIT_PATH and self._permit:
                request = messages.decode(messages.PermitRequest, call.body)
                answer = self._permit(request)
                call.respond(200, [], messages.encode(answer))
            else:
                call.respond(404, [])
        except (errors.PeerError, histories.HistoryError) as error:
            LOG.warning("peer's request", extra={"error": str(error)})
            call.respond(400, [])

    def _pass(self, call: transport.IncomingCall, path: str) -> None:
        # One that is turned away as well would hold the call for 1.2 s.
        if not self._is_direct():
            call.respond(503, [])
            return

        def answered(status: int, body: bytes) -> None:
            call.respond(status, [], body)

        self._pass_on(call.method, path, call.body, answered)

    def _keep(self, call: transport.IncomingCall) -> None:
        request = messages.decode(messages.KeepRequest, call.body)
        if not self._takes_copies():
            call.respond(messages.STOPPING_STATUS, [])
            return
        for record in request.records:
            self._journal.keep_copy(record, request.is_log_away)
        kept = messages.Kept(reaches_log=self._reaches_log())
        call.respond(200, [], messages.encode(kept))

    def _record(self, call: transport.IncomingCall) -> None:
        request = messages.decode(messages.RecordRequest, call.body)
        if not self._takes_copies() or not self._reaches_log():
            call.respond(messages.WITHOUT_LOG_STATUS, [])
            return
        self._journal.record_for_another(
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
        view = messages.View(entries, page.next)
        call.respond(200, [], messages.encode(view))

    def _loads(self, call: transport.IncomingCall) -> None:
        report = messages.decode(messages.LoadsReport, call.body)
        call.respond(200, [], messages.encode(self._take_loads(report)))

    def _find(self, call: transport.IncomingCall) -> None:
        request = messages.decode(messages.FindRequest, call.body)
        journal = self._journal
        program = histories.ProgramId(request.program)
        previous = request.previous
        knows_turn = has_chain = False
        if previous is not None:
            ref = journal.ref_of(program, histories.TurnId(previous))
            knows_turn = journal.known_turn(ref) is not None
            has_chain = journal.known_chain(ref) is not None
        if request.entry:
            self._introduce(request.vm, request.entry)
        has_gone_on = self._promises.has_gone_on(
            request.program, request.incarnation
        )
        goes_first = False
        if request.for_home:
            self._promises.remember(request.program, request.incarnation)
            # Who looks for a VM to pass a turn on to lets nothing go on: a
            # promise to it kept the one that it found from going on.
            goes_first = not self._promises.give(request.program, request.vm)
        can_take = journal.can_take(program, previous, request.ceiling)
        found = messages.Found(
            can_take=can_take and self._takes_work(),
            knows=journal.knows(program),
            knows_turn=knows_turn,
            is_complete=self._is_complete(),
            has_chain=has_chain and self._takes_work(),
            charged=journal.charged(program),
            home_tokens=journal.accounts.home_tokens(program),
            goes_first=goes_first,
            has_gone_on=has_gone_on,
            unsettled=list(journal.unsettled(program).items()),
            home_left=journal.home_left(program),
            knows_homes=journal.knows_homes or self._promises.owes_any,
        )
        call.respond(200, [], messages.encode(found))
