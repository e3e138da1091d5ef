"""Which partition holds what, and the ones that this VM works on."""

from collections.abc import Callable
import math

import xxhash

from postspring.histories import fold as fold_module
from postspring.histories import partition as partition_module
from postspring.histories import program as program_module
from postspring.histories import reachability
from postspring.histories import records
from postspring.histories import retry_pace
from postspring.histories import sizes as sizes_module
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Partitions", "place_of_location", "place_of_program"]

# Partitions that programs are spread over.  The more there are, the more
# seldom two VMs write to one and have to read each other's records.  The
# platform has 100 topics of 24 partitions; 20 topics are left for others.
PROGRAM_PARTITIONS = 1920
LOCATION_PARTITIONS = 24
# A partition that nobody used for this long is forgotten, and read again
# when it is needed; seconds, above the retention of the users' routes.
UNUSED_SECONDS = 90.0
SWEEP_SECONDS = 10.0
# When the log is back, more partitions than this are not tried at once but
# one after the other: every VM does the same, and they share its rate.
AT_ONCE = 8
# Appends a second with which a VM catches up, unless it is told otherwise.
CATCH_UP_RATE = 50.0

_fold_type_by_subject = {
    keyedlog.Subject.PROGRAMS: fold_module.ProgramFold,
    keyedlog.Subject.LOCATIONS: fold_module.LocationFold,
}


def place_of_program(program: records.ProgramId) -> keyedlog.LogPlace:
    """Return the partition of a program's records."""
    number = xxhash.xxh64_intdigest(program.encode()) % PROGRAM_PARTITIONS
    return keyedlog.LogPlace(keyedlog.Subject.PROGRAMS, number)


def place_of_location(turn: records.TurnId) -> keyedlog.LogPlace:
    """Return the partition that tells where a turn stands."""
    number = xxhash.xxh64_intdigest(turn.encode()) % LOCATION_PARTITIONS
    return keyedlog.LogPlace(keyedlog.Subject.LOCATIONS, number)


class Partitions:
    """The partitions that this VM has folded, made when they are needed.

    Parameters
    ==========

    catch_up_rate : callable
        Returns with how many appends a second this VM may catch up.
    sizes : Sizes
        What the log takes.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: timers_module.Timers,
        catch_up_rate: Callable[[], float] = lambda: CATCH_UP_RATE,
        sizes: sizes_module.Sizes = sizes_module.Sizes(),
    ):
        self._sizes = sizes
        self._pace = retry_pace.RetryPace(timers, catch_up_rate)
        self._caught_up_at = -math.inf
        self._log = log
        self._answers = reachability.LogAnswers(log)
        self._timers = timers
        self._by_place: dict[
            keyedlog.LogPlace, partition_module.Partition
        ] = {}
        timers.call_every(SWEEP_SECONDS, self._forget_unused)

    def find(
        self, place: keyedlog.LogPlace
    ) -> partition_module.Partition | None:
        """Return a partition if this VM works on it."""
        return self._by_place.get(place)

    def get(self, place: keyedlog.LogPlace) -> partition_module.Partition:
        """Return a partition; begin to work on it if that is new."""
        partition = self._by_place.get(place)
        if partition is None:
            partition = partition_module.Partition(
                self._log,
                self._timers,
                place,
                _fold_type_by_subject[place.subject],
                self._answers,
                self.log_is_back,
                is_ordered=place.subject is keyedlog.Subject.PROGRAMS,
                spread=self._pace.pause,
                call_bytes=self._sizes.call,
            )
            self._by_place[place] = partition
        return partition

    def program(self, program: records.ProgramId) -> program_module.Program:
        """Return a program as this VM knows it, which may be not at all."""
        partition = self.find(place_of_program(program))
        found = None
        if partition is not None:
            found = partition.fold.program_by_id.get(program)
        return found or program_module.Program(program)

    def whole_turn(self, ref: records.TurnRef) -> program_module.Turn | None:
        """Return a turn of the history if this VM has folded it."""
        partition = self.find(place_of_program(ref.program))
        return None if partition is None else partition.fold.whole_turn(ref)

    def is_recorded(self, ref: records.TurnRef) -> bool:
        """Return whether a turn and its place are known to be recorded."""
        partition = self.find(place_of_location(ref.turn))
        if partition is None or self.whole_turn(ref) is None:
            return False
        return ref.turn in partition.fold.program_by_turn

    def is_failing(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a partition can't be reached, as far as known."""
        return self._log.is_down or self.get(place).is_failing

    def is_away(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a partition is known to fail, not just slow."""
        return self._log.is_down or self.get(place).is_away

    def is_quick(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a partition takes appends at once, as known."""
        return not self.is_away(place) and self._answers.is_quick

    def log_is_back(self) -> None:
        """Do what waits for its next try, spread by the rate.

        Every partition that gets through says so: what is on its way then
        stays as it was dealt out.  What somebody waits for goes first.
        """
        self._answers.note()
        if self._timers.now() < self._caught_up_at:
            return
        waiting = [
            partition
            for partition in self._by_place.values()
            if partition.is_waiting
        ]
        # Turns that callers had whole are kept by VMs only until then.
        waiting.sort(key=lambda partition: not partition.was_awaited)
        self._pace.restart()
        pauses = [self._pace.pause(0.0) for partition in waiting]
        if not pauses:
            return
        self._caught_up_at = self._timers.now() + pauses[-1]
        are_few = len(waiting) <= AT_ONCE
        for partition, seconds in zip(waiting, pauses):
            partition.retry_in(0.0 if are_few else seconds)
            if partition.is_awaited:
                partition.hurry()

    # -- own ------------------------------------------------------------------

    def _forget_unused(self) -> None:
        oldest = self._timers.now() - UNUSED_SECONDS
        for place, partition in list(self._by_place.items()):
            if partition.idle and partition.used_at < oldest:
                del self._by_place[place]
