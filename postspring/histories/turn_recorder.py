"""Records completed turns in the log, each together with its ancestors.

Any VM can continue a turn from the log alone, even after all VMs have lost
what they held, only if the turn's ancestors are in the log too. A turn
therefore counts as recorded only when they are.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging

from postspring.histories import fold as fold_module
from postspring.histories import held_turns as held_module
from postspring.histories import partitions as partitions_module
from postspring.histories import ports
from postspring.histories import program as program_module
from postspring.histories import recording
from postspring.histories import records
from postspring.histories import turn_opener

__all__ = ["TurnRecorder"]

LOG = logging.getLogger(__name__)

KnownTurn = Callable[[records.TurnRef], program_module.Turn | None]


class TurnRecorder:
    """Records completed turns of this VM, and replicas of other VMs' turns.

    Parameters
    ==========

    held : HeldTurns
        Turns whose records this VM does not have from the log.
    known_turn : callable
        Returns a completed turn if this VM has it in memory.
    make_loss_reporter : callable
        Returns the error handler that reports a turn as lost.
    """

    def __init__(
        self,
        partitions: partitions_module.Partitions,
        held: held_module.HeldTurns,
        known_turn: KnownTurn,
        make_loss_reporter: Callable[
            [records.CompletedTurn], turn_opener.OnError
        ],
    ):
        self._partitions = partitions
        self._held = held
        self._known_turn = known_turn
        self._make_loss_reporter = make_loss_reporter

    def record_with_chain(
        self,
        turn: records.CompletedTurn,
        on_folded: Callable[[fold_module.ProgramFold], None],
        on_recorded: Callable[[], None],
    ) -> None:
        """Append a turn that ended here; report when its chain is recorded.

        While the log is unavailable, the ancestors are left to the VMs that
        have submitted them: otherwise all VMs that hold one would append it at
        once when the log is available again.
        """
        if not recording.is_unavailable(self._partitions, turn):
            self._append_now(self._unrecorded_ancestors(turn))

        def recorded() -> None:
            chain = self._unrecorded_ancestors(turn)
            self._append_now(chain)
            self._held.call_when_recorded(map(_ref_of, chain), on_recorded)

        self._record(turn, on_folded, recorded, recording.CALLER_WAIT_SECONDS)

    def record_elsewhere(
        self,
        turn: records.CompletedTurn,
        holders: ports.ReplicaHolders,
        timeout: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Have a VM that reaches the log record a turn and its ancestors."""
        turns = [*self._unrecorded_ancestors(turn), turn]

        def on_answer(is_recorded: bool) -> None:
            if is_recorded:
                for item in turns:
                    self._held.note_recorded_unread(_ref_of(item))
                LOG.info("recorded by another VM", extra=_log_fields(turn))
            on_done(is_recorded)

        holders.record(
            [records.encode_record(item) for item in turns], timeout, on_answer
        )

    def record_for_peer(
        self, turns: list[records.CompletedTurn], on_done: Callable[[], None]
    ) -> None:
        """Append turns of a VM without the log; report when all are there."""
        unrecorded = [turn for turn in turns if not self._is_recorded(turn)]
        for turn in unrecorded:
            self._held.add(turn)
        self._append_now(unrecorded)
        self._held.call_when_recorded(map(_ref_of, unrecorded), on_done)

    def append_replica(
        self, turn: records.CompletedTurn, caller_wait: float
    ) -> None:
        """Append a replica, unless it was submitted to the log before."""
        if not self._held.mark_submitted(_ref_of(turn)):
            return

        def recorded() -> None:
            LOG.info("copy recorded", extra=_log_fields(turn))

        self._record(
            turn, lambda fold: None, recorded, caller_wait, may_be_there=True
        )

    # -- own ------------------------------------------------------------------

    def _record(
        self,
        turn: records.CompletedTurn,
        on_folded: Callable[[fold_module.ProgramFold], None],
        on_recorded: Callable[[], None],
        caller_wait: float,
        may_be_there: bool = False,
    ) -> None:
        """Append a turn and its location."""
        ref = self._held.add(turn)
        self._held.mark_submitted(ref)

        def recorded() -> None:
            # Without its location no other program finds it in the log.  It
            # stays here until it is folded: a slow log takes as long again to
            # have other VMs' records read before it.
            self._held.note_recorded_unread(ref)
            on_recorded()

        recording.append_completed(
            self._partitions,
            turn,
            on_folded,
            recorded,
            lambda: self._held.note_recorded(ref),
            self._make_loss_reporter(turn),
            caller_wait,
            may_be_there,
        )

    def _append_now(self, turns: Iterable[records.CompletedTurn]) -> None:
        """Append turns, and retry now what is pending in their partitions."""
        for turn in turns:
            self.append_replica(turn, recording.CALLER_WAIT_SECONDS)
            recording.expedite_retry(self._partitions, turn)

    def _unrecorded_ancestors(
        self, turn: records.CompletedTurn
    ) -> list[records.CompletedTurn]:
        """Return the ancestors that the log may lack, oldest first."""
        ancestors: list[records.CompletedTurn] = []
        ref = turn.parent
        while ref is not None and self._held:
            if self._held.is_unrecorded(ref):
                ancestors.append(self._held[ref])
            known = self._known_turn(ref)
            ref = None if known is None else known.parent
        ancestors.reverse()
        return ancestors

    def _is_recorded(self, turn: records.CompletedTurn) -> bool:
        ref = _ref_of(turn)
        return ref not in self._held and self._partitions.is_recorded(ref)


def _ref_of(turn: records.CompletedTurn) -> records.TurnRef:
    return records.TurnRef(turn.program, turn.turn)


def _log_fields(turn: records.CompletedTurn) -> dict[str, str]:
    """Return a turn's ids as fields of a log line."""
    return {"program": turn.program, "request": turn.turn}
