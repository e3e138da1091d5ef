"""The list of entry VMs, each entry written to the log by its VM."""

from collections.abc import Callable
import logging
import math
import random

import cbor2

from postspring import keyedlog
from postspring.peering import member_entries
from postspring.transport import timers as timers_module

__all__ = ["Member", "Members"]

Member = member_entries.Member

LOG = logging.getLogger(__name__)

PLACE = keyedlog.LogPlace(keyedlog.Subject.MEMBERS, 0)
# Interval at which a VM renews its entry and reads the list.
HEARTBEAT_SECONDS = 5.0
# An entry that was not renewed for this long, while the log responds, belongs
# to a VM that is gone or cut off.
EXPIRY_SECONDS = 13.0
# An entry expires only if the list was read this long after the entry's last
# renewal.  A VM that was paused has not read the list meanwhile, and must not
# take the others for gone.
MISSED_RENEWAL_SECONDS = 1.5 * HEARTBEAT_SECONDS
RETRY_SECONDS = 0.5
# A VM that expired without having left may be cut off, and hold turns that its
# callers received in full.  For this long it counts as not heard: data centres
# lose each other for minutes, and turns are kept for one.  In a simulated cut
# of 24 s two turns were lost when expired VMs counted as gone.
ABSENCE_SECONDS = 900.0
# Number of VMs assumed until the list has been read: the largest fleet
# measured has 64 entry VMs.
ASSUMED_VMS = 64


