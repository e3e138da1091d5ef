"""Finding the owner of a program, and asking it until it answers."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from postspring import coordination
from postspring.entry import slot_hosts
from postspring import errors
from postspring import peers
from postspring import sharedlog
from postspring import transport

__all__ = ["OwnerRouter"]

RETRY_SECONDS = 0.05
LONGEST_RETRY_SECONDS = 0.5
FIND_SECONDS = 8.0
MAX_RETRY_AFTER_MS = 1000


class OwnerRouter:
    """Sends requests to the VM that owns a slot, wherever it is.

    Explanation
    ===========

    Requests to an owner can be repeated: a step is identified by its
    number and a creation by its key.  So a request whose reply is lost is
    sent again, to the same owner or to the next one, until its timeout.

    Parameters
    ==========

    vm, data_center : str
        This VM.
    hosts : SlotHosts
        The slot streams that are followed here.
    hub : PeerHub
        Links to other VMs.
    vm_list : VmList
        The platform's list.
    timers : Timers
        For retries.
    """

    def __init__(
        self,
        vm: str,
        data_center: str,
        hosts: slot_hosts.SlotHosts,
        hub: peers.PeerHub,
        vm_list: sharedlog.VmList,
        timers: transport.Timers,
    ):
        self._vm = vm
        self._data_center = data_center
        self._hosts = hosts
        self._hub = hub
        self._vm_list = vm_list
        self._timers = timers
        self._owner_by_slot: dict[tuple[str, int], str] = {}

    def ask(
        self,
        message: Any,
        data_center: str,
        slot: int,
        timeout: float,
        on_reply: Callable[[Any], None],
    ) -> None:
        """Ask the owner of a slot; ``on_reply`` is called exactly once.

        If no owner answers within ``timeout`` seconds, or none can be
        reached for FIND_SECONDS, the reply is a refusal that says whether
        the request may have run.
        """
        deadline = self._timers.now() + timeout
        _Question(self, message, (data_center, slot), deadline, on_reply).ask()

    def owner_of(self, place: tuple[str, int]) -> str | None:
        """Return the VM to ask about a slot, or None if none is known."""
        data_center, slot = place
        host = self._hosts.by_data_center.get(data_center)
        if host is not None:
            state = host.fold.slot_by_number.get(slot)
            if state is None:
                # No such slot: this VM's own owner part says so.
                return self._vm
            if state.released:
                return None
            return state.owner
        hint = self._owner_by_slot.get(place)
        if hint is not None and self._hub.responsive(hint):
            return hint
        others = [
            entry.vm
            for entry in self._vm_list.in_data_center(data_center)
            if self._hub.responsive(entry.vm)
        ]
        return random.choice(others) if others else None

    def note_owner(self, place: tuple[str, int], owner: str | None) -> None:
        """Remember who another data centre says owns a slot."""
        if owner is None:
            self._owner_by_slot.pop(place, None)
        else:
            self._owner_by_slot[place] = owner


class _Question:
    """One request on its way to an owner."""

    def __init__(self, router, message, place, deadline, on_reply):
        self._router = router
        self._message = message
        self._place = place
        self._deadline = deadline
        self._on_reply = on_reply
        self._maybe_ran = False
        self._pause = RETRY_SECONDS
        self._detail = "no owner is known"
        self._unreached_since: float | None = None

    def ask(self) -> None:
        """Ask whoever seems to own the slot."""
        router = self._router
        left = self._deadline - router._timers.now()
        if left <= 0 or self._unreached_too_long():
            self._give_up()
            return
        owner = router.owner_of(self._place)
        if owner is None:
            self._unreached()
            self._again()
        elif owner == router._vm:
            data_center, _slot = self._place
            router._hosts.ask(
                self._message, data_center, router._vm, self._replied
            )
        else:
            router._hub.ask(
                owner, self._message, left, self._replied, self._failed
            )

    def _unreached_too_long(self) -> bool:
        since = self._unreached_since
        now = self._router._timers.now()
        return since is not None and now - since >= FIND_SECONDS

    def _replied(self, reply: Any) -> None:
        self._unreached_since = None
        if isinstance(reply, coordination.Refused):
            self._on_reply(self._with_doubt(reply))
            return
        if not isinstance(reply, coordination.NotOwner):
            self._on_reply(reply)
            return
        self._detail = "the slot is changing hands"
        known = self._router.owner_of(self._place)
        self._router.note_owner(self._place, reply.owner)
        moved = self._router.owner_of(self._place)
        if moved is not None and moved != known:
            self.ask()
        else:
            self._again()

    def _with_doubt(
        self, refused: coordination.Refused
    ) -> coordination.Refused:
        """Say "unknown" if an owner that was lost may have run it."""
        if not self._maybe_ran:
            return refused
        return dataclasses.replace(refused, ran=coordination.Ran.UNKNOWN)

    def _failed(self, error: errors.TransportError) -> None:
        self._maybe_ran = self._maybe_ran or error.sent
        self._detail = str(error)
        self._unreached()
        self._router.note_owner(self._place, None)
        self._again()

    def _unreached(self) -> None:
        if self._unreached_since is None:
            self._unreached_since = self._router._timers.now()

    def _again(self) -> None:
        left = self._deadline - self._router._timers.now()
        pause = max(0.0, min(self._pause, left))
        self._pause = min(self._pause * 2, LONGEST_RETRY_SECONDS)
        self._router._timers.call_later(pause, self.ask)

    def _give_up(self) -> None:
        ran = coordination.Ran.NOT_RUN
        # Only an owner knows whether a call was asked for before, elsewhere.
        is_call = isinstance(self._message, coordination.CallProgram)
        if self._maybe_ran or is_call:
            ran = coordination.Ran.UNKNOWN
        self._on_reply(
            coordination.Refused(
                reason=coordination.RefusalReason.OWNER_UNREACHABLE,
                ran=ran,
                retry_after_ms=MAX_RETRY_AFTER_MS,
                detail=self._detail,
            )
        )
