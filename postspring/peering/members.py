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
# A list that was read so much later than an entry's last renewal shows that
# one was missed; a VM that stood still has not read the list.  In seconds.
MISSED_SECONDS = 1.5 * HEARTBEAT_SECONDS
RETRY_SECONDS = 0.5
# A VM that expired without having left may be cut off, and keep turns that
# its callers had whole.  For so long it counts as not heard, in seconds: data
# centres lose each other for minutes, and turns are kept for one.  A played
# cut of 24 s lost two turns while expired VMs counted as gone.
ABSENCE_SECONDS = 900.0
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

    Attributes
    ==========

    is_announced, is_leaving, has_left : bool
        This VM stands in the list; takes itself off it; is off it.
    revision : int
        Grows when a VM comes or goes.
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
        self._expired_by_name: dict[str, Member] = {}
        self._struck_by_name: dict[str, str] = {}
        self.revision = 0
        self._is_read = False
        self._has_predecessor = False
        self._announced_at = math.inf
        self.is_announced = False
        self.is_leaving = False
        self.has_left = False
        self._heartbeat: timers_module.TimerHandle | None = None
        self._follower = keyedlog.Follower(
            log,
            timers,
            PLACE,
            self._reset,
            self._take,
            pace=lambda: HEARTBEAT_SECONDS,
            on_regained=self._log_regained,
            ask_others=ask_others,
        )

    def start(self) -> None:
        """Follow the list; announce this VM when it was first read.

        Who had its name before is told by nothing else.
        """
        self._follower.start()
        self._heartbeat = self._timers.call_every(
            HEARTBEAT_SECONDS, self._renew
        )

    def leave(self) -> None:
        """Take this VM off the list, once; nothing may be kept here then."""
        if self.is_leaving:
            return
        self.is_leaving = True
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self._announce(cbor2.dumps([self.own.incarnation]), self._left)

    @property
    def absent(self) -> list[Member]:
        """VMs that dropped off the list and may be alive all the same."""
        oldest = self._timers.now() - ABSENCE_SECONDS
        return [
            member
            for name, member in self._expired_by_name.items()
            if self._seen_at_by_name[name] > oldest
        ]

    def refresh(
        self, on_done: Callable[[], None], on_error: Callable[[], None]
    ) -> None:
        """Read what was announced until now."""
        page = self._follower.view
        if page is None:
            on_error()
        else:
            self._read_from(page.next, on_done, on_error)

    @property
    def is_first(self) -> bool:
        """Whether nobody had this VM's name before.

        Settings say so too, but whoever starts VMs by hand gives them the
        same ones again: a VM that had forgotten its turns was believed.
        """
        return self._is_read and not self._has_predecessor

    @property
    def listed_seconds(self) -> float:
        """Seconds since this VM has been on the list; below 0 if it isn't."""
        return self._timers.now() - self._announced_at

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
    def sharers_here(self) -> int:
        """How many VMs of this data centre there are, this one included."""
        here = self.own.data_center
        return 1 + sum(member.data_center == here for member in self.listed)

    @property
    def listed(self) -> list[Member]:
        """All other VMs."""
        return [
            member
            for member in self.by_name.values()
            if member.name != self.own.name
        ]

    @property
    def others(self) -> list[Member]:
        """All other VMs, in random order: whoever comes first has the work."""
        found = self.listed
        random.shuffle(found)
        return found

    def nearest_first(self) -> list[Member]:
        """Return the others, those of this data centre first."""
        here = self.own.data_center
        return sorted(
            self.others, key=lambda member: member.data_center != here
        )

    # -- own ------------------------------------------------------------------

    def _announce(self, value: bytes, on_done: Callable[[int], None]) -> None:
        entry = keyedlog.LogEntry(self.own.name, value)

        def failed(error: keyedlog.KeyedLogError) -> None:
            self._timers.call_later(
                RETRY_SECONDS, self._announce, value, on_done
            )

        self._log.append(PLACE, [entry], on_done, failed)

    def _announced(self, offset: int) -> None:
        if not self.is_announced:
            self._announced_at = self._timers.now()
        self.is_announced = True

    def _left(self, offset: int) -> None:
        self.has_left = True

    def _read_from(self, start: int, on_done, on_error) -> None:
        def on_page(page: keyedlog.LogPage) -> None:
            self._take(page.entries)
            if page.next < page.end:
                self._read_from(page.next, on_done, on_error)
            else:
                on_done()

        self._log.read(PLACE, start, on_page, lambda error: on_error())

    def _renew(self) -> None:
        entry = keyedlog.LogEntry(self.own.name, _encode(self.own))
        self._log.append(
            PLACE, [entry], lambda offset: None, lambda error: None
        )
        if self._follower.lost_since is None:
            self._expire()

    def _expire(self) -> None:
        oldest = min(
            self._timers.now() - EXPIRY_SECONDS,
            self._follower.fresh_at - MISSED_SECONDS,
        )
        for name, seen_at in list(self._seen_at_by_name.items()):
            if seen_at < oldest and name in self.by_name:
                LOG.info("member expired", extra={"member": name})
                self._expired_by_name[name] = self.by_name.pop(name)
                self.revision += 1
        self._drop_gone()

    def _drop_gone(self) -> None:
        """Drop the entries of VMs that have been away for very long.

        One VM does so in the log as well: whoever starts reads the entries
        of all that ever were, and can't tell how old they are.
        """
        absent = {member.name for member in self.absent}
        gone = [name for name in self._expired_by_name if name not in absent]
        drops = self.own.name == min([self.own.name, *self.by_name])
        for name in gone:
            del self._expired_by_name[name]
            del self._seen_at_by_name[name]
            if drops:
                LOG.info("member dropped", extra={"member": name})
                entry = keyedlog.LogEntry(name, b"")
                self._log.append(
                    PLACE, [entry], lambda offset: None, lambda error: None
                )

    def _log_regained(self, outage: keyedlog.Outage) -> None:
        """Nobody could renew an entry while the log was away.

        One call that failed is no outage: a busy log refuses some.
        """
        if not outage.shortest:
            return
        for name in self.by_name:
            seen_at = self._seen_at_by_name[name] + outage.longest
            self._seen_at_by_name[name] = min(self._timers.now(), seen_at)

    def _reset(self, entries: list[keyedlog.LogEntry]) -> None:
        self.by_name.clear()
        self.revision += 1
        self._take(entries)
        if not self._is_read:
            self._is_read = True
            self._announce(_encode(self.own), self._announced)

    def _take(self, entries: list[keyedlog.LogEntry]) -> None:
        for entry in entries:
            decoded = _decode(entry) if entry.value else ""
            if entry.key == self.own.name and not self._is_own(decoded):
                self._has_predecessor = True
            if isinstance(decoded, Member):
                self._list(entry.key, decoded)
            elif decoded is not None:
                self._strike(entry.key, decoded)

    def _is_own(self, decoded: Member | str | None) -> bool:
        """Return whether what stands under this VM's name is its own."""
        if isinstance(decoded, Member):
            decoded = decoded.incarnation
        return decoded == self.own.incarnation

    def _list(self, name: str, member: Member) -> None:
        """Take a VM; a renewal may come behind the entry of its leaving."""
        if self._struck_by_name.get(name) == member.incarnation:
            return
        self._expired_by_name.pop(name, None)
        self.revision += self.by_name.get(name) != member
        self.by_name[name] = member
        self._seen_at_by_name[name] = self._timers.now()

    def _strike(self, name: str, incarnation: str) -> None:
        """Take a VM off the list that has left, or was dropped (empty).

        Its entry may come late, behind that of its successor: then it is
        the newest of this name, and the successor writes its own again.
        """
        self._struck_by_name[name] = incarnation
        if name == self.own.name and self.is_announced:
            if not self.is_leaving:
                self._announce(self.own_entry, self._announced)
        for members in (self.by_name, self._expired_by_name):
            member = members.get(name)
            if member and incarnation in ("", member.incarnation):
                del members[name]
                self.revision += 1


def _encode(member: Member) -> bytes:
    return cbor2.dumps(
        [
            member.incarnation,
            member.data_center,
            list(member.peers),
            list(member.callers),
        ]
    )


def _decode(entry: keyedlog.LogEntry) -> Member | str | None:
    """Return a VM, or the incarnation that has left; None if malformed."""
    try:
        incarnation, *rest = cbor2.loads(entry.value)
        if not rest:
            return str(incarnation)
        data_center, peers, callers = rest
        return Member(
            entry.key,
            str(incarnation),
            str(data_center),
            (str(peers[0]), int(peers[1])),
            (str(callers[0]), int(callers[1])),
        )
    except (
        cbor2.CBORDecodeError,
        LookupError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        LOG.warning("member skipped", extra={"error": str(error)})
        return None
