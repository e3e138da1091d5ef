"""Queries to other VMs: for programs, and for their views of the log."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import functools
import hmac
import logging
import math

from postspring import errors
from postspring import forwarding
from postspring import histories
from postspring import keyedlog
from postspring.peering import avoided_vms
from postspring.peering import isolation as isolation_module
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring.peering import program_leases as leases_module
from postspring.peering import rate_limiter
from postspring.peering import replica_holders
from postspring.peering import search as search_module
from postspring.peering import settlement
from postspring import transport
from postspring import upstreams

__all__ = ["PeerClient"]

LOG = logging.getLogger(__name__)

# VMs respond to each other in a few ms; one that has not responded by then is
# slow, dead or cut off.
FIND_TIMEOUT_SECONDS = 0.15
VIEW_TIMEOUT_SECONDS = 0.5
# A VM that did not respond gets no further query for this long: in a cut each
# turn would otherwise open a connection to every VM behind it.
AVOID_SECONDS = 1.0
# Number of VMs whose views are requested in parallel.
MAX_VIEW_REQUESTS = 3
# Number of VMs that are queried before all others, as they were the last ones
# to request leases on the program.
MAX_LIKELY_VMS = 2


class PeerClient(forwarding.Peers):
    """Client of the other VMs.

    Parameters
    ==========

    http : HttpClient
        Carries the requests.
    members : Members
        The list of VMs.
    leases : Promises
        Leases on programs, granted to other VMs.
    has_all_recent_turns : callable
        Returns whether this VM has every turn that ended here recently.
    isolation : Isolation
        Detects whether this VM is cut off.
    timers : Timers
        Time, and delays of requests.
    offline_author_by_turn : callable
        Returns the turns of a program that ran on offline accounts of other
        VMs, as far as records and replicas tell.
    messages_per_second : float
        Sustained rate of messages for queries.
    log_failed_at : callable
        Returns when a call of this VM to the log last failed.

    Attributes
    ==========

    holders : Holders
        The same VMs as holders of replicas.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        members: members_module.Members,
        leases: leases_module.ProgramLeases,
        has_all_recent_turns: Callable[[], bool],
        isolation: isolation_module.Isolation,
        timers: transport.Timers,
        offline_author_by_turn: Callable[
            [histories.ProgramId], Mapping[histories.TurnId, str]
        ] = lambda program: {},
        messages_per_second: float = rate_limiter.MESSAGES_PER_SECOND,
        log_failed_at: Callable[[], float] = lambda: -math.inf,
    ):
        self._timers = timers
        self._isolation = isolation
        self._leases = leases
        self._unresponsive = avoided_vms.AvoidedVms(AVOID_SECONDS, timers.now)
        self.holders = replica_holders.PeerReplicaHolders(
            http, members, self._unresponsive, timers
        )
        self._rate_limiter = rate_limiter.MessageRateLimiter(
            timers.now, messages_per_second
        )
        self._settlement = settlement.Settlement(
            members.own.incarnation,
            leases,
            lambda: self._has_all_recent_turns(),
            timers.now,
            offline_author_by_turn,
            log_failed_at,
        )
        self._http = http
        self._members = members
        self._has_all_recent_turns = has_all_recent_turns

    @property
    def callers_should_retry(self) -> bool:
        """Whether other data centres can serve callers better just now."""
        return self._isolation.callers_should_retry

    def can_retry_elsewhere(self, accepted_at: float) -> bool:
        """Return whether VMs elsewhere may serve a caller of this VM."""
        return self._isolation.can_retry_elsewhere(accepted_at)

    def call_when_isolated(
        self, function: Callable[[], None]
    ) -> Callable[[], None]:
        """Call a function once when this VM is confirmed to be isolated."""
        return self._isolation.call_when_confirmed(function)

    def relayed_field(self, taker: upstreams.Upstream) -> tuple[str, str]:
        """Return a header field with the incarnation of the receiver.

        Only VMs know incarnations, so it proves that a VM sent the request.
        """
        member = self._members.by_name.get(taker.id)
        incarnation = member.incarnation if member else ""
        return (forwarding.RELAYED_NAME, incarnation)

    def is_relayed(self, header: forwarding.HeaderGetter) -> bool:
        """Return whether a request was forwarded by another VM."""
        incarnation = header(forwarding.RELAYED_NAME)
        return hmac.compare_digest(
            incarnation.encode("utf-8", "replace"),
            self._members.own.incarnation.encode(),
        )

    # -- queries --------------------------------------------------------------

    def find(
        self,
        facts: forwarding.CallFacts,
        on_done: Callable[[forwarding.Finding], None],
        question: forwarding.Question = forwarding.Question.TAKER,
    ) -> None:
        """Query the other VMs for a turn's program and its chain.

        The VMs of this data centre get the query before the others: most
        programs stay in one data centre, and a VM there that can run the turn
        saves messages to all others.
        """
        if question is forwarding.Question.UNSETTLED:
            self._settlement.ask_once(
                facts.program,
                functools.partial(self._ask_for_unsettled, facts, on_done),
            )
            return
        if question is not forwarding.Question.TURN:
            self._query(facts, question, False, on_done)
            return
        self._members.refresh(
            functools.partial(self._query, facts, question, True, on_done),
            functools.partial(self._query, facts, question, False, on_done),
        )

    def _ask_for_unsettled(
        self,
        facts: forwarding.CallFacts,
        on_done: Callable[[forwarding.Finding], None],
        on_answers: Callable[[], None],
    ) -> None:
        """Query the VMs that may have turns the log doesn't charge yet."""

        offline_turns = list(
            self._settlement.unsettled_offline_turns(facts.program)
        )

        def found(finding: forwarding.Finding) -> None:
            self._settlement.note_finding(
                facts.program, finding, offline_turns
            )
            on_done(finding)
            on_answers()

        self._query(facts, forwarding.Question.UNSETTLED, False, found)

    def _query(
        self,
        facts: forwarding.CallFacts,
        question: forwarding.Question,
        has_fresh_list: bool,
        on_done: Callable[[forwarding.Finding], None],
    ) -> None:
        own = self._members.own
        is_offline_request = question is forwarding.Question.OFFLINE
        request = messages.FindRequest(
            own.name,
            facts.program,
            facts.previous,
            facts.ceiling,
            own.incarnation,
            self._members.own_entry,
            is_offline_request,
        )
        others = self._members.listed
        awaits_all = question is forwarding.Question.UNSETTLED
        if awaits_all:
            others = self._settlement.vms_to_ask(facts.program, others)
        # Requests for leases are also sent to VMs that may not answer: those
        # that get one remember that the program may run offline here.
        skips_far = self._isolation.is_confirmed and not is_offline_request
        stages = self._stages(facts.program, others, awaits_all, skips_far)
        if is_offline_request:
            self._leases.begin_request(facts.program)
        asked_at = self._timers.now()

        reservation = rate_limiter.QueryReservation(self._rate_limiter)
        is_new = facts.previous is None
        likely = stages[0] if len(stages) > 1 else None

        def answered(search: search_module.Search) -> None:
            reservation.close()
            if is_offline_request:
                self._leases.end_request(facts.program)
            waited = self._timers.now() - asked_at
            finding = self._finding(
                facts.program, search, has_fresh_list, waited
            )
            for member in others:
                found = search.answer_by_name.get(member.name)
                if found is not None:
                    self._settlement.note_answer(member, found)
            on_done(finding)

        body = messages.encode(request)

        def ask(asked: list[members_module.Member]) -> bool:
            needs_all = is_new and asked is not likely
            later = sum(map(len, stages)) if needs_all else 0
            if not reservation.take(len(asked), later):
                return False
            for member in asked:
                send(member)
            return True

        def send(member: members_module.Member) -> None:
            self._http.send(
                messages.request_to(
                    member.peers,
                    messages.FIND_PATH,
                    body,
                    FIND_TIMEOUT_SECONDS,
                ),
                transport.ResponseCollector(
                    functools.partial(search.take, member),
                    functools.partial(
                        self._on_transport_error, member, search
                    ),
                ),
            )

        search = search_module.Search(
            others,
            stages,
            ask,
            answered,
            self._members.absent,
            awaits_all,
        )
        search.start()

    def _finding(
        self,
        program: histories.ProgramId,
        search: search_module.Search,
        has_fresh_list: bool,
        waited: float,
    ) -> forwarding.Finding:
        """Combine the responses with the leases and the state of this VM."""
        own = self._members.own
        finding = search.finding(own, self._has_all_recent_turns())
        if not has_fresh_list:
            doubts = (*finding.doubts, forwarding.Doubt.OLD_LIST)
            finding = dataclasses.replace(finding, doubts=doubts)
        have_leases_expired = waited > leases_module.LEASE_SECONDS
        if have_leases_expired or not self._members.is_announced:
            # No program may begin here: either the leases from other VMs have
            # expired, as this VM was paused, or this VM is on no other VM's
            # list, and would not get their queries.
            finding = dataclasses.replace(finding, is_answered=False)
        if self._leases.was_requested_elsewhere(program, own.incarnation):
            finding = dataclasses.replace(finding, has_gone_on=True)
        if self._leases.is_leased(program):
            finding = dataclasses.replace(finding, is_deferred=True)
        return finding

    def _stages(
        self,
        program: histories.ProgramId,
        listed: list[members_module.Member],
        awaits_all: bool,
        skips_far: bool,
    ) -> list[list[members_module.Member]]:
        """Return the VMs to query first, and those if none can run the turn.

        The VM that requested leases last most likely still runs the program: a
        query to it alone mostly replaces one message to each VM.
        """
        others = [
            member for member in listed if member not in self._unresponsive
        ]
        if awaits_all:
            return [others]
        here = self._members.own.data_center
        latest = self._leases.latest_requesters(program)[:MAX_LIKELY_VMS]
        likely = [item for item in others if item.incarnation in latest]
        rest = [item for item in others if item not in likely]
        near = [item for item in rest if item.data_center == here]
        far = [item for item in rest if item.data_center != here]
        if skips_far:
            # They would only time out, and the turn waits meanwhile.
            likely = [item for item in likely if item.data_center == here]
            far = []
        return [likely, near, far]

    def may_have_uncharged_turns(self, program: histories.ProgramId) -> bool:
        """Return whether other VMs may have turns that aren't charged yet."""
        return self._settlement.may_have_uncharged_turns(
            program, self._members.listed
        )

    def _on_transport_error(
        self, member, search: search_module.Search, error
    ) -> None:
        self._unresponsive.add(member)
        search.failed()

    # -- views ----------------------------------------------------------------

    def ask_view(
        self,
        place: keyedlog.LogPlace,
        on_page: Callable[[keyedlog.LogPage], None],
    ) -> None:
        """Request the records of a subject that some other VMs have read."""
        members = self._members
        request = messages.ViewRequest(
            place.subject.value, members.own.name, members.own_entry
        )
        body = messages.encode(request)
        asked = [member.peers for member in members.nearest_first()]
        for address in (asked or members.seeds)[:MAX_VIEW_REQUESTS]:
            self._http.send(
                messages.request_to(
                    address, messages.VIEW_PATH, body, VIEW_TIMEOUT_SECONDS
                ),
                transport.ResponseCollector(
                    functools.partial(_take_view, on_page=on_page),
                    lambda error: LOG.info(
                        "no view from peer", extra={"reason": str(error)}
                    ),
                ),
            )


def _take_view(
    status: int, body: bytes, on_page: Callable[[keyedlog.LogPage], None]
) -> None:
    """Decode a VM's view and deliver it as a page of the log."""
    if status != 200:
        return
    try:
        view = messages.decode(messages.ViewResponse, body)
        entries = [
            keyedlog.LogEntry(str(key), bytes(value))
            for key, value in view.entries
        ]
        page = keyedlog.LogPage(entries, int(view.next), int(view.next))
    except (errors.PeerError, TypeError, ValueError) as error:
        LOG.warning("malformed view from peer", extra={"error": str(error)})
        return
    on_page(page)
