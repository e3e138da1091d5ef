"""Asks the other VMs what they know of a program, and for their views."""

from collections.abc import Callable
import dataclasses
import functools
import hmac
import logging

from postspring import errors
from postspring import forwarding
from postspring import histories
from postspring import keyedlog
from postspring.peering import avoidance
from postspring.peering import holders
from postspring.peering import isolation as isolation_module
from postspring.peering import members as members_module
from postspring.peering import message_budget
from postspring.peering import messages
from postspring.peering import promises as promises_module
from postspring.peering import search as search_module
from postspring.peering import settlement
from postspring import transport
from postspring import upstreams

__all__ = ["PeerClient"]

LOG = logging.getLogger(__name__)

# VMs answer each other in a few ms; one that has not by then is slow, dead
# or cut off.  In seconds.
FIND_SECONDS = 0.15
VIEW_SECONDS = 0.5
# A VM that did not answer is not asked again for this long, in seconds: in a
# cut each turn would otherwise open a connection to every VM behind it.
AVOID_SECONDS = 1.0
# VMs that are asked for their view at the same time.
VIEW_VMS = 3
# VMs that let a program go on before, and are asked before all others.
LATEST_ASKERS = 2


class PeerClient(forwarding.Peers):
    """The other VMs, asked when they are needed.

    Parameters
    ==========

    http : HttpClient
        Carries the requests.
    members : Members
        Whom to ask.
    promises : Promises
        Which VM may let a program go on.
    isolation : Isolation
        Whether this VM is cut off.
    timers : Timers
        For leaving silent VMs alone.

    Attributes
    ==========

    holders : Holders
        The same VMs, as those that keep records.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        members: members_module.Members,
        promises: promises_module.Promises,
        is_complete: Callable[[], bool],
        isolation: isolation_module.Isolation,
        timers: transport.Timers,
    ):
        self._timers = timers
        self._isolation = isolation
        self._promises = promises
        self._avoided = avoidance.AvoidedVms(AVOID_SECONDS, timers.now)
        self.holders = holders.Holders(http, members, self._avoided, timers)
        self._budget = message_budget.MessageBudget(timers.now)
        self._settlement = settlement.Settlement(
            members.own.incarnation,
            promises,
            lambda: self._is_complete(),
            timers.now,
        )
        self._http = http
        self._members = members
        self._is_complete = is_complete

    @property
    def send_away(self) -> bool:
        """Whether other data centres serve callers better just now."""
        return self._isolation.sends_away

    def relayed_field(self, taker: upstreams.Upstream) -> tuple[str, str]:
        """Name the process that is to take the request: only VMs know it."""
        member = self._members.by_name.get(taker.id)
        told = member.incarnation if member else ""
        return (forwarding.RELAYED_NAME, told)

    def is_relayed(self, header: forwarding.HeaderGetter) -> bool:
        """Return whether another VM has passed a request on to this one."""
        told = header(forwarding.RELAYED_NAME)
        return hmac.compare_digest(
            told.encode("utf-8", "replace"),
            self._members.own.incarnation.encode(),
        )

    # -- questions ------------------------------------------------------------

    def find(
        self,
        facts: forwarding.CallFacts,
        on_done: Callable[[forwarding.Finding], None],
        question: forwarding.Question = forwarding.Question.TAKER,
    ) -> None:
        """Ask the other VMs about a turn's program and its chain.

        Those of this data centre first: most programs stay in one, and a VM
        there that can run the turn saves asking all others.
        """
        if question is forwarding.Question.UNSETTLED:
            self._settlement.ask_once(
                facts.program,
                functools.partial(self._ask_for_unsettled, facts, on_done),
            )
            return
        if question is not forwarding.Question.TURN:
            self._ask_all(facts, question, False, on_done)
            return
        self._members.refresh(
            functools.partial(self._ask_all, facts, question, True, on_done),
            functools.partial(self._ask_all, facts, question, False, on_done),
        )

    def _ask_for_unsettled(
        self,
        facts: forwarding.CallFacts,
        on_done: Callable[[forwarding.Finding], None],
        on_heard: Callable[[], None],
    ) -> None:
        """Ask the VMs that may know what a program owes."""

        def found(finding: forwarding.Finding) -> None:
            self._settlement.note_finding(facts.program, finding)
            on_done(finding)
            on_heard()

        self._ask_all(facts, forwarding.Question.UNSETTLED, False, found)

    def _ask_all(
        self,
        facts: forwarding.CallFacts,
        question: forwarding.Question,
        is_newest_list: bool,
        on_done: Callable[[forwarding.Finding], None],
    ) -> None:
        own = self._members.own
        is_for_home = question is forwarding.Question.HOME
        request = messages.FindRequest(
            own.name,
            facts.program,
            facts.previous,
            facts.ceiling,
            own.incarnation,
            self._members.own_entry,
            is_for_home,
        )
        others = self._members.listed
        hears_all = question is forwarding.Question.UNSETTLED
        if hears_all:
            others = self._settlement.to_ask(facts.program, others)
        stages = self._stages(facts.program, others, hears_all)
        if is_for_home:
            self._promises.begin_asking(facts.program)
        asked_at = self._timers.now()

        def answered(search: search_module.Search) -> None:
            if is_for_home:
                self._promises.end_asking(facts.program)
            waited = self._timers.now() - asked_at
            finding = self._judge(
                facts.program, search, is_newest_list, waited
            )
            for member in others:
                found = search.answer_by_name.get(member.name)
                if found is not None:
                    self._settlement.note_answer(member, found)
            on_done(finding)

        body = messages.encode(request)

        def ask(asked: list[members_module.Member]) -> bool:
            if not self._budget.take(len(asked)):
                return False
            for member in asked:
                send(member)
            return True

        def send(member: members_module.Member) -> None:
            self._http.send(
                messages.request_to(
                    member.peers, messages.FIND_PATH, body, FIND_SECONDS
                ),
                transport.AnswerCollector(
                    functools.partial(search.take, member),
                    functools.partial(self._unanswered, member, search),
                ),
            )

        search = search_module.Search(
            others,
            stages,
            ask,
            answered,
            self._members.absent,
            hears_all,
        )
        search.start()

    def _judge(
        self,
        program: histories.ProgramId,
        search: search_module.Search,
        is_newest_list: bool,
        waited: float,
    ) -> forwarding.Finding:
        """Return what the answers come to with what this VM knows."""
        own = self._members.own
        finding = search.finding(own, self._is_complete())
        if not is_newest_list:
            doubts = (*finding.doubts, forwarding.Doubt.OLD_LIST)
            finding = dataclasses.replace(finding, doubts=doubts)
        has_lapsed = waited > promises_module.PROMISE_SECONDS
        if has_lapsed or not self._members.is_announced:
            # Nothing begins here: the others' promises have lapsed (this
            # VM stood still), or they would not know to ask here.
            finding = dataclasses.replace(finding, is_answered=False)
        if self._promises.has_gone_on(program, own.incarnation):
            finding = dataclasses.replace(finding, has_gone_on=True)
        if self._promises.binds(program):
            finding = dataclasses.replace(finding, is_deferred=True)
        return finding

    def _stages(
        self,
        program: histories.ProgramId,
        listed: list[members_module.Member],
        hears_all: bool,
    ) -> list[list[members_module.Member]]:
        """Return whom to ask first, and whom if that finds nobody.

        Who let the program go on last most likely still does: it is asked
        alone, and most turns cost one message instead of one for each VM.
        """
        others = [member for member in listed if member not in self._avoided]
        if hears_all:
            return [others]
        here = self._members.own.data_center
        latest = self._promises.latest_askers(program)[:LATEST_ASKERS]
        likely = [item for item in others if item.incarnation in latest]
        rest = [item for item in others if item not in likely]
        near = [item for item in rest if item.data_center == here]
        far = [item for item in rest if item.data_center != here]
        return [likely, near, far]

    def may_owe(self, program: histories.ProgramId) -> bool:
        """Return whether other VMs may have turns that are not charged."""
        return self._settlement.may_owe(program, self._members.listed)

    def _unanswered(self, member, search: search_module.Search, error) -> None:
        self._avoided.add(member)
        search.failed()

    # -- views ----------------------------------------------------------------

    def ask_view(
        self,
        place: keyedlog.LogPlace,
        on_page: Callable[[keyedlog.LogPage], None],
    ) -> None:
        """Ask some VMs what they know of a subject."""
        members = self._members
        request = messages.ViewRequest(
            place.subject.value, members.own.name, members.own_entry
        )
        body = messages.encode(request)
        asked = [member.peers for member in members.nearest_first()]
        for address in (asked or members.seeds)[:VIEW_VMS]:
            self._http.send(
                messages.request_to(
                    address, messages.VIEW_PATH, body, VIEW_SECONDS
                ),
                transport.AnswerCollector(
                    functools.partial(_take_view, on_page=on_page),
                    lambda error: LOG.info(
                        "no view", extra={"reason": str(error)}
                    ),
                ),
            )


def _take_view(
    status: int, body: bytes, on_page: Callable[[keyedlog.LogPage], None]
) -> None:
    """Hand one VM's view on."""
    if status != 200:
        return
    try:
        view = messages.decode(messages.View, body)
        entries = [
            keyedlog.LogEntry(str(key), bytes(value))
            for key, value in view.entries
        ]
        page = keyedlog.LogPage(entries, int(view.next), int(view.next))
    except (errors.PeerError, TypeError, ValueError) as error:
        LOG.warning("peer's view", extra={"error": str(error)})
        return
    on_page(page)
