"""The responses of other VMs to one query, and their combination."""

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
    """Sends a query to VMs in stages and collects their responses.

    Parameters
    ==========

    others : list of Member
        All VMs that may have a part of the answer.
    stages : list of list of Member
        VMs to query first, and those to query if none of them can run the
        turn.
    ask : callable
        Sends the query to some VMs; returns False if the rate limit forbids
        it, and then the search ends without their responses.
    on_done : callable
        Called with the search when it has ended.
    absent : list of Member
        VMs that can't be queried and may be running still.
    awaits_all : bool
        The search doesn't end with the first VM that can run the turn.
    """

    def __init__(
        self,
        others: list[members_module.Member],
        stages: list[list[members_module.Member]],
        ask: Callable[[list[members_module.Member]], bool],
        on_done: Callable[["Search"], None],
        absent: Sequence[members_module.Member] = (),
        awaits_all: bool = False,
    ):
        self._awaits_all = awaits_all
        self._absent = absent
        self._stages = stages
        self._ask = ask
        self._others = others
        self._on_done = on_done
        self._answers: dict[str, messages.FindResponse] = {}
        self._pending = 0
        self._taker: members_module.Member | None = None
        self._chain_holder: members_module.Member | None = None
        self._is_finished = False
        self._is_refused = False

    def take(
        self, member: members_module.Member, status: int, body: bytes
    ) -> None:
        """Handle a VM's response."""
        try:
            found = messages.decode(messages.FindResponse, body)
        except errors.PeerError as error:
            LOG.warning(
                "malformed response from peer", extra={"error": str(error)}
            )
            self.failed()
            return
        self.answered(member, found)

    def answered(
        self, member: members_module.Member, found: messages.FindResponse
    ) -> None:
        """Add a response; end the search if its VM can run the turn."""
        self._answers[member.name] = found
        if found.can_run and self._taker is None:
            self._taker = member
        if found.has_chain and self._chain_holder is None:
            self._chain_holder = member
        self._count_down()

    @property
    def answer_by_name(self) -> Mapping[str, messages.FindResponse]:
        """The response of each VM that has responded."""
        return self._answers

    def failed(self) -> None:
        """Take note that a VM did not respond."""
        self._count_down()

    def start(self) -> None:
        """Query the next stage, or report the end if there is none left."""
        while self._stages:
            stage = self._stages.pop(0)
            if not stage:
                continue
            self._pending = len(stage)
            if self._ask(stage):
                return
            self._pending = 0
            self._stages = []
            self._is_refused = True
        self._is_finished = True
        self._on_done(self)

    def _count_down(self) -> None:
        self._pending -= 1
        has_taker = self._taker is not None and not self._awaits_all
        if self._is_finished or (self._pending and not has_taker):
            return
        if has_taker:
            self._stages = []
        self.start()

    def finding(
        self, own: members_module.Member, has_all_recent_turns: bool
    ) -> forwarding.Finding:
        """Return the combination of all responses."""
        answers = self._answers.values()
        has_local_answers = all(
            member.name in self._answers
            for member in (*self._others, *self._absent)
            if member.data_center == own.data_center
        )
        complete = has_all_recent_turns and all(
            item.has_all_recent_turns for item in answers
        )
        doubts = self._doubts(has_all_recent_turns)
        return forwarding.Finding(
            taker=_as_upstream(self._taker),
            chain_holder=_as_upstream(self._chain_holder),
            # Responses say nothing of the VMs that the rate limit left out.
            is_answered=bool(answers) and not self._is_refused,
            is_refused=self._is_refused,
            doubts=doubts,
            has_gone_on=any(item.may_be_offline_elsewhere for item in answers),
            is_known=any(item.has_program for item in answers),
            is_certain=complete and has_local_answers and not self._is_refused,
            is_deferred=any(item.is_leased_elsewhere for item in answers),
            is_known_turn=any(item.has_turn for item in answers),
            charged=max((item.charged for item in answers), default=0),
            offline_tokens=sum(item.offline_tokens for item in answers),
            unsettled={
                histories.TurnId(turn): tokens
                for item in answers
                for turn, tokens in item.unsettled
            },
            offline_tokens_left=sum(
                item.offline_tokens_left for item in answers
            ),
            is_cut_off=self._is_cut_off(own.data_center),
        )

    def _is_cut_off(self, data_center: str) -> bool:
        if self._is_refused:
            # The rate limit left out VMs elsewhere, which may be in reach.
            return False
        far = [
            member.name
            for member in self._others
            if member.data_center != data_center
        ]
        return bool(far) and not any(name in self._answers for name in far)

    def _doubts(
        self, has_all_recent_turns: bool
    ) -> tuple[forwarding.Doubt, ...]:
        """Return why a VM may have a turn that no response mentioned."""
        # A VM that was started recently has lost the turns it had in memory.
        has_restarted = not all(
            item.has_all_recent_turns for item in self._answers.values()
        )
        holds_by_doubt = {
            forwarding.Doubt.VM_UNHEARD: len(self._answers)
            < len(self._others),
            forwarding.Doubt.VM_ABSENT: bool(self._absent),
            forwarding.Doubt.VM_RESTARTED: has_restarted,
            forwarding.Doubt.STARTED_LATELY: not has_all_recent_turns,
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
