"""Replicas of other VMs' records, held until the log has them."""

from collections.abc import Callable
import random
from typing import Protocol

from postspring.histories import errors
from postspring.histories import records
from postspring.transport import timers as timers_module

__all__ = ["ChargeReplicas", "ReplicaCheck", "ReplicaStore"]

ChargeRecord = records.OpenedTurn | records.EndedTurn

# Delay until a VM looks for a replica in the log, in seconds. The author
# appends its record as soon as the log answers; only if the author is gone, or
# the log stays unavailable, another VM has to append it. The delay is random,
# so that one VM finds what another has appended.
CHECK_DELAY_SECONDS = (2.0, 3.0)
# The same for a VM whose log is fast while the author's is unavailable, in
# seconds: replicas are lost if all VMs lose power. A fast log takes some ms,
# so the last of four VMs still finds what the first has appended. With a log
# that is slow for the author too, all four would append the record and delay
# other appends.
URGENT_CHECK_DELAY_SECONDS = (0.0, 0.2)
# How long the log may be unavailable, in seconds; above the retention of the
# users' routes.
LOG_TIMEOUT_SECONDS = 120.0


class ReplicaStore(Protocol):
    """The journal that holds a replica, as its check uses it."""

    def refresh_program(
        self, program, timeout, on_done, on_error, keeps_timeout=False
    ) -> None:
        """Fold all records of a program's partition."""

    def locate(self, turn, timeout, on_done, on_error) -> None:
        """Find the program among whose records a turn is stored."""

    def is_logged(self, ref: records.TurnRef) -> bool:
        """Return whether a completed turn is known to be in the log."""

    def append_replica(self, record: records.CompletedTurn) -> None:
        """Append a replica that the log lacks."""

    def append_replica_location(self, record: records.CompletedTurn) -> None:
        """Append the location of a replica whose record is in the log."""

    def drop_replica(self, ref: records.TurnRef) -> None:
        """Drop a replica whose record and location are in the log."""


class ReplicaCheck:
    """Checks whether a replica is in the log, and appends what is missing.

    A read costs the log less than an append, and without the check all VMs
    that hold a replica would append it at the same time.

    Parameters
    ==========

    record : CompletedTurn
        The replica.
    on_lost : callable
        Called with the error if the log was unavailable for too long.
    """

    def __init__(
        self,
        journal: ReplicaStore,
        timers: timers_module.Timers,
        record: records.CompletedTurn,
        on_lost: Callable[[errors.HistoryError], None],
    ):
        self._journal = journal
        self._timers = timers
        self._record = record
        self._on_lost = on_lost
        self._ref = records.TurnRef(record.program, record.turn)

    def start(self, is_urgent: bool) -> None:
        """Check after the usual delay, or after a short one."""
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


class ChargeReplicas:
    """Replicas of records that charge turns run on offline accounts.

    Explanation
    ===========

    While the log is unavailable, no record in it charges a turn that runs on a
    program's offline account. If the turn's VM dies before the log is
    available again, the program could spend the same tokens once more; so some
    other VMs hold the record of its end and, until it has ended, one of its
    opening, which charges the most that it may use.

    Parameters
    ==========

    refresh : callable
        Folds all records of a program's partition.
    is_charged : callable
        Returns whether the records that this VM has folded make a record
        needless.
    append : callable
        Appends a record; takes a function to call when that has ended.
    """

    def __init__(
        self,
        timers: timers_module.Timers,
        refresh: Callable,
        is_charged: Callable[[ChargeRecord], bool],
        append: Callable[[ChargeRecord, Callable[[], None]], None],
    ):
        self._timers = timers
        self._refresh = refresh
        self._is_charged = is_charged
        self._append = append
        self._stored: set[ChargeRecord] = set()
        self._missing_once: set[records.OpenedTurn] = set()

    def __len__(self) -> int:
        return len(self._stored)

    @property
    def stored(self) -> list[ChargeRecord]:
        """The records that this VM holds."""
        return list(self._stored)

    def has_program(self, program: records.ProgramId) -> bool:
        """Return whether one of the records belongs to a program."""
        return any(record.program == program for record in self._stored)

    def tokens_by_turn(
        self, program: records.ProgramId
    ) -> dict[records.TurnId, int]:
        """Return the tokens of a program's turns by these records."""
        return {
            record.turn: _charged_tokens(record)
            for record in self._stored
            if record.program == program
        }

    def add(self, record: ChargeRecord) -> None:
        """Hold a record, and look for it in the log after a delay.

        The record of a turn's end replaces that of its opening.
        """
        if record in self._stored or self._is_charged(record):
            return
        if isinstance(record, records.EndedTurn):
            self.drop_opening(record)
        self._stored.add(record)
        self._schedule_check(record)

    def drop_opening(
        self, end: records.EndedTurn | records.CompletedTurn
    ) -> None:
        """Drop the opening of a turn of which this VM has the end."""
        self._stored = {
            record
            for record in self._stored
            if not (
                isinstance(record, records.OpenedTurn)
                and record.program == end.program
                and record.turn == end.turn
                and record.claim.author == end.claim.author
            )
        }

    # -- own ------------------------------------------------------------------

    def _schedule_check(self, record: ChargeRecord) -> None:
        seconds = random.uniform(*CHECK_DELAY_SECONDS)
        self._timers.call_later(seconds, self._check_log, record)

    def _should_look_again(self, record: ChargeRecord) -> bool:
        """Return whether a record that the log lacks is looked for again.

        Right after an outage the end of an opened turn is mostly about to be
        appended, and its opening would be one append more.
        """
        is_opening = isinstance(record, records.OpenedTurn)
        if not is_opening or record in self._missing_once:
            return False
        self._missing_once.add(record)
        return True

    def _check_log(self, record: ChargeRecord) -> None:
        if record not in self._stored:
            self._drop(record)
            return

        def folded() -> None:
            if record not in self._stored or self._is_charged(record):
                self._drop(record)
            elif self._should_look_again(record):
                self._schedule_check(record)
            else:
                self._append(record, lambda: self._drop(record))

        self._refresh(
            record.program,
            LOG_TIMEOUT_SECONDS,
            folded,
            lambda error: self._drop(record),
            keeps_timeout=True,
        )

    def _drop(self, record: ChargeRecord) -> None:
        self._stored.discard(record)
        self._missing_once.discard(record)


def _charged_tokens(record: ChargeRecord) -> int:
    if isinstance(record, records.OpenedTurn):
        return record.claim.ceiling
    return record.tokens
