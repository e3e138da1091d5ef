"""Completed turns that the log may lack, as far as this VM knows."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from postspring.histories import records

__all__ = ["HeldTurns"]


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A function to call when some turns are recorded."""

    unrecorded: set[records.TurnRef]
    on_done: Callable[[], None]


class HeldTurns(dict[records.TurnRef, records.CompletedTurn]):
    """The turns that this VM holds until it has their records from the log.

    Explanation
    ===========

    A turn in the log stays here until this VM has read it, since callers
    continue the turn; but it counts as recorded. Another VM may have recorded
    it, or other VMs' records may have to be read before it.

    Examples
    ========

    >>> held = HeldTurns()
    >>> claim = records.Claim("vm", ceiling=8, budget=None)
    >>> turn = records.CompletedTurn("p", "t", claim, None, 4, b"", b"")
    >>> ref = held.add(turn)
    >>> held.call_when_recorded([ref], lambda: print("recorded"))
    >>> held.note_recorded_unread(ref)
    recorded
    >>> len(held), list(held.unrecorded)
    (1, [])
    """

    def __init__(self) -> None:
        super().__init__()
        self._recorded_unread: set[records.TurnRef] = set()
        self._submitted: set[records.TurnRef] = set()
        self._waiters: list[_Waiter] = []

    @property
    def unrecorded(self) -> Iterable[records.CompletedTurn]:
        """Turns that are not known to be in the log."""
        return (turn for ref, turn in self.items() if self.is_unrecorded(ref))

    def is_unrecorded(self, ref: records.TurnRef) -> bool:
        """Return whether a turn could be lost with the VMs that hold it."""
        return ref in self and ref not in self._recorded_unread

    def add(self, turn: records.CompletedTurn) -> records.TurnRef:
        """Hold a turn; return its reference."""
        ref = records.TurnRef(turn.program, turn.turn)
        self[ref] = turn
        return ref

    def mark_submitted(self, ref: records.TurnRef) -> bool:
        """Mark a turn as submitted; return whether this is the first time.

        The append of a submitted turn is retried until it is recorded or its
        timeout is over.
        """
        is_first = ref not in self._submitted
        self._submitted.add(ref)
        return is_first

    def note_recorded(self, ref: records.TurnRef) -> None:
        """Drop a turn whose records this VM has from the log."""
        self._forget(ref)
        self._notify_waiters(ref)

    def note_lost(self, ref: records.TurnRef) -> None:
        """Drop a turn that was never recorded, and its waiting functions."""
        self._forget(ref)
        self._waiters = [
            item for item in self._waiters if ref not in item.unrecorded
        ]

    def note_recorded_unread(self, ref: records.TurnRef) -> None:
        """Note that a turn is in the log, not read by this VM yet."""
        if ref in self:
            self._recorded_unread.add(ref)
            self._notify_waiters(ref)

    def call_when_recorded(
        self, refs: Iterable[records.TurnRef], on_done: Callable[[], None]
    ) -> None:
        """Call a function once all of these turns are recorded."""
        unrecorded = {ref for ref in refs if self.is_unrecorded(ref)}
        if unrecorded:
            self._waiters.append(_Waiter(unrecorded, on_done))
        else:
            on_done()

    # -- own ------------------------------------------------------------------

    def _forget(self, ref: records.TurnRef) -> None:
        self.pop(ref, None)
        self._recorded_unread.discard(ref)
        self._submitted.discard(ref)

    def _notify_waiters(self, ref: records.TurnRef) -> None:
        """Call the functions that waited for this turn only."""
        for waiter in self._waiters:
            waiter.unrecorded.discard(ref)
        done = [waiter for waiter in self._waiters if not waiter.unrecorded]
        self._waiters = [
            waiter for waiter in self._waiters if waiter.unrecorded
        ]
        for waiter in done:
            waiter.on_done()
