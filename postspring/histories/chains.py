"""Chains: a turn and all its ancestors."""

from collections.abc import Callable
import dataclasses
import functools

from postspring.histories import errors
from postspring.histories import records

__all__ = ["Chain", "ChainSearch", "collect_chain"]


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """A turn's history: inputs and outputs of its chain, oldest first.

    Parameters
    ==========

    upstream : str
        Id of the upstream where the head ran, which may have the history in
        memory.
    """

    head: records.TurnRef | None
    parts: tuple[bytes, ...] = ()
    upstream: str = ""


def collect_chain(
    find: Callable, head: records.TurnRef
) -> tuple[Chain | None, records.TurnRef | None]:
    """Return the chain of a turn, or None and the first missing turn.

    Parameters
    ----------
    find : callable
        Returns a completed turn, or None if it is unknown.
    """
    parts: list[bytes] = []
    upstream = ""
    ref: records.TurnRef | None = head
    while ref is not None:
        turn = find(ref)
        if turn is None:
            return None, ref
        if ref == head:
            upstream = turn.upstream
        parts.extend((turn.output, turn.input))
        ref = turn.parent
    parts.reverse()
    return Chain(head, tuple(parts), upstream), None


class ChainSearch:
    """Walks a chain from its head to its root and reads missing turns."""

    def __init__(self, journal, timeout: float, on_done, on_error):
        self._journal = journal
        self._timeout = timeout
        self._on_done = on_done
        self._on_error = on_error
        self._head: records.TurnRef | None = None
        self._refreshed: set[records.ProgramId] = set()

    def start(self, head: records.TurnRef) -> None:
        """Search the records of the head's program first."""
        self._head = head
        self._walk(self._locate_head)

    def _walk(self, when_missing: Callable[[], None]) -> None:
        chain, missing = collect_chain(self._journal.known_turn, self._head)
        if chain is not None:
            self._on_done(chain)
            return
        if missing.program in self._refreshed:
            if missing == self._head:
                when_missing()
            else:
                # The head exists, but an ancestor is not in the log yet.
                self._on_error(errors.IncompleteChain(missing.turn))
            return
        self._refreshed.add(missing.program)
        self._journal.refresh_program(
            missing.program,
            self._timeout,
            functools.partial(self._walk, when_missing),
            self._on_error,
        )

    def _locate_head(self) -> None:
        self._journal.locate(
            self._head.turn, self._timeout, self._located, self._on_error
        )

    def _located(self, program: records.ProgramId | None) -> None:
        if program is None or program == self._head.program:
            self._on_done(None)
            return
        self._head = records.TurnRef(program, self._head.turn)
        self._walk(lambda: self._on_done(None))
