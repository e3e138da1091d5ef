"""Copies of other VMs' turns, kept until they stand in the log."""

from collections.abc import Callable
import random
from typing import Protocol

from postspring.histories import errors
from postspring.histories import records
from postspring.transport import timers as timers_module

__all__ = ["CopyCheck", "CopyKeeper"]

# When a copy is looked for in the log, in seconds: its author appends it as
# soon as the log answers, and only if that VM is gone, or the log stays away,
# it has to be appended here.  VMs look at different times, so that one finds
# what another has appended.
CHECK_SECONDS = (2.0, 3.0)
# How long the log may be away, in seconds; above the retention of the users'
# routes.
PATIENCE_SECONDS = 120.0


class CopyKeeper(Protocol):
    """What a check needs of the journal that keeps the copy."""

    def refresh_program(
        self, program, patience, on_done, on_error, waits_long=False
    ) -> None:
        """Fold all records of a program's partition."""

    def locate(self, turn, patience, on_done, on_error) -> None:
        """Tell among which program's records a turn stands."""

    def is_logged(self, ref: records.TurnRef) -> bool:
        """Return whether a whole turn is known to stand in the log."""

    def record_copy(self, record: records.WholeTurn) -> None:
        """Append a copy that is not in the log."""

    def record_location(self, record: records.WholeTurn) -> None:
        """Append where a copy stands whose place is not in the log."""

    def drop_copy(self, ref: records.TurnRef) -> None:
        """Forget a copy whose records stand in the log."""


class CopyCheck:
    """Looks whether a copy stands in the log, and appends what is missing.

    One read costs the log less than an append, and all VMs that keep a copy
    would append it at the same time.

    Parameters
    ==========

    record : WholeTurn
        The copy.
    on_lost : callable
        Told if the log stayed away too long.
    """

    def __init__(
        self,
        journal: CopyKeeper,
        timers: timers_module.Timers,
        record: records.WholeTurn,
        on_lost: Callable[[errors.HistoryError], None],
    ):
        self._journal = journal
        self._timers = timers
        self._record = record
        self._lost = on_lost
        self._ref = records.TurnRef(record.program, record.turn)

    def start(self) -> None:
        """Look after a while."""
        seconds = random.uniform(*CHECK_SECONDS)
        self._timers.call_later(seconds, self._look)

    # -- own ------------------------------------------------------------------

    def _look(self) -> None:
        self._journal.refresh_program(
            self._record.program,
            PATIENCE_SECONDS,
            self._folded,
            self._lost,
            waits_long=True,
        )

    def _folded(self) -> None:
        if not self._journal.is_logged(self._ref):
            self._journal.record_copy(self._record)
            return
        self._journal.locate(
            self._record.turn, PATIENCE_SECONDS, self._located, self._lost
        )

    def _located(self, program: records.ProgramId | None) -> None:
        if program is None:
            self._journal.record_location(self._record)
        else:
            self._journal.drop_copy(self._ref)
