"""Which VM may let a program go on while the log is away.

A VM asks the others before it does; each of them promises that it will not
do the same for a while, or says that another one goes first.  Each also keeps
in mind who asked: that VM may be gone when the next one asks.
"""

from collections.abc import Callable

__all__ = ["Promises"]

# Longer than a VM takes to ask the others and to begin, in seconds.
PROMISE_SECONDS = 0.5
# How many programs are kept in mind, the latest ones: some 1 MB.
MOST_REMEMBERED = 10_000


class Promises:
    """Promises given to other VMs, by program.

    Parameters
    ==========

    name : str
        This VM's; of two that ask at once the first by name goes on.
    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> promises = Promises("b", lambda: 0.0)
    >>> promises.give("p", "c"), promises.give("p", "d")
    (True, False)
    >>> promises.binds("p")
    True
    """

    def __init__(self, name: str, now: Callable[[], float]):
        self._name = name
        self._now = now
        self._given: dict[str, tuple[str, float]] = {}
        self._asking: dict[str, int] = {}
        # The latest one stands last.
        self._askers_by_program: dict[str, dict[str, None]] = {}
        self._settled_by_program: dict[str, set[str]] = {}

    def remember(self, program: str, incarnation: str) -> None:
        """Take note that a VM may let a program go on."""
        askers = self._askers_by_program.pop(program, {})
        askers.pop(incarnation, None)
        self._askers_by_program[program] = askers | {incarnation: None}
        if len(self._askers_by_program) > MOST_REMEMBERED:
            oldest = next(iter(self._askers_by_program))
            del self._askers_by_program[oldest]
            self._settled_by_program.pop(oldest, None)

    def has_gone_on(self, program: str, incarnation: str) -> bool:
        """Return whether another VM may have let a program go on."""
        askers = self._askers_by_program.get(program, {})
        return any(asker != incarnation for asker in askers)

    def latest_askers(self, program: str) -> list[str]:
        """Return who may have let a program go on, the latest first.

        Examples
        --------
        >>> promises = Promises("b", lambda: 0.0)
        >>> promises.remember("p", "a1")
        >>> promises.remember("p", "c1")
        >>> promises.remember("p", "a1")
        >>> promises.latest_askers("p")
        ['a1', 'c1']
        """
        return list(reversed(self._askers_by_program.get(program, {})))

    def owes(self, program: str, incarnation: str) -> bool:
        """Return whether a VM that let it go on may not have settled that."""
        askers = set(self._askers_by_program.get(program, {}))
        settled = self._settled_by_program.get(program, set())
        return bool(askers - settled - {incarnation})

    @property
    def owes_any(self) -> bool:
        """Whether any program that was let go on may not be settled."""
        return any(
            set(askers) - self._settled_by_program.get(program, set())
            for program, askers in self._askers_by_program.items()
        )

    def note_settled(self, program: str) -> None:
        """Take note that all who asked until now have settled.

        Examples
        --------
        >>> promises = Promises("b", lambda: 0.0)
        >>> promises.remember("p", "a1")
        >>> promises.owes("p", "b1")
        True
        >>> promises.note_settled("p")
        >>> promises.owes("p", "b1"), promises.has_gone_on("p", "b1")
        (False, True)
        """
        askers = self._askers_by_program.get(program, {})
        if askers:
            self._settled_by_program[program] = set(askers)

    def give(self, program: str, vm: str) -> bool:
        """Promise a VM to stay back; return False if it has to itself."""
        if program in self._asking and self._name < vm:
            return False
        holder = self._holder(program)
        if holder not in (None, vm):
            return False
        self._given[program] = (vm, self._now() + PROMISE_SECONDS)
        return True

    def binds(self, program: str) -> bool:
        """Return whether this VM has to stay back."""
        return self._holder(program) is not None

    def begin_asking(self, program: str) -> None:
        """Take note that this VM asks the others."""
        self._asking[program] = self._asking.get(program, 0) + 1

    def end_asking(self, program: str) -> None:
        """Take note that it has the answers."""
        left = self._asking[program] - 1
        if left:
            self._asking[program] = left
        else:
            del self._asking[program]

    def _holder(self, program: str) -> str | None:
        vm, until = self._given.get(program, (None, 0.0))
        if vm is not None and until <= self._now():
            del self._given[program]
            return None
        return vm
