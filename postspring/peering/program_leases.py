"""Leases that prevent two VMs from running the same program offline.

Before a VM runs a program offline, it requests a lease on the program from all
others.  Each of them grants it for a short time, or responds that another VM
has precedence.  A VM that has granted a lease does not run the program offline
itself.  Each VM also remembers the requesters: one may be gone when the next
VM sends its requests, and that VM has to learn that the program may have run
offline already.
"""

from collections.abc import Callable

__all__ = ["ProgramLeases"]

# Longer than a VM takes to request leases and to begin.
LEASE_SECONDS = 0.5
# Programs whose requesters are remembered, the latest ones: about 1 MB.
MAX_PROGRAMS = 10_000


class ProgramLeases:
    """Leases on programs that this VM has granted to others.

    Parameters
    ==========

    name : str
        Name of this VM; of two VMs that request a lease at the same time the
        first by name has precedence.
    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> leases = ProgramLeases("b", lambda: 0.0)
    >>> leases.grant("p", "c"), leases.grant("p", "d")
    (True, False)
    >>> leases.is_leased("p")
    True
    """

    def __init__(self, name: str, now: Callable[[], float]):
        self._name = name
        self._now = now
        self._lease_by_program: dict[str, tuple[str, float]] = {}
        self._open_requests: dict[str, int] = {}
        # Each program's requesters, the latest one last.
        self._requesters_by_program: dict[str, dict[str, None]] = {}
        self._settled_by_program: dict[str, set[str]] = {}

    def note_request(self, program: str, incarnation: str) -> None:
        """Remember that a VM may run a program offline."""
        requesters = self._requesters_by_program.pop(program, {})
        requesters.pop(incarnation, None)
        self._requesters_by_program[program] = requesters | {incarnation: None}
        # What was settled before doesn't cover a new request.
        self._settled_by_program.get(program, set()).discard(incarnation)
        if len(self._requesters_by_program) > MAX_PROGRAMS:
            oldest = next(iter(self._requesters_by_program))
            del self._requesters_by_program[oldest]
            self._settled_by_program.pop(oldest, None)

    def was_requested_elsewhere(self, program: str, incarnation: str) -> bool:
        """Return whether another VM may have run a program offline.

        Parameters
        ----------
        incarnation : str
            The VM that is left out of the count.
        """
        requesters = self._requesters_by_program.get(program, {})
        return any(requester != incarnation for requester in requesters)

    def latest_requesters(self, program: str) -> list[str]:
        """Return the VMs that may have run a program offline, latest first.

        Examples
        --------
        >>> leases = ProgramLeases("b", lambda: 0.0)
        >>> leases.note_request("p", "a1")
        >>> leases.note_request("p", "c1")
        >>> leases.note_request("p", "a1")
        >>> leases.latest_requesters("p")
        ['a1', 'c1']
        """
        return list(reversed(self._requesters_by_program.get(program, {})))

    def may_be_unsettled(self, program: str, incarnation: str) -> bool:
        """Return whether the log may lack turns that a program ran offline.

        Parameters
        ----------
        incarnation : str
            The VM whose turns are left out.
        """
        requesters = set(self._requesters_by_program.get(program, {}))
        settled = self._settled_by_program.get(program, set())
        return bool(requesters - settled - {incarnation})

    @property
    def any_may_be_unsettled(self) -> bool:
        """Whether the log may lack turns of any program that ran offline."""
        return any(
            set(requesters) - self._settled_by_program.get(program, set())
            for program, requesters in self._requesters_by_program.items()
        )

    def note_settled(self, program: str) -> None:
        """Take note that the log has the turns of all requesters until now.

        Examples
        --------
        >>> leases = ProgramLeases("b", lambda: 0.0)
        >>> leases.note_request("p", "a1")
        >>> leases.may_be_unsettled("p", "b1")
        True
        >>> leases.note_settled("p")
        >>> leases.may_be_unsettled("p", "b1")
        False
        >>> leases.was_requested_elsewhere("p", "b1")
        True
        """
        requesters = self._requesters_by_program.get(program, {})
        if requesters:
            self._settled_by_program[program] = set(requesters)

    def grant(self, program: str, vm: str) -> bool:
        """Grant a VM a lease on a program, unless another VM has precedence.

        That is the holder of a lease, or this VM while it requests leases
        itself and comes first by name.
        """
        if program in self._open_requests and self._name < vm:
            return False
        holder = self._holder(program)
        if holder not in (None, vm):
            return False
        self._lease_by_program[program] = (vm, self._now() + LEASE_SECONDS)
        return True

    def is_leased(self, program: str) -> bool:
        """Return whether another VM holds a lease on a program."""
        return self._holder(program) is not None

    def begin_request(self, program: str) -> None:
        """Take note that this VM has begun to request leases."""
        self._open_requests[program] = self._open_requests.get(program, 0) + 1

    def end_request(self, program: str) -> None:
        """Take note that this VM has the responses."""
        left = self._open_requests[program] - 1
        if left:
            self._open_requests[program] = left
        else:
            del self._open_requests[program]

    def _holder(self, program: str) -> str | None:
        vm, until = self._lease_by_program.get(program, (None, 0.0))
        if vm is not None and until <= self._now():
            del self._lease_by_program[program]
            return None
        return vm
