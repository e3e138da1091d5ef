"""The answers of other VMs to one question, and what they add up to."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import logging

from postspring import errors
from postspring import forwarding
from postspring import histories
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import upstreams

__all__ = ["Search"]

LOG = logging.getLogger(__name__)


class Search:
    """Collects the answers to one question.

    Parameters
    ==========

    others : list of Member
        All VMs that might know something.
    stages : list of list of Member
        Whom to ask first, and whom if none of those can take the turn.
    ask : callable
        Sends the question to some VMs, or returns that it may not: then
        they count as not heard.
    absent : list of Member
        VMs that can't be asked and may be alive.
    hears_all : bool
        A VM that can take the turn does not end the search.
    """

    def __init__(
        self,
        others: list[members_module.Member],
        stages: list[list[members_module.Member]],
        ask: Callable[[list[members_module.Member]], bool],
        on_done: Callable[["Search"], None],
        absent: Sequence[members_module.Member] = (),
        hears_all: bool = False,
    ):
        self._hears_all = hears_all
        self._absent = absent
        self._stages = stages
        self._ask = ask
        self._others = others
        self._on_done = on_done
        self._answers: dict[str, messages.Found] = {}
        self._open = 0
        self._taker: members_module.Member | None = None
        self._chain_holder: members_module.Member | None = None
        self._is_finished = False
        self._is_refused = False

    def take(
        self, member: members_module.Member, status: int, body: bytes
    ) -> None:
        """Take one VM's answer."""
        try:
            found = messages.decode(messages.Found, body)
        except errors.PeerError as error:
            LOG.warning("peer's answer", extra={"error": str(error)})
            self.failed()
            return
        self.answered(member, found)

    def answered(
        self, member: members_module.Member, found: messages.Found
    ) -> None:
        """Take an answer; the first VM that can take the turn ends it."""
        self._answers[member.name] = found
        if found.can_take and self._taker is None:
            self._taker = member
        if found.has_chain and self._chain_holder is None:
            self._chain_holder = member
        self._count_down()

    @property
    def answer_by_name(self) -> Mapping[str, messages.Found]:
        """What each VM that was heard has answered."""
        return self._answers

    def failed(self) -> None:
        """Take note that a VM did not answer."""
        self._count_down()

    def start(self) -> None:
        """Ask the next VMs, or report if there are none left."""
        while self._stages:
            stage = self._stages.pop(0)
            if not stage:
                continue
            self._open = len(stage)
            if self._ask(stage):
                return
            self._open = 0
            self._stages = []
            self._is_refused = True
        self._is_finished = True
        self._on_done(self)

    def _count_down(self) -> None:
        self._open -= 1
        is_found = self._taker is not None and not self._hears_all
        if self._is_finished or (self._open and not is_found):
            return
        if is_found:
            self._stages = []
        self.start()

    def finding(
        self, own: members_module.Member, is_complete: bool
    ) -> forwarding.Finding:
        """Return what the answers add up to."""
        answers = self._answers.values()
        here_answered = all(
            member.name in self._answers
            for member in (*self._others, *self._absent)
            if member.data_center == own.data_center
        )
        complete = is_complete and all(item.is_complete for item in answers)
        doubts = self._doubts(is_complete)
        return forwarding.Finding(
            taker=_as_upstream(self._taker),
            chain_holder=_as_upstream(self._chain_holder),
            # Those that were asked can't speak for the others.
            is_answered=bool(answers) and not self._is_refused,
            is_refused=self._is_refused,
            doubts=doubts,
            has_gone_on=any(item.has_gone_on for item in answers),
            is_known=any(item.knows for item in answers),
            is_certain=complete and here_answered and not self._is_refused,
            is_deferred=any(item.goes_first for item in answers),
            is_known_turn=any(item.knows_turn for item in answers),
            charged=max((item.charged for item in answers), default=0),
            home_tokens=sum(item.home_tokens for item in answers),
            unsettled={
                histories.TurnId(turn): tokens
                for item in answers
                for turn, tokens in item.unsettled
            },
            home_left=sum(item.home_left for item in answers),
        )

    def _doubts(self, is_complete: bool) -> tuple[forwarding.Doubt, ...]:
        """Return why a VM may keep what nobody told of."""
        # A VM that was started lately has lost what it kept before.
        restarted = not all(
            item.is_complete for item in self._answers.values()
        )
        holds_by_doubt = {
            forwarding.Doubt.VM_UNHEARD: len(self._answers)
            < len(self._others),
            forwarding.Doubt.VM_ABSENT: bool(self._absent),
            forwarding.Doubt.VM_RESTARTED: restarted,
            forwarding.Doubt.STARTED_LATELY: not is_complete,
        }
        return tuple(doubt for doubt, holds in holds_by_doubt.items() if holds)


def _as_upstream(
    member: members_module.Member | None,
) -> upstreams.Upstream | None:
    if member is None:
        return None
    return upstreams.Upstream(
        id=upstreams.UpstreamId(member.name),
        service="",
        address=member.callers,
        data_center=member.data_center,
        concurrency=1,
    )
