"""Copies of other VMs' records, kept until they stand in the log."""

from collections.abc import Callable
import random
from typing import Protocol

from postspring.histories import errors
from postspring.histories import records
from postspring.transport import timers as timers_module

__all__ = [
    "EndedTurnReplicas",
    "ReplicaCheck",
    "ReplicaStore",
]

# When a copy is looked for in the log, in seconds: its author appends it as
# soon as the log answers, and only if that VM is gone, or the log stays away,
# it has to be appended here.  VMs look at different times, so that one finds
# what another has appended.
CHECK_DELAY_SECONDS = (2.0, 3.0)
# The same by a VM whose log is quick if the author's is away, in seconds: what
# only VMs keep is lost if all lose power.  The latest of four still finds
# what the first has appended in some ms; of a log that is slow for the author
# too, all four would append it, and what waits there would wait longer.
URGENT_CHECK_DELAY_SECONDS = (0.0, 0.2)
# How long the log may be away, in seconds; above the retention of the users'
# routes.
LOG_TIMEOUT_SECONDS = 120.0


class ReplicaStore(Protocol):
    """What a check needs of the journal that keeps the copy."""

    def refresh_program(
        self, program, timeout, on_done, on_error, keeps_timeout=False
    ) -> None:
        """Fold all records of a program's partition."""

    def locate(self, turn, timeout, on_done, on_error) -> None:
        """Tell among which program's records a turn stands."""

    def is_logged(self, ref: records.TurnRef) -> bool:
        """Return whether a whole turn is known to stand in the log."""

    def append_replica(self, record: records.WholeTurn) -> None:
        """Append a copy that is not in the log."""

    def append_replica_location(self, record: records.WholeTurn) -> None:
        """Append where a copy stands whose place is not in the log."""

    def drop_replica(self, ref: records.TurnRef) -> None:
        """Forget a copy whose records stand in the log."""


class ReplicaCheck:
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
        journal: ReplicaStore,
        timers: timers_module.Timers,
        record: records.WholeTurn,
        on_lost: Callable[[errors.HistoryError], None],
    ):
        self._journal = journal
        self._timers = timers
        self._record = record
        self._on_lost = on_lost
        self._ref = records.TurnRef(record.program, record.turn)

    def start(self, is_urgent: bool) -> None:
        """Look soon, or after a while."""
        bounds = (
            URGENT_CHECK_DELAY_SECONDS if is_urgent else CHECK_DELAY_SECONDS
        )
        seconds = random.uniform(*bounds)
        self._timers.call_later(seconds, self._check_log)

    # -- own ------------------------------------------------------------------

    def _check_log(self) -> None:
        self._journal.refresh_program(
            self._record.program,
            LOG_TIMEOUT_SECONDS,
            self._folded,
            self._on_lost,
            keeps_timeout=True,
        )

    def _folded(self) -> None:
        if not self._journal.is_logged(self._ref):
            self._journal.append_replica(self._record)
            return
        self._journal.locate(
            self._record.turn,
            LOG_TIMEOUT_SECONDS,
            self._located,
            self._on_lost,
        )

    def _located(self, program: records.ProgramId | None) -> None:
        if program is None:
            self._journal.append_replica_location(self._record)
        else:
            self._journal.drop_replica(self._ref)


class EndedTurnReplicas:
    """What turns used that left no history, as other VMs tell.

    Explanation
    ===========

    A turn that ran at a program's home while the log is away is charged by
    nothing in the log.  If its VM dies before the log is back, the program
    would have what it used once more; so some other VMs keep its record.

    Parameters
    ==========

    refresh : callable
        Folds all records of a program's partition.
    is_folded : callable
        Returns whether a record stands in the log, as far as was read.
    append : callable
        Appends a record; takes what to call when that is done.
    """

    def __init__(
        self,
        timers: timers_module.Timers,
        refresh: Callable,
        is_folded: Callable[[records.EndedTurn], bool],
        append: Callable[[records.EndedTurn, Callable[[], None]], None],
    ):
        self._timers = timers
        self._refresh = refresh
        self._is_folded = is_folded
        self._append = append
        self._stored: set[records.EndedTurn] = set()

    def __len__(self) -> int:
        return len(self._stored)

    @property
    def stored(self) -> list[records.EndedTurn]:
        """The records that are kept."""
        return list(self._stored)

    def has_program(self, program: records.ProgramId) -> bool:
        """Return whether a turn of a program is among them."""
        return any(record.program == program for record in self._stored)

    def tokens_by_turn(
        self, program: records.ProgramId
    ) -> dict[records.TurnId, int]:
        """Return what a program's turns among them used."""
        return {
            record.turn: record.tokens
            for record in self._stored
            if record.program == program
        }

    def add(self, record: records.EndedTurn) -> None:
        """Keep a record, and look for it in the log after a while."""
        if record in self._stored or self._is_folded(record):
            return
        self._stored.add(record)
        seconds = random.uniform(*CHECK_DELAY_SECONDS)
        self._timers.call_later(seconds, self._check_log, record)

    def _check_log(self, record: records.EndedTurn) -> None:
        def folded() -> None:
            if self._is_folded(record):
                self._drop(record)
            else:
                self._append(record, lambda: self._drop(record))

        self._refresh(
            record.program,
            LOG_TIMEOUT_SECONDS,
            folded,
            lambda error: self._drop(record),
            keeps_timeout=True,
        )

    def _drop(self, record: records.EndedTurn) -> None:
        self._stored.discard(record)
