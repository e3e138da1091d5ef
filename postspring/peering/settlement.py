"""What a VM that was started lately has heard of the others' homes.

A program that went on at a VM while the log was away may have spent there
what the log does not charge yet.  Who lets one go on tells all others; a VM
that was started since has not heard it, and asks.
"""

from collections.abc import Callable
from collections.abc import Iterable

from postspring import forwarding
from postspring import histories
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring.peering import promises as promises_module

__all__ = ["Settlement"]

# After an outage of the log its homes are recorded within seconds; a VM that
# was started meanwhile asks for them for this long, in seconds.
NEW_SECONDS = 8.0
# Programs that a VM which was started lately keeps in mind as settled.
MOST_SETTLED = 10_000


class Settlement:
    """Which programs may owe what the log does not charge.

    Explanation
    ===========

    A VM that answers that no program went on at it, and that it has heard of
    none elsewhere, needs no further question: whoever lets one go on
    afterwards tells this VM, as it tells those that were not restarted.

    Parameters
    ==========

    own : str
        This VM's incarnation.
    promises : Promises
        Who let programs go on, as far as this VM was told.
    is_complete : callable
        Returns whether this VM knows all that began here lately.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        own: str,
        promises: promises_module.Promises,
        is_complete: Callable[[], bool],
        now: Callable[[], float],
    ):
        self._own = own
        self._promises = promises
        self._is_complete = is_complete
        self._now = now
        self._started_at = now()
        self._settled: dict[histories.ProgramId, None] = {}
        self._without_homes: set[str] = set()
        self._waiting: list[Callable[[], None]] | None = None

    def may_owe(
        self,
        program: histories.ProgramId,
        listed: Iterable[members_module.Member],
    ) -> bool:
        """Return whether other VMs may have turns that are not charged."""
        if self._promises.owes(program, self._own):
            return True
        # Whoever lets it go on after that has told this VM, too.
        is_settled = program in self._settled
        return not is_settled and self._is_new and bool(self._unheard(listed))

    def to_ask(
        self,
        program: histories.ProgramId,
        listed: Iterable[members_module.Member],
    ) -> list[members_module.Member]:
        """Return the VMs that may know what a program owes."""
        if self._promises.owes(program, self._own):
            return list(listed)
        return self._unheard(listed)

    def note_answer(
        self, member: members_module.Member, found: messages.Found
    ) -> None:
        """Take note of what a VM says of its homes."""
        if not found.knows_homes:
            self._without_homes.add(member.incarnation)

    def note_finding(
        self, program: histories.ProgramId, finding: forwarding.Finding
    ) -> None:
        """Take note of what all that were asked say of a program."""
        is_heard = forwarding.Doubt.VM_UNHEARD not in finding.doubts
        if is_heard and not finding.unsettled and not finding.home_left:
            self._promises.note_settled(program)
            if len(self._settled) < MOST_SETTLED:
                self._settled[program] = None

    def ask_once(
        self,
        program: histories.ProgramId,
        ask: Callable[[Callable[[], None]], None],
    ) -> None:
        """Ask, or wait for the first question's answers and ask then.

        Most likely they leave nobody to be asked for another program.

        Parameters
        ----------
        ask : callable
            Asks; takes what to call once all have answered.
        """
        if self._promises.owes(program, self._own):
            ask(lambda: None)
        elif self._waiting is not None:
            self._waiting.append(lambda: ask(lambda: None))
        else:
            self._waiting = []
            ask(self._answered)

    # -- own ------------------------------------------------------------------

    @property
    def _is_new(self) -> bool:
        uptime = self._now() - self._started_at
        return uptime < NEW_SECONDS and not self._is_complete()

    def _unheard(
        self, listed: Iterable[members_module.Member]
    ) -> list[members_module.Member]:
        return [
            member
            for member in listed
            if member.incarnation not in self._without_homes
        ]

    def _answered(self) -> None:
        waiting, self._waiting = self._waiting or [], None
        for ask in waiting:
            ask()