class Members:
    """Announces this VM in the list, and follows the list.

    Explanation
    ===========

    The list only suggests the VMs to send requests to: no guarantee depends on
    its being correct.

    Parameters
    ==========

    own : Member
        This VM.
    seeds : tuple
        Addresses of VMs to use while the list can't be read.
    request_view : callable
        Requests other VMs' views of the list.

    Attributes
    ==========

    is_announced, is_leaving, has_left : bool
        The log has this VM's entry; its removal has begun; the log has the
        removal.
    revision : int
        Increases when a VM is added, changed or removed.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: timers_module.Timers,
        own: Member,
        seeds: tuple[tuple[str, int], ...] = (),
        request_view: Callable = lambda place, on_page: None,
    ):
        self.seeds = [seed for seed in seeds if seed != own.peers]
        self._log = log
        self._timers = timers
        self.own = own
        self.by_name: dict[str, Member] = {}
        self._renewal_by_name: dict[str, float] = {}
        self._expired_by_name: dict[str, Member] = {}
        self._removed_by_name: dict[str, str] = {}
        self.revision = 0
        self._is_read = False
        self._has_predecessor = False
        self._announced_at = math.inf
        self.is_announced = self.is_leaving = self.has_left = False
        self._heartbeat: timers_module.TimerHandle | None = None
        self._follower = keyedlog.Follower(
            log,
            timers,
            PLACE,
            self._reset,
            self._apply,
            read_interval=lambda: HEARTBEAT_SECONDS,
            on_recovered=self._log_regained,
            request_view=request_view,
        )

    def start(self) -> None:
        """Follow the list, and announce this VM after the first read.

        An announcement replaces the entry of a predecessor of the same name,
        so the list has to be read before.
        """
        self._follower.start()
        self._heartbeat = self._timers.call_every(
            HEARTBEAT_SECONDS, self._renew
        )

    def read_first(self) -> None:
        """Read the list at once if it was not read yet."""
        self._follower.read_first()

    def leave(self) -> None:
        """Remove this VM, which holds no unrecorded turn, from the list."""
        if self.is_leaving:
            return
        self.is_leaving = True
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self._announce(cbor2.dumps([self.own.incarnation]), self._on_left)

    @property
    def absent(self) -> list[Member]:
        """VMs whose entries have expired and which may be running still."""
        oldest = self._timers.now() - ABSENCE_SECONDS
        return [
            member
            for name, member in self._expired_by_name.items()
            if self._renewal_by_name[name] > oldest
        ]

    def refresh(
        self, on_done: Callable[[], None], on_error: Callable[[], None]
    ) -> None:
        """Read all entries up to the current end of the log."""
        page = self._follower.view
        if page is None:
            on_error()
        else:
            self._read_from(page.next, on_done, on_error)

    @property
    def is_first_of_name(self) -> bool:
        """Whether the list has shown no other process with this VM's name.

        The settings state that too, but VMs that are started by hand get the
        same settings again: then a VM that had lost its turns in memory
        counted as one that had never had any.
        """
        return self._is_read and not self._has_predecessor

    @property
    def listed_seconds(self) -> float:
        """Seconds since the log accepted this VM's entry; negative before."""
        return self._timers.now() - self._announced_at

    @property
    def own_entry(self) -> bytes:
        """This VM's entry, encoded."""
        return member_entries.encode(self.own)

    def add_member(self, name: str, entry: bytes) -> None:
        """Add a VM whose entry this VM may not have read from the log yet."""
        self._apply([keyedlog.LogEntry(name, entry)])

    @property
    def view(self) -> keyedlog.LogPage | None:
        """The list as this VM has read it, with this VM's own entry."""
        page = self._follower.view
        if page is None:
            return None
        own = keyedlog.LogEntry(self.own.name, self.own_entry)
        others = [entry for entry in page.entries if entry.key != own.key]
        return page._replace(entries=[*others, own])

    @property
    def vm_count(self) -> int:
        """Number of VMs that share the log's rate, this one included."""
        # Until the first read the list is empty, like that of a single VM.
        known = math.isfinite(self._follower.age)
        return max(1 if known else ASSUMED_VMS, len(self.by_name))

    @property
    def local_vm_count(self) -> int:
        """Number of VMs in this data centre, this one included."""
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
        """All other VMs in random order: the first ones get most requests."""
        found = self.listed
        random.shuffle(found)
        return found

    def nearest_first(self) -> list[Member]:
        """Return the other VMs, those of this data centre first."""
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

    def _on_announced(self, offset: int) -> None:
        if not self.is_announced:
            self._announced_at = self._timers.now()
        self.is_announced = True

    def _on_left(self, offset: int) -> None:
        self.has_left = True

    def _read_from(self, start: int, on_done, on_error) -> None:
        def on_page(page: keyedlog.LogPage) -> None:
            self._apply(page.entries)
            if page.next < page.end:
                self._read_from(page.next, on_done, on_error)
            else:
                on_done()

        self._log.read(PLACE, start, on_page, lambda error: on_error())

    def _renew(self) -> None:
        entry = keyedlog.LogEntry(self.own.name, self.own_entry)
        self._log.append(
            PLACE, [entry], lambda offset: None, lambda error: None
        )
        if self._follower.failing_since is None:
            self._expire()

    def _expire(self) -> None:
        oldest = min(
            self._timers.now() - EXPIRY_SECONDS,
            self._follower.fresh_at - MISSED_RENEWAL_SECONDS,
        )
        for name, renewed_at in list(self._renewal_by_name.items()):
            if renewed_at < oldest and name in self.by_name:
                LOG.info("member expired", extra={"member": name})
                self._expired_by_name[name] = self.by_name.pop(name)
                self.revision += 1
        self._drop_expired()

    def _drop_expired(self) -> None:
        """Remove entries of VMs that have been absent for very long.

        One VM removes them from the log as well: a VM that starts reads the
        entries of all VMs there ever were, and can't tell how old they are.
        """
        absent = {member.name for member in self.absent}
        gone = [name for name in self._expired_by_name if name not in absent]
        is_dropping = self.own.name == min([self.own.name, *self.by_name])
        for name in gone:
            del self._expired_by_name[name]
            del self._renewal_by_name[name]
            if is_dropping:
                LOG.info("member dropped", extra={"member": name})
                entry = keyedlog.LogEntry(name, b"")
                self._log.append(
                    PLACE, [entry], lambda offset: None, lambda error: None
                )

    def _log_regained(self, outage: keyedlog.Outage) -> None:
        """Postpone the expiry of all entries: none could be renewed.

        A single failed call is no outage: a busy log refuses some.
        """
        if not outage.shortest:
            return
        for name in self.by_name:
            renewed_at = self._renewal_by_name[name] + outage.longest
            self._renewal_by_name[name] = min(self._timers.now(), renewed_at)

    def _reset(self, entries: list[keyedlog.LogEntry]) -> None:
        self.by_name.clear()
        self.revision += 1
        try:
            self._apply(entries)
        finally:
            if not self._is_read:
                self._is_read = True
                self._announce(self.own_entry, self._on_announced)

    def _apply(self, entries: list[keyedlog.LogEntry]) -> None:
        for entry in entries:
            decoded = member_entries.decode(entry) if entry.value else ""
            if entry.key == self.own.name and not self._is_own(decoded):
                self._has_predecessor = True
            if isinstance(decoded, Member):
                self._add(entry.key, decoded)
            elif decoded is not None:
                self._remove(entry.key, decoded)

    def _is_own(self, decoded: Member | str | None) -> bool:
        """Return whether an entry under this VM's name is of this process."""
        if isinstance(decoded, Member):
            decoded = decoded.incarnation
        return decoded == self.own.incarnation

    def _add(self, name: str, member: Member) -> None:
        """Add or renew a VM; a renewal may come after its removal."""
        if self._removed_by_name.get(name) == member.incarnation:
            return
        self._expired_by_name.pop(name, None)
        self.revision += self.by_name.get(name) != member
        self.by_name[name] = member
        self._renewal_by_name[name] = self._timers.now()

    def _remove(self, name: str, incarnation: str) -> None:
        """Remove a VM that has left, or any of the name if it was dropped.

        ``incarnation`` is empty for a dropped VM.  In the log, the removal may
        come after the entry of the VM's successor and replace it as the newest
        of the name; the successor then announces itself again.
        """
        self._removed_by_name[name] = incarnation
        if name == self.own.name and self.is_announced:
            if not self.is_leaving:
                self._announce(self.own_entry, self._on_announced)
        for members in (self.by_name, self._expired_by_name):
            member = members.get(name)
            if member and incarnation in ("", member.incarnation):
                del members[name]
                self.revision += 1
