"""Finds the programs that ran offline while this VM was down.

A program that ran offline at another VM may have used tokens that the log does
not charge yet.  A VM sends a query to all others before it runs a program
offline; one that was down at that time has missed it, and sends queries
itself.  So does one behind whose cut a program ran: no query of the other side
reached it, and the first sign is the record of a turn that ran offline.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math

from postspring import forwarding
from postspring import histories
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring.peering import program_leases as leases_module

__all__ = ["Settlement"]

# After an outage of the log, the turns of offline programs are recorded within
# seconds; a VM that was started meanwhile sends queries for them for this long
# after its start, and after each call to the log that fails.
SETTLING_SECONDS = 8.0
# Most programs that a VM remembers as settled after its start.
MAX_SETTLED_PROGRAMS = 10_000


class Settlement:
    """Tracks the programs that may have turns the log doesn't charge yet.

    Explanation
    ===========

    A VM that responds that no program ran offline there, and that no other VM
    has requested a lease from it, needs no further query: before a VM runs a
    program offline, this one gets its query, like all others.

    Parameters
    ==========

    own : str
        This VM's incarnation.
    leases : Promises
        The VMs that requested leases from this one.
    has_all_recent_turns : callable
        Returns whether this VM has every turn that ended here recently.
    now : callable
        Monotonic time in seconds.
    offline_author_by_turn : callable
        Returns the turns of a program that ran on offline accounts of other
        VMs, as far as records and replicas tell.
    log_failed_at : callable
        Returns when a call of this VM to the log last failed; monotonic
        seconds.
    """

    def __init__(
        self,
        own: str,
        leases: leases_module.ProgramLeases,
        has_all_recent_turns: Callable[[], bool],
        now: Callable[[], float],
        offline_author_by_turn: Callable[
            [histories.ProgramId], Mapping[histories.TurnId, str]
        ] = lambda program: {},
        log_failed_at: Callable[[], float] = lambda: -math.inf,
    ):
        self._log_failed_at = log_failed_at
        self._offline_author_by_turn = offline_author_by_turn
        self._settled_turns: dict[
            histories.ProgramId, set[histories.TurnId]
        ] = {}
        self._own = own
        self._leases = leases
        self._has_all_recent_turns = has_all_recent_turns
        self._now = now
        self._started_at = now()
        self._settled: dict[histories.ProgramId, None] = {}
        self._without_offline: set[str] = set()
        self._waiting: list[Callable[[], None]] | None = None

    def may_have_uncharged_turns(
        self,
        program: histories.ProgramId,
        listed: Iterable[members_module.Member],
    ) -> bool:
        """Return whether other VMs may have turns that aren't charged yet."""
        if self._leases.may_be_unsettled(program, self._own):
            return True
        if self.unsettled_offline_turns(program):
            return True
        # A VM that has begun to run it offline after that has requested a
        # lease from this VM.
        is_settled = program in self._settled
        return (
            not is_settled
            and self._is_new
            and bool(self._may_have_offline(listed))
        )

    def vms_to_ask(
        self,
        program: histories.ProgramId,
        listed: Iterable[members_module.Member],
    ) -> list[members_module.Member]:
        """Return the VMs to query for uncharged turns of a program."""
        listed = list(listed)
        if self._leases.may_be_unsettled(program, self._own):
            return listed
        asked = [] if not self._is_new else self._may_have_offline(listed)
        authors = set(self.unsettled_offline_turns(program).values())
        return asked + [
            member
            for member in self._vms_near(authors, listed)
            if member not in asked
        ]

    def unsettled_offline_turns(
        self, program: histories.ProgramId
    ) -> dict[histories.TurnId, str]:
        """Return offline turns whose authors were not queried since."""
        settled = self._settled_turns.get(program, ())
        return {
            turn: author
            for turn, author in self._offline_author_by_turn(program).items()
            if turn not in settled
        }

    def note_answer(
        self, member: members_module.Member, found: messages.FindResponse
    ) -> None:
        """Take note of a VM's response on its offline programs."""
        if not found.may_have_offline_charges:
            self._without_offline.add(member.incarnation)

    def note_finding(
        self,
        program: histories.ProgramId,
        finding: forwarding.Finding,
        offline_turns: Iterable[histories.TurnId] = (),
    ) -> None:
        """Take note of the combined responses for a program.

        Parameters
        ----------
        offline_turns : iterable of TurnId
            The offline turns that were known when the query was sent.
        """
        has_all_answers = forwarding.Doubt.VM_UNHEARD not in finding.doubts
        if (
            has_all_answers
            and not finding.unsettled
            and not finding.offline_tokens_left
        ):
            self._leases.note_settled(program)
            if offline_turns:
                self._note_settled_turns(program, offline_turns)
            if len(self._settled) < MAX_SETTLED_PROGRAMS:
                self._settled[program] = None

    def ask_once(
        self,
        program: histories.ProgramId,
        ask: Callable[[Callable[[], None]], None],
    ) -> None:
        """Send a query now, or after the responses to one under way.

        Most likely these leave no VM to be queried for another program.

        Parameters
        ----------
        ask : callable
            Sends the query; gets a callback to call after all responses.
        """
        if self._leases.may_be_unsettled(program, self._own):
            ask(lambda: None)
        elif self._waiting is not None:
            self._waiting.append(lambda: ask(lambda: None))
        else:
            self._waiting = []
            ask(self._first_answered)

    # -- own ------------------------------------------------------------------

    @property
    def _is_new(self) -> bool:
        since = self._now() - max(self._started_at, self._log_failed_at())
        return since < SETTLING_SECONDS and not self._has_all_recent_turns()

    def _note_settled_turns(
        self,
        program: histories.ProgramId,
        turns: Iterable[histories.TurnId],
    ) -> None:
        settled = self._settled_turns.pop(program, set())
        self._settled_turns[program] = settled.union(turns)
        if len(self._settled_turns) > MAX_SETTLED_PROGRAMS:
            del self._settled_turns[next(iter(self._settled_turns))]

    def _vms_near(
        self, authors: set[str], listed: list[members_module.Member]
    ) -> list[members_module.Member]:
        """Return the VMs that may know more of some authors' offline turns.

        Behind a cut, only VMs of an author's own data centre hold replicas of
        what charges its turns.  Where an author is gone, its data centre is
        not known.
        """
        found = [item for item in listed if item.incarnation in authors]
        if len(found) < len(authors):
            return self._may_have_offline(listed)
        data_centers = {member.data_center for member in found}
        return [item for item in listed if item.data_center in data_centers]

    def _may_have_offline(
        self, listed: Iterable[members_module.Member]
    ) -> list[members_module.Member]:
        return [
            member
            for member in listed
            if member.incarnation not in self._without_offline
        ]

    def _first_answered(self) -> None:
        waiting, self._waiting = self._waiting or [], None
        for ask in waiting:
            ask()
