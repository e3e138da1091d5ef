"""Partitions of programs and turns, and those that this VM works on."""

from collections.abc import Callable
import math

import xxhash

from postspring.histories import fold as fold_module
from postspring.histories import partition as partition_module
from postspring.histories import program as program_module
from postspring.histories import reachability
from postspring.histories import records
from postspring.histories import retry_pacer
from postspring.histories import size_limits as sizes_module
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Partitions", "place_of_location", "place_of_program"]

# Partitions that programs are spread over. The more there are, the less often
# two VMs append to the same one and have to read each other's records. The
# platform has 100 topics of 24 partitions; 20 topics are left for others.
PROGRAM_PARTITIONS = 1920
LOCATION_PARTITIONS = 24
# A partition that was not used for this long is dropped, and read again when
# it is needed; seconds, above the retention of the users' routes.
IDLE_SECONDS = 90.0
SWEEP_SECONDS = 10.0
# When the log is available again, up to this many partitions are retried at
# once, and more of them one after the other: every VM does the same, and they
# share the log's rate.
MAX_IMMEDIATE_RETRIES = 8
# Appends a second with which a VM catches up, unless configured otherwise.
DEFAULT_CATCH_UP_RATE = 50.0

_fold_type_by_subject = {
    keyedlog.Subject.PROGRAMS: fold_module.ProgramFold,
    keyedlog.Subject.LOCATIONS: fold_module.LocationFold,
}


def place_of_program(program: records.ProgramId) -> keyedlog.LogPlace:
    """Return the partition of a program's records."""
    number = xxhash.xxh64_intdigest(program.encode()) % PROGRAM_PARTITIONS
    return keyedlog.LogPlace(keyedlog.Subject.PROGRAMS, number)


def place_of_location(turn: records.TurnId) -> keyedlog.LogPlace:
    """Return the partition that holds a turn's location."""
    number = xxhash.xxh64_intdigest(turn.encode()) % LOCATION_PARTITIONS
    return keyedlog.LogPlace(keyedlog.Subject.LOCATIONS, number)


class Partitions:
    """The partitions that this VM has folded, created on demand.

    Parameters
    ==========

    catch_up_rate : callable
        Returns with how many appends a second this VM may catch up.
    sizes : Sizes
        Size limits of the log.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: timers_module.Timers,
        catch_up_rate: Callable[[], float] = lambda: DEFAULT_CATCH_UP_RATE,
        sizes: sizes_module.SizeLimits = sizes_module.SizeLimits(),
    ):
        self._sizes = sizes
        self._retry_pacer = retry_pacer.RetryPacer(timers, catch_up_rate)
        self._catch_up_ends_at = -math.inf
        self._log = log
        self._log_health = reachability.LogHealth(log, timers.now)
        self._timers = timers
        self._by_place: dict[
            keyedlog.LogPlace, partition_module.Partition
        ] = {}
        timers.call_every(SWEEP_SECONDS, self._drop_idle)

    def find(
        self, place: keyedlog.LogPlace
    ) -> partition_module.Partition | None:
        """Return a partition if this VM works on it."""
        return self._by_place.get(place)

    def get(self, place: keyedlog.LogPlace) -> partition_module.Partition:
        """Return a partition, which is created if this VM lacks it."""
        partition = self._by_place.get(place)
        if partition is None:
            partition = partition_module.Partition(
                self._log,
                self._timers,
                place,
                _fold_type_by_subject[place.subject],
                self._log_health,
                self.on_log_recovered,
                is_ordered=place.subject is keyedlog.Subject.PROGRAMS,
                pace_retry=self._retry_pacer.allot_pause,
                call_bytes=self._sizes.call,
            )
            self._by_place[place] = partition
        return partition

    def program(self, program: records.ProgramId) -> program_module.Program:
        """Return a program as this VM knows it, empty if it is unknown."""
        partition = self.find(place_of_program(program))
        found = None
        if partition is not None:
            found = partition.fold.program_by_id.get(program)
        return found or program_module.Program(program)

    def completed_turn(
        self, ref: records.TurnRef
    ) -> program_module.Turn | None:
        """Return a turn of the history if this VM has folded it."""
        partition = self.find(place_of_program(ref.program))
        return (
            None if partition is None else partition.fold.completed_turn(ref)
        )

    def is_recorded(self, ref: records.TurnRef) -> bool:
        """Return whether a turn and its location are known to be recorded."""
        partition = self.find(place_of_location(ref.turn))
        if partition is None or self.completed_turn(ref) is None:
            return False
        return ref.turn in partition.fold.program_by_turn

    def has_log_answered_since(self, moment: float) -> bool:
        """Return whether the log has answered this VM itself since then."""
        return self._log_health.has_answered_since(moment)

    def patience(self, usual: float) -> float:
        """Return how long a caller should wait for the log, in seconds."""
        return self._log_health.patience(usual)

    def is_unresponsive(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a partition is known to be unavailable or late."""
        return self._log.is_down or self.get(place).is_unresponsive

    def should_record_elsewhere(self, place: keyedlog.LogPlace) -> bool:
        """Return whether another VM may append to a partition sooner."""
        return self._log.is_down or self.get(place).should_record_elsewhere

    def is_unavailable(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a partition is known to fail, not just slow."""
        return self._log.is_down or self.get(place).is_unavailable

    def is_fast(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a partition is available and appends are fast."""
        return not self.is_unavailable(place) and self._log_health.is_fast

    def on_log_recovered(self) -> None:
        """Schedule all pending retries at the catch-up rate.

        Every partition whose call succeeds again calls this: while retries are
        under way, their slots stay as allotted. Partitions that callers wait
        for, or have waited for, come first.
        """
        self._log_health.note_answer()
        if self._timers.now() < self._catch_up_ends_at:
            return
        waiting = [
            partition
            for partition in self._by_place.values()
            if partition.is_waiting
        ]
        # Until then only VMs hold turns whose callers have the complete
        # answer.
        waiting.sort(key=lambda partition: not partition.had_waiting_caller)
        self._retry_pacer.restart()
        pauses = [self._retry_pacer.allot_pause(0.0) for partition in waiting]
        if not pauses:
            return
        self._catch_up_ends_at = self._timers.now() + pauses[-1]
        are_few = len(waiting) <= MAX_IMMEDIATE_RETRIES
        for partition, seconds in zip(waiting, pauses):
            partition.schedule_retry(0.0 if are_few else seconds)
            if partition.has_waiting_caller:
                partition.expedite_retry()

    # -- own ------------------------------------------------------------------

    def _drop_idle(self) -> None:
        oldest = self._timers.now() - IDLE_SECONDS
        for place, partition in list(self._by_place.items()):
            if partition.is_idle and partition.last_used_at < oldest:
                del self._by_place[place]
