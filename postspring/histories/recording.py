"""Appends the records of turns to their programs' partitions."""

from collections.abc import Callable

from postspring.histories import durability
from postspring.histories import errors
from postspring.histories import fold as fold_module
from postspring.histories import partitions as partitions_module
from postspring.histories import records
from postspring import keyedlog

__all__ = [
    "KEEP_SECONDS",
    "append_location",
    "append_record",
    "append_completed",
    "expedite_retry",
    "is_late",
    "is_unavailable",
]

# How long the append of a record that must not be lost is retried, in seconds;
# above the retention of the users' routes.
KEEP_SECONDS = 120.0
# How long a caller waits for its turn's record, in seconds: until other VMs
# hold replicas (0.35 s), with a margin. Without a waiting caller, the record
# would be retried behind all that is left of an outage.
CALLER_WAIT_SECONDS = 1.0


def append_record(
    partitions: partitions_module.Partitions,
    record: records.OpenedTurn | records.CompletedTurn | records.EndedTurn,
    timeout: float,
    on_done: Callable[[fold_module.ProgramFold], None],
    on_error: Callable[[errors.HistoryError], None],
    caller_wait: float = 0.0,
    may_be_there: bool = False,
    on_appended: Callable[[], None] = lambda: None,
) -> None:
    """Append a record to its program's partition.

    Parameters
    ----------
    on_done : callable
        Called with the fold when the record is in it.
    on_appended : callable
        Called when the record is in the log.
    """
    place = partitions_module.place_of_program(record.program)
    data = records.encode_record(record)
    entry = keyedlog.LogEntry(records.record_key(record, data), data)
    partition = partitions.get(place)
    partition.commit(
        entry,
        timeout,
        on_done,
        on_error,
        caller_wait,
        may_be_there,
        on_appended,
    )


def append_location(
    partitions: partitions_module.Partitions,
    record: records.CompletedTurn,
    on_done: Callable[[], None],
    on_error: Callable[[errors.HistoryError], None],
    caller_wait: float = 0.0,
    may_be_there: bool = False,
) -> None:
    """Append the location of a completed turn."""
    place = partitions_module.place_of_location(record.turn)
    location = records.TurnLocation(record.turn, record.program)
    entry = keyedlog.LogEntry(record.turn, records.encode_record(location))
    partitions.get(place).commit(
        entry,
        KEEP_SECONDS,
        lambda fold: on_done(),
        on_error,
        caller_wait,
        may_be_there,
    )


def append_completed(
    partitions: partitions_module.Partitions,
    record: records.CompletedTurn,
    on_folded: Callable[[fold_module.ProgramFold], None],
    on_recorded: Callable[[], None],
    on_done: Callable[[], None],
    on_error: Callable[[errors.HistoryError], None],
    caller_wait: float,
    may_be_there: bool = False,
) -> None:
    """Append a completed turn and its location.

    Parameters
    ----------
    on_folded : callable
        Called with the fold when the turn's record is in it.
    on_recorded : callable
        Called when both records are in the log, maybe before that.
    on_done : callable
        Called when both are in the log, and the turn's is folded.
    caller_wait : float
        Seconds for which a caller waits for the records.
    may_be_there : bool
        Whether another VM may have appended them.
    """
    both = durability.PairLatch(on_recorded)
    both_done = durability.PairLatch(on_done)

    def folded(fold: fold_module.ProgramFold) -> None:
        on_folded(fold)
        both_done.count_down()

    def located() -> None:
        both.count_down()
        both_done.count_down()

    append_record(
        partitions,
        record,
        KEEP_SECONDS,
        folded,
        on_error,
        caller_wait,
        may_be_there,
        both.count_down,
    )
    append_location(
        partitions,
        record,
        located,
        on_error,
        caller_wait,
        may_be_there,
    )


def expedite_retry(
    partitions: partitions_module.Partitions, record: records.CompletedTurn
) -> None:
    """Retry a turn's pending appends now, if the log answers again."""
    for place in _places_of(record):
        partitions.get(place).expedite_retry()


def is_unavailable(
    partitions: partitions_module.Partitions, record: records.CompletedTurn
) -> bool:
    """Return whether a turn can't be recorded now, as far as known."""
    return any(
        partitions.is_unavailable(place) for place in _places_of(record)
    )


def is_late(
    partitions: partitions_module.Partitions, record: records.CompletedTurn
) -> bool:
    """Return whether this VM may be unable to record a turn."""
    return any(
        partitions.should_record_elsewhere(place)
        for place in _places_of(record)
    )


def _places_of(record: records.CompletedTurn) -> tuple[keyedlog.LogPlace, ...]:
    """Return the partitions of a completed turn and of its location."""
    return (
        partitions_module.place_of_program(record.program),
        partitions_module.place_of_location(record.turn),
    )
