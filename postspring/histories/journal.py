"""The journal: every turn that is opened, completed or given up.

Any VM may work on any program.  Which turn counts is decided by the order
of the log, so no VM owns a program and none has to be found or replaced.
"""

from collections.abc import Callable
import dataclasses
import functools

import xxhash

from postspring.histories import errors
from postspring.histories import fold as fold_module
from postspring.histories import partition as partition_module
from postspring.histories import program as program_module
from postspring.histories import records
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Chain", "Journal"]

# Partitions that programs are spread over.  The more there are, the more
# seldom two VMs write to one and have to read each other's records.
PROGRAM_PARTITIONS = 384
LOCATION_PARTITIONS = 24
# A partition that nobody used for this long is forgotten, and read again
# when it is needed; seconds, above the retention of the users' routes.
UNUSED_SECONDS = 90.0
SWEEP_SECONDS = 10.0

OnError = Callable[[errors.HistoryError], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """A turn's history: inputs and outputs of its chain, oldest first."""

    head: records.TurnRef | None
    parts: tuple[bytes, ...] = ()


class Journal:
    """Reads and extends histories through a shared log.

    Parameters
    ==========

    log : KeyedLog
        The shared log.
    timers : Timers
        For resending and patience.
    """

    def __init__(self, log: keyedlog.KeyedLog, timers: timers_module.Timers):
        self._log = log
        self._timers = timers
        self._partition_by_place: dict[
            keyedlog.LogPlace, partition_module.Partition
        ] = {}
        timers.call_every(SWEEP_SECONDS, self._forget_unused)

    # -- writing --------------------------------------------------------------

    def open_turn(
        self,
        record: records.OpenedTurn,
        patience: float,
        on_done: Callable[[program_module.TurnState], None],
        on_error: OnError,
    ) -> None:
        """Reserve a turn's ceiling; tell whether the budget holds it."""

        def folded(fold: fold_module.ProgramFold) -> None:
            turn = fold.program(record.program).turn_by_id[record.turn]
            on_done(turn.state)

        self._commit(record, patience, folded, on_error)

    def end_turn(
        self,
        record: records.EndedTurn,
        patience: float,
        on_error: OnError,
    ) -> None:
        """Settle a turn that is no part of the history."""
        self._commit(record, patience, lambda fold: None, on_error)

    def complete_turn(
        self,
        record: records.WholeTurn,
        patience: float,
        on_done: Callable[[], None],
        on_error: OnError,
    ) -> None:
        """Add a whole turn to the history, and note where it stands."""
        both = _Both(on_done, on_error)
        location = records.TurnLocation(record.turn, record.program)
        self._commit(record, patience, both.done, both.failed)
        place = self._place_of_location(record.turn)
        entry = keyedlog.LogEntry(record.turn, records.encode_record(location))
        self._partition(place).commit(entry, patience, both.done, both.failed)

    # -- reading --------------------------------------------------------------

    def find_chain(
        self,
        program: records.ProgramId,
        turn: records.TurnId,
        patience: float,
        on_done: Callable[[Chain | None], None],
        on_error: OnError,
    ) -> None:
        """Collect the chain that ends with a turn; None if there is none.

        ``program`` is where the turn is looked for first; a program may
        continue another's turn.
        """
        search = _ChainSearch(self, patience, on_done, on_error)
        search.start(records.TurnRef(program, turn))

    def known_turn(self, ref: records.TurnRef) -> program_module.Turn | None:
        """Return a whole turn if this VM has folded it."""
        place = self._place_of_program(ref.program)
        partition = self._partition_by_place.get(place)
        return None if partition is None else partition.fold.whole_turn(ref)

    def refresh_program(
        self,
        program: records.ProgramId,
        patience: float,
        on_done: Callable[[], None],
        on_error: OnError,
    ) -> None:
        """Fold all records of a program's partition."""
        partition = self._partition(self._place_of_program(program))
        partition.refresh(patience, lambda fold: on_done(), on_error)

    def locate(
        self,
        turn: records.TurnId,
        patience: float,
        on_done: Callable[[records.ProgramId | None], None],
        on_error: OnError,
    ) -> None:
        """Tell among which program's records a turn stands."""
        partition = self._partition(self._place_of_location(turn))
        known = partition.fold.program_by_turn.get(turn)
        if known is not None:
            on_done(known)
            return
        partition.refresh(
            patience,
            lambda fold: on_done(fold.program_by_turn.get(turn)),
            on_error,
        )

    # -- own ------------------------------------------------------------------

    def _commit(self, record, patience, on_done, on_error) -> None:
        partition = self._partition(self._place_of_program(record.program))
        key = f"{record.program}/{record.turn}"
        entry = keyedlog.LogEntry(key, records.encode_record(record))
        partition.commit(entry, patience, on_done, on_error)

    def _partition(
        self, place: keyedlog.LogPlace
    ) -> partition_module.Partition:
        partition = self._partition_by_place.get(place)
        if partition is None:
            fold_type = _fold_type_by_subject[place.subject]
            partition = partition_module.Partition(
                self._log, self._timers, place, fold_type
            )
            self._partition_by_place[place] = partition
        return partition

    @staticmethod
    def _place_of_program(program: records.ProgramId) -> keyedlog.LogPlace:
        number = xxhash.xxh64_intdigest(program.encode()) % PROGRAM_PARTITIONS
        return keyedlog.LogPlace(keyedlog.Subject.PROGRAMS, number)

    @staticmethod
    def _place_of_location(turn: records.TurnId) -> keyedlog.LogPlace:
        number = xxhash.xxh64_intdigest(turn.encode()) % LOCATION_PARTITIONS
        return keyedlog.LogPlace(keyedlog.Subject.LOCATIONS, number)

    def _forget_unused(self) -> None:
        oldest = self._timers.now() - UNUSED_SECONDS
        for place, partition in list(self._partition_by_place.items()):
            if partition.idle and partition.used_at < oldest:
                del self._partition_by_place[place]


_fold_type_by_subject = {
    keyedlog.Subject.PROGRAMS: fold_module.ProgramFold,
    keyedlog.Subject.LOCATIONS: fold_module.LocationFold,
}


class _Both:
    """Tells once when two commits are done, or the first one failed."""

    def __init__(self, on_done: Callable[[], None], on_error: OnError):
        self._on_done = on_done
        self._on_error = on_error
        self._left = 2

    def done(self, fold: object) -> None:
        """Count a commit."""
        self._left -= 1
        if self._left == 0:
            self._on_done()

    def failed(self, error: errors.HistoryError) -> None:
        """Report the first failure."""
        if self._left > 0:
            self._left = -1
            self._on_error(error)


class _ChainSearch:
    """Walks a chain from its head to its root, reading what is missing."""

    def __init__(self, journal: Journal, patience, on_done, on_error):
        self._journal = journal
        self._patience = patience
        self._on_done = on_done
        self._on_error = on_error
        self._head: records.TurnRef | None = None
        self._refreshed: set[records.ProgramId] = set()

    def start(self, head: records.TurnRef) -> None:
        """Look among the records of the head's program first."""
        self._head = head
        self._walk(self._locate_head)

    def _walk(self, when_missing: Callable[[], None]) -> None:
        parts: list[bytes] = []
        ref = self._head
        while ref is not None:
            turn = self._journal.known_turn(ref)
            if turn is None:
                self._read(ref, when_missing)
                return
            parts.extend((turn.output, turn.input))
            ref = turn.parent
        parts.reverse()
        self._on_done(Chain(self._head, tuple(parts)))

    def _read(self, ref: records.TurnRef, when_missing: Callable) -> None:
        if ref.program in self._refreshed:
            when_missing()
            return
        self._refreshed.add(ref.program)
        self._journal.refresh_program(
            ref.program,
            self._patience,
            functools.partial(self._walk, when_missing),
            self._on_error,
        )

    def _locate_head(self) -> None:
        self._journal.locate(
            self._head.turn, self._patience, self._located, self._on_error
        )

    def _located(self, program: records.ProgramId | None) -> None:
        if program is None or program == self._head.program:
            self._on_done(None)
            return
        self._head = records.TurnRef(program, self._head.turn)
        self._walk(lambda: self._on_done(None))
