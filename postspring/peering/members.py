"""The entry VMs that there are, as they announced themselves in the log."""

from collections.abc import Callable
import dataclasses
import logging
import math
import random

import cbor2

from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Member", "Members"]

LOG = logging.getLogger(__name__)

PLACE = keyedlog.LogPlace(keyedlog.Subject.MEMBERS, 0)
# How often a VM renews its entry, and reads the list, in seconds.
HEARTBEAT_SECONDS = 5.0
# An entry that was not renewed for this long belongs to a VM that is gone
# for good, as far as anybody can tell; in seconds while the log answers.
EXPIRY_SECONDS = 13.0
RETRY_SECONDS = 0.5
# As many VMs are assumed while the list was never read; the largest fleet
# that was measured has 64 entry VMs.
UNKNOWN_VMS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One entry VM.

    Parameters
    ==========

    peers, callers : tuple of (str, int)
        Where it listens for other VMs, and for callers.
    """

    name: str
    incarnation: str
    data_center: str
    peers: tuple[str, int]
    callers: tuple[str, int]


class Members:
    """Announces this VM and follows the others.

    Explanation
    ===========

    The list is a hint for whom to ask; nothing rests on its being right.

    Parameters
    ==========

    own : Member
        This VM.
    seeds : tuple
        Addresses of VMs to ask while the list can't be read.
    ask_others : callable
        Asks other VMs for their view of the list.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: timers_module.Timers,
        own: Member,
        seeds: tuple[tuple[str, int], ...] = (),
        ask_others: Callable = lambda place, on_page: None,
    ):
        self.seeds = [seed for seed in seeds if seed != own.peers]
        self._log = log
        self._timers = timers
        self.own = own
        self.by_name: dict[str, Member] = {}
        self._seen_at_by_name: dict[str, float] = {}
        self._heartbeat: timers_module.TimerHandle | None = None
        self._follower = keyedlog.Follower(
            log,
            timers,
            PLACE,
            self._reset,
            self._take,
            pace=HEARTBEAT_SECONDS,
            on_regained=self._log_regained,
            ask_others=ask_others,
        )

    def start(self) -> None:
        """Announce this VM, and follow the list."""
        self._announce(_encode(self.own))
        self._follower.start()
        self._heartbeat = self._timers.call_every(
            HEARTBEAT_SECONDS, self._renew
        )

    def leave(self) -> None:
        """Take this VM off the list."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self._announce(b"")

    @property
    def own_entry(self) -> bytes:
        """This VM's entry in the list."""
        return _encode(self.own)

    def introduce(self, name: str, entry: bytes) -> None:
        """Take a VM that the list does not have yet."""
        self._take([keyedlog.LogEntry(name, entry)])

    @property
    def view(self) -> keyedlog.LogPage | None:
        """The list as this VM knows it, itself included."""
        page = self._follower.view
        if page is None:
            return None
        own = keyedlog.LogEntry(self.own.name, self.own_entry)
        others = [entry for entry in page.entries if entry.key != own.key]
        return page._replace(entries=[*others, own])

    @property
    def sharers(self) -> int:
        """Among how many VMs the log's rate is shared, this one included."""
        # Alone is what a VM seems that could never read the list.
        known = math.isfinite(self._follower.age)
        return max(1 if known else UNKNOWN_VMS, len(self.by_name))

    @property
    def others(self) -> list[Member]:
        """All other VMs, in random order."""
        found = [
            member
            for member in self.by_name.values()
            if member.name != self.own.name
        ]
        random.shuffle(found)
        return found

    def nearest_first(self) -> list[Member]:
        """Return the others, those of this data centre first."""
        here = self.own.data_center
        return sorted(
            self.others, key=lambda member: member.data_center != here
        )

    # -- own ------------------------------------------------------------------

    def _announce(self, value: bytes) -> None:
        entry = keyedlog.LogEntry(self.own.name, value)

        def failed(error: keyedlog.KeyedLogError) -> None:
            self._timers.call_later(RETRY_SECONDS, self._announce, value)

        self._log.append(PLACE, [entry], lambda offset: None, failed)

    def _renew(self) -> None:
        entry = keyedlog.LogEntry(self.own.name, _encode(self.own))
        self._log.append(
            PLACE, [entry], lambda offset: None, lambda error: None
        )
        if self._follower.lost_since is None:
            self._expire()

    def _expire(self) -> None:
        oldest = self._timers.now() - EXPIRY_SECONDS
        for name, seen_at in list(self._seen_at_by_name.items()):
            if seen_at < oldest and name in self.by_name:
                LOG.info("member expired", extra={"member": name})
                del self.by_name[name]

    def _log_regained(self, seconds: float) -> None:
        """Nobody could renew an entry while the log was away."""
        now = self._timers.now()
        for name in self._seen_at_by_name:
            self._seen_at_by_name[name] = now

    def _reset(self, entries: list[keyedlog.LogEntry]) -> None:
        self.by_name.clear()
        self._take(entries)

    def _take(self, entries: list[keyedlog.LogEntry]) -> None:
        for entry in entries:
            member = _decode(entry) if entry.value else None
            if member is not None:
                self.by_name[entry.key] = member
                self._seen_at_by_name[entry.key] = self._timers.now()
            elif not entry.value:
                self.by_name.pop(entry.key, None)


def _encode(member: Member) -> bytes:
    return cbor2.dumps(
        [
            member.incarnation,
            member.data_center,
            list(member.peers),
            list(member.callers),
        ]
    )


def _decode(entry: keyedlog.LogEntry) -> Member | None:
    try:
        incarnation, data_center, peers, callers = cbor2.loads(entry.value)
        return Member(
            entry.key,
            str(incarnation),
            str(data_center),
            (str(peers[0]), int(peers[1])),
            (str(callers[0]), int(callers[1])),
        )
    except (cbor2.CBORDecodeError, IndexError, TypeError, ValueError) as error:
        LOG.warning("member skipped", extra={"error": str(error)})
        return None
