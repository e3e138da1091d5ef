"""The host of the slot stream: tail, fold, appends, claims and the owner."""

from collections.abc import Callable
from collections.abc import Collection
import itertools
import logging
from typing import Any

from postspring import coordination
from postspring import errors
from postspring import metrics
from postspring import ownership
from postspring import scheduling
from postspring import sharedlog
from postspring import transport

__all__ = ["SlotHost", "slot_stream_name"]

LOG = logging.getLogger(__name__)
TICK_SECONDS = 0.1
PLAN_SECONDS = 0.2
IDLE_SECONDS = 5.0
MAX_CLAIMS_AT_ONCE = 64
MAX_COPIED_BYTES = 8 * 1024 * 1024


def slot_stream_name(data_center: str) -> str:
    """Return the name of a data centre's slot stream."""
    return f"slots.{data_center}"


class SlotHost:
    """Carries out what the owner decides, and feeds it what the log says.

    Parameters
    ==========

    vm, incarnation, data_center : str
        This VM, this start of it, and where it is.
    slots : int
        Slots of the data centre.
    client : LogClient
        The platform's log.
    timers : Timers
        For ticks.
    pool : UpstreamPool
        Upstreams.
    run : callable
        Called with a Grant that this VM has to run itself.
    cancel : callable
        Called with a :class:`~postspring.coordination.CancelAttempt`.
    copy_turn : callable
        Called with a turn that other VMs should keep a copy of.
    release_cache : callable
        Called with a :class:`~postspring.coordination.ReleaseCache`.
    alive : callable
        Returns the VMs of this data centre that may own slots.
    meters : Metrics
        Counters.
    limits : OwnerLimits
        The owner's bounds.
    batch_delay : float
        Seconds that an append waits for more records.
    carry_every : float
        Seconds after which a slot's state is written to the log again.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        data_center: str,
        slots: int,
        client: sharedlog.LogClient,
        timers: transport.Timers,
        pool: scheduling.UpstreamPool,
        run: Callable[[coordination.Grant], None],
        cancel: Callable[[coordination.CancelAttempt], None],
        copy_turn: Callable[[ownership.Turn], None],
        release_cache: Callable[[coordination.ReleaseCache], None],
        alive: Callable[[], Collection[str]],
        meters: metrics.Metrics,
        limits: coordination.OwnerLimits,
        batch_delay: float,
        carry_every: float,
    ):
        self.vm = vm
        self.incarnation = incarnation
        self.data_center = data_center
        self._timers = timers
        self._run = run
        self._cancel = cancel
        self._copy_turn = copy_turn
        self._release_cache = release_cache
        self._carry_every = carry_every
        self._alive = alive
        self._meters = meters
        self.fold = ownership.StreamFold(slots)
        self.owner = coordination.Owner(
            vm, incarnation, data_center, self.fold, pool, limits
        )
        stream = slot_stream_name(data_center)
        self._appender = sharedlog.StreamAppender(
            client,
            stream,
            timers,
            self._appended,
            self._append_health,
            batch_delay,
        )
        self.tail = sharedlog.StreamTail(
            client,
            stream,
            timers,
            self._apply_page,
            self._tail_health,
            lambda: self.fold.next_offset,
        )
        self._record_by_identity: dict[tuple, Any] = {}
        self._reply_by_request: dict[int, Callable[[Any], None]] = {}
        self._request_numbers = itertools.count(1)
        self._append_up = True
        self._tail_up = False
        self._retries_reported: dict[str, int] = {}
        self._idler: transport.TimerHandle | None = None
        self._carrier: transport.TimerHandle | None = None
        self._planner: transport.TimerHandle | None = None
        self._ticker: transport.TimerHandle | None = None
        self._planned: tuple = ()
        self._copied: set[tuple] = set()
        self._copied_bytes = 0

    def start(self) -> None:
        """Begin to follow the stream."""
        self._carrier = self._timers.call_every(self._carry_every, self._carry)
        self.owner.log_up = False
        self.tail.start()
        self._idler = self._timers.call_every(IDLE_SECONDS, self._end_idle)
        self._planner = self._timers.call_every(PLAN_SECONDS, self._plan)

    def close(self) -> None:
        """Stop following it."""
        if self._idler is not None:
            self._idler.cancel()
        if self._carrier is not None:
            self._carrier.cancel()
        if self._planner is not None:
            self._planner.cancel()
        self.tail.close()

    @property
    def log_up(self) -> bool:
        """Whether the log answered this VM lately."""
        return self._append_up and self._tail_up

    @property
    def owned_slots(self) -> list[int]:
        """Numbers of the slots that this VM owns."""
        return [
            slot.number
            for slot in self.fold.slot_by_number.values()
            if slot.owned_by(self.incarnation)
        ]

    @property
    def unlogged_records(self) -> int:
        """Number of records that are not known to be in the log."""
        return self._appender.waiting

    def ask(self, message: Any, vm: str, reply: Callable[[Any], None]) -> None:
        """Put a request to the owner part; ``reply`` gets the answer."""
        number = next(self._request_numbers)
        self._reply_by_request[number] = reply
        to = coordination.ReplyTo(vm, number)
        try:
            self.owner.receive(message, to, self._timers.now())
        except errors.IdentifierError as error:
            self._reply_by_request.pop(number)
            reply(
                coordination.Refused(
                    reason=coordination.RefusalReason.UNKNOWN_PROGRAM,
                    detail=str(error),
                )
            )
        self._carry_out()

    def keep_copy(self, turn: ownership.Turn) -> bool:
        """Keep another VM's turn, to append it when the log is up.

        Returns False if as many bytes are kept already as may be.
        """
        if turn.identity in self._record_by_identity:
            return True
        if self._copied_bytes + len(turn.answer) > MAX_COPIED_BYTES:
            return False
        self._copied_bytes += len(turn.request) + len(turn.answer)
        self._copied.add(turn.identity)
        self._append(turn)
        return True

    def peer_lost(self, vm: str) -> None:
        """Tell the owner that a VM is gone."""
        self.owner.on_peer_lost(vm, self._timers.now())
        self._carry_out()

    def hand_over_all(self) -> bool:
        """Release every idle slot; return whether none is owned any more."""
        others = [vm for vm in self._alive() if vm != self.vm]
        for slot in self.owned_slots:
            successor = ownership.preferred_owner(slot, others)
            self.owner.release_slot(slot, successor)
        self._carry_out()
        return not self.owned_slots

    # -- effects ------------------------------------------------------------

    def _carry_out(self) -> None:
        """Do what the owner asks for, until it asks for no more."""
        while taken := self.owner.take_effects():
            for effect in taken:
                self._carry_out_one(effect)
        self._report_retries()
        if self.owner.needs_ticks and self._ticker is None:
            self._ticker = self._timers.call_later(TICK_SECONDS, self._tick)

    def _carry_out_one(self, effect: coordination.Effect) -> None:
        if isinstance(effect, coordination.Append):
            self._append(effect.record)
        elif isinstance(effect, coordination.Reply):
            reply = self._reply_by_request.pop(effect.to.request, None)
            if reply is not None:
                reply(effect.message)
        elif isinstance(effect, coordination.RunAttempt):
            self._run(effect.grant)
        elif isinstance(effect, coordination.ReplicateTurn):
            self._copy_turn(effect.turn)
        elif isinstance(effect, coordination.ReleaseCache):
            self._release_cache(effect)
        else:
            self._cancel(effect)

    def _report_retries(self) -> None:
        for reason, count in self.owner.retries_by_reason.items():
            reported = self._retries_reported.get(reason, 0)
            if count > reported:
                self._meters.retries.add(count - reported, {"reason": reason})
                self._retries_reported[reason] = count

    # -- log ------------------------------------------------------------------

    def _append(self, record: Any) -> None:
        self._record_by_identity[record.identity] = record
        self._appender.add(
            record.identity, ownership.slot_records.encode(record)
        )

    def _appended(self, offset: int, identities: list[tuple]) -> None:
        self._meters.appends.add(1)
        for position, identity in enumerate(identities):
            record = self._record_by_identity.pop(identity, None)
            if record is None or self.fold.next_offset != offset + position:
                # Others wrote in between: the tail brings it in order.
                continue
            self._apply(offset + position, record)
        self._carry_out()

    def _apply_page(self, page: sharedlog.LogPage) -> None:
        if page.first > self.fold.next_offset:
            LOG.error(
                "records expired before they were read",
                extra={"first": page.first, "next": self.fold.next_offset},
            )
            self.fold.skip_to(page.first)
        for offset, data in page.records:
            if offset < self.fold.next_offset:
                continue
            try:
                record = ownership.slot_records.decode(data)
            except errors.CodecError as error:
                LOG.error("bad record at %d: %s", offset, error)
                record = None
            self._apply(offset, record)
        self._carry_out()

    def _apply(self, offset: int, record: Any) -> None:
        verdict = self.fold.apply(offset, record)
        self._meters.records.add(1, {"verdict": verdict.value})
        if record is None:
            return
        self._appender.seen(record.identity)
        if record.identity in self._copied:
            self._copied.discard(record.identity)
            self._copied_bytes -= len(record.request) + len(record.answer)
        self._record_by_identity.pop(record.identity, None)
        if isinstance(record, ownership.Claim) and verdict.counted:
            LOG.info(
                "slot claimed",
                extra={
                    "slot": record.slot,
                    "epoch": record.epoch,
                    "owner": record.owner,
                },
            )
        self.owner.on_record(record, verdict, self._timers.now())

    def _append_health(self, up: bool) -> None:
        self._append_up = up
        self._set_health()

    def _tail_health(self, up: bool) -> None:
        self._tail_up = up
        if up:
            self._appender.retry_now()
        if up and not self._appender.waiting:
            # What failed to be appended has come in by another VM.
            self._append_up = True
        self._set_health()

    def _set_health(self) -> None:
        if self.owner.log_up != self.log_up:
            LOG.warning("log is %s", "up" if self.log_up else "down")
        self.owner.log_up = self.log_up

    # -- ticks ----------------------------------------------------------------

    def _tick(self) -> None:
        self._ticker = None
        self.owner.tick(self._timers.now())
        self._carry_out()

    def _end_idle(self) -> None:
        self.owner.end_idle_programs(self._timers.now())
        self._carry_out()

    def _plan(self) -> None:
        """Claim slots that should be ours, hand over those that shouldn't."""
        if not self.tail.has_caught_up or not self.log_up:
            return
        alive = self._alive()
        seen = (self.fold.next_offset, tuple(alive))
        if seen == self._planned:
            return
        plan = ownership.plan_slots(
            self.fold, self.vm, self.incarnation, alive
        )
        if not plan.claim and not plan.hand_over:
            self._planned = seen
        for slot in plan.claim[:MAX_CLAIMS_AT_ONCE]:
            self._claim(slot)
        for slot, successor in plan.hand_over.items():
            self.owner.release_slot(slot, successor)
        self._carry_out()

    def _carry(self) -> None:
        """Write the owned slots' state again before its records expire."""
        if not self.log_up or not self.tail.has_caught_up:
            return
        for number in self.owned_slots:
            slot = self.fold.slot_by_number[number]
            for record in ownership.slot_base_records(
                slot, self.incarnation, self.fold.next_offset
            ):
                self._append(record)

    def _claim(self, slot: int) -> None:
        claim = ownership.Claim(
            slot=slot,
            epoch=self.fold.slot_by_number[slot].epoch + 1,
            owner=self.vm,
            incarnation=self.incarnation,
        )
        if claim.identity not in self._record_by_identity:
            self._meters.claims.add(1)
            self._append(claim)
