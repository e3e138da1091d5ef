"""The journal: every turn that is opened, completed or ended.

Any VM may work on any program. The records in the log decide which turns there
are, and the records before an opening decide whether its turn may run, so no
VM owns a program and none has to be found or replaced. While the log is
unavailable, turns run on tokens that were reserved in it before, and other VMs
hold replicas of completed turns until they are recorded.
"""

from collections.abc import Callable
import functools
import logging

from postspring.histories import accounts
from postspring.histories import claims
from postspring.histories import contributions
from postspring.histories import durability
from postspring.histories import errors
from postspring.histories import fold as fold_module
from postspring.histories import handover
from postspring.histories import held_turns
from postspring.histories import partitions
from postspring.histories import ports
from postspring.histories import reading
from postspring.histories import recording
from postspring.histories import records
from postspring.histories import replicas
from postspring.histories import size_limits as sizes_module
from postspring.histories import turn_opener
from postspring.histories import turn_recorder
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Journal"]

LOG = logging.getLogger(__name__)


class Journal(reading.JournalReader):
    """Reads and extends histories through a shared log.

    Parameters
    ==========

    log : KeyedLog
        The shared log.
    timers : Timers
        For retries and timeouts.
    author : str
        This VM's incarnation, a new one after each start.
    replica_holders : ReplicaHolders
        Other VMs, which hold replicas of records that the log lacks.
    catch_up_rate : callable
        Returns with how many appends a second this VM may catch up when the
        log is available again.
    sizes : Sizes
        Size limits of the log.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: timers_module.Timers,
        author: str,
        replica_holders: ports.ReplicaHolders | None = None,
        catch_up_rate: Callable[[], float] = lambda: (
            partitions.DEFAULT_CATCH_UP_RATE
        ),
        sizes: sizes_module.SizeLimits = sizes_module.SizeLimits(),
    ):
        self.sizes = sizes
        self._timers = timers
        self._partitions = partitions.Partitions(
            log, timers, catch_up_rate, sizes
        )
        self._commit = functools.partial(
            recording.append_record, self._partitions
        )
        self.accounts = accounts.LocalAccounts(author)
        self.may_have_uncharged_turns = lambda program: False
        self._claim_writer = claims.ClaimWriter(
            self.accounts,
            lambda program: self.may_have_uncharged_turns(program),
        )
        self._opener = turn_opener.TurnOpener(
            self._claim_writer, self._commit, self._append_withdrawal
        )
        self.replica_holders = replica_holders or ports.NoReplicaHolders()
        self._charge_replicas = replicas.ChargeReplicas(
            timers,
            self.refresh_program,
            lambda record: self._partitions.program(record.program).has_charge(
                record
            ),
            self._append_charge_replica,
        )
        self._held_by_ref = held_turns.HeldTurns()
        self._recorder = turn_recorder.TurnRecorder(
            self._partitions,
            self._held_by_ref,
            self.known_turn,
            self._make_loss_reporter,
        )
        self._settling: dict[records.TurnRef, records.EndedTurn] = {}
        self._handover = handover.Handover(
            lambda: self._unrecorded_records,
            lambda data, on_done: self.replica_holders.hand_over(
                data, on_done
            ),
        )

    @property
    def held(self) -> int:
        """Number of completed turns whose records this VM lacks."""
        return len(self._held_by_ref)

    @property
    def unrecorded(self) -> int:
        """Number of turns and charges that could be lost with this VM."""
        turns = len(list(self._held_by_ref.unrecorded))
        return turns + len(self._settling) + len(self._charge_replicas)

    @property
    def _unrecorded_records(
        self,
    ) -> list[records.CompletedTurn | records.EndedTurn]:
        return [
            *self._held_by_ref.unrecorded,
            *self._settling.values(),
            *self._charge_replicas.stored,
        ]

    def start_handover(self, is_stopping: Callable[[], bool]) -> None:
        """Send unrecorded records to VMs that keep running, on stopping."""
        self._timers.call_every(
            handover.CHECK_SECONDS,
            lambda: is_stopping() and self._handover.send_next_batch(),
        )

    def on_log_recovered(self) -> None:
        """Start the retries of all that waits for the log."""
        self._partitions.on_log_recovered()

    # -- writing --------------------------------------------------------------

    def open_turn(
        self,
        program: records.ProgramId,
        turn: records.TurnId,
        ceiling: int,
        budget: int | None,
        timeout: float,
        on_done: turn_opener.OnOpened,
        on_error: turn_opener.OnError,
    ) -> None:
        """Get the right to run a turn, from a local account or the log."""
        known = self._partitions.program(program)
        is_unresponsive = self._partitions.is_unresponsive(
            partitions.place_of_program(program)
        )
        if not is_unresponsive:
            self.accounts.close_offline_account(program)
        log_ticket = accounts.Ticket(
            program, turn, ceiling, budget, accounts.Origin.LOG
        )
        ref = records.TurnRef(program, turn)
        conflict = self._opener.conflicting_state(known, ref)
        if conflict is not None:
            on_done(conflict, log_ticket)
            return
        ticket = self.accounts.admit(
            known, turn, ceiling, budget, is_unresponsive
        )
        if ticket is not None:
            self._opener.note_running(ref)
            if ticket.origin is accounts.Origin.OFFLINE:
                self._replicate(self._claim_writer.offline_opening(ticket))
            on_done(contributions.TurnState.OPEN, ticket)
        elif known.is_budget_exhausted(ceiling, budget):
            # The tokens of settled turns never decrease: no record can make
            # this turn fit.
            on_done(contributions.TurnState.REFUSED, log_ticket)
        else:
            if is_unresponsive:
                timeout = min(timeout, reading.FAILING_TIMEOUT_SECONDS)
            self._opener.open(known, log_ticket, timeout, on_done, on_error)

    def end_turn(
        self,
        ticket: accounts.Ticket,
        tokens: int,
        line: str = "",
        upstream: str = "",
    ) -> None:
        """Settle a turn that is not part of the history.

        Parameters
        ----------
        line, upstream : str
            The turn's conversation, and the upstream that has its prompt in
            memory now.
        """
        ref = records.TurnRef(ticket.program, ticket.turn)
        self._opener.note_stopped(ref)
        known = self._partitions.program(ticket.program)
        known.note_upstream(line, upstream)
        if ticket.origin is accounts.Origin.RESERVE and not tokens:
            self.accounts.note_settled(ticket, 0)
            return
        claim = self._settlement_claim(ticket, tokens)
        record = records.EndedTurn(
            ticket.program, ticket.turn, claim, tokens, line, upstream
        )
        self.accounts.note_spent(ticket, tokens)
        # If this record is lost, an offline turn is not charged at all, and
        # any other turn too much.
        self._settling[ref] = record

        def settled(fold: fold_module.ProgramFold) -> None:
            self._settling.pop(ref, None)
            self._claim_writer.note_settled(fold, record, ticket)

        report_loss = self._make_loss_reporter(ticket)
        self._commit(record, recording.KEEP_SECONDS, settled, report_loss)
        if ticket.origin is accounts.Origin.OFFLINE:
            self._replicate(record)

    def complete_turn(
        self,
        ticket: accounts.Ticket,
        parent: records.TurnRef | None,
        tokens: int,
        input_data: bytes,
        output_data: bytes,
        upstream: str,
        on_done: Callable[[str], None],
        timeout: float = durability.DEFAULT_TIMEOUT_SECONDS,
        can_retry_elsewhere: Callable[[], bool] = lambda: False,
    ) -> Callable[[], None]:
        """Add a completed turn to the history, and record its location.

        ``on_done`` is called once with where the turn is stored: ``logged``;
        or ``held`` by other VMs until the log is available again; or, after
        the timeout or behind a cut, ``nowhere``. Its append is retried.
        Returns a function that ends the wait at once.
        """
        record = records.CompletedTurn(
            ticket.program,
            ticket.turn,
            self._settlement_claim(ticket, tokens),
            parent,
            tokens,
            input_data,
            output_data,
            upstream,
        )
        self._opener.note_stopped(records.TurnRef(ticket.program, ticket.turn))
        self.accounts.note_spent(ticket, tokens)
        now = self._timers.now()
        durability_wait = durability.DurabilityWait(
            self._timers,
            self.replica_holders,
            records.encode_record(record),
            lambda: recording.is_unavailable(self._partitions, record),
            timeout,
            lambda: recording.is_late(self._partitions, record),
            lambda seconds, on_answer: self._recorder.record_elsewhere(
                record, self.replica_holders, seconds, on_answer
            ),
            self.patience,
            lambda: (
                can_retry_elsewhere() and not self.has_log_answered_since(now)
            ),
        )
        self._recorder.record_with_chain(
            record,
            lambda fold: self._claim_writer.note_settled(fold, record, ticket),
            durability_wait.logged,
        )
        durability_wait.start(on_done)
        return durability_wait.finish_now

    def store_replica(
        self, data: bytes, is_log_unavailable: bool = False
    ) -> None:
        """Hold a replica of another VM's record, and get it into the log.

        Parameters
        ----------
        is_log_unavailable : bool
            Whether its author can't reach the log.

        Raises
        ------
        MalformedRecord
            If it is not the record of a turn.
        """
        record = records.decode_record(data)
        if isinstance(record, records.OpenedTurn | records.EndedTurn):
            self._charge_replicas.add(record)
            return
        records.check_is_completed(record)
        self._charge_replicas.drop_opening(record)
        ref = records.TurnRef(record.program, record.turn)
        is_held = ref in self._held_by_ref
        if not is_held and not self._partitions.is_recorded(ref):
            self._held_by_ref.add(record)
            report_loss = self._make_loss_reporter(record)
            replica_check = replicas.ReplicaCheck(
                self, self._timers, record, report_loss
            )
            place = partitions.place_of_program(record.program)
            is_urgent = is_log_unavailable and self._partitions.is_fast(place)
            fields = {"program": record.program, "request": record.turn}
            LOG.info("copy kept", extra=fields | {"is_urgent": is_urgent})
            replica_check.start(is_urgent)

    def record_for_peer(
        self, turns: list[bytes], on_done: Callable[[], None]
    ) -> None:
        """Append completed turns, with locations, for a VM without the log.

        ``on_done`` is called once all of them are recorded.

        Raises
        ------
        MalformedRecord
            If one is not the record of a completed turn.
        """
        decoded = [records.decode_record(data) for data in turns]
        for record in decoded:
            records.check_is_completed(record)
        self._recorder.record_for_peer(decoded, on_done)

    def drop_replica(self, ref: records.TurnRef) -> None:
        """Drop a replica whose record and location are in the log."""
        self._held_by_ref.note_recorded(ref)

    def append_replica(self, record: records.CompletedTurn) -> None:
        """Append a replica that the log lacks."""
        self._recorder.append_replica(record, 0.0)

    def append_replica_location(self, record: records.CompletedTurn) -> None:
        """Append the location of a replica whose record is in the log."""
        ref = records.TurnRef(record.program, record.turn)
        logged = functools.partial(self.drop_replica, ref)
        report_loss = self._make_loss_reporter(record)
        recording.append_location(
            self._partitions, record, logged, report_loss
        )

    # -- own ------------------------------------------------------------------

    def _replicate(self, record: replicas.ChargeRecord) -> None:
        """Have other VMs hold a charge that the log may lack for long."""
        data = records.encode_record(record)
        self.replica_holders.replicate(data, lambda copies: None)

    def _make_loss_reporter(self, item) -> turn_opener.OnError:
        """Return the error handler that logs a record as lost."""

        def report(error: errors.HistoryError) -> None:
            ref = records.TurnRef(item.program, item.turn)
            is_completed = isinstance(item, records.CompletedTurn)
            # A turn that another VM has recorded is not lost, and a loss is
            # logged once.
            is_lost = not is_completed or self._held_by_ref.is_unrecorded(ref)
            self._held_by_ref.note_lost(ref)
            self._settling.pop(ref, None)
            fields = {"program": item.program, "request": item.turn}
            if is_lost:
                LOG.error("record lost", extra=fields | {"reason": str(error)})

        return report

    def _append_charge_replica(
        self, record: replicas.ChargeRecord, on_done: Callable[[], None]
    ) -> None:
        self._commit(
            record,
            recording.KEEP_SECONDS,
            lambda fold: on_done(),
            lambda error: on_done(),
        )

    def _append_withdrawal(self, record: records.EndedTurn) -> None:
        report_loss = self._make_loss_reporter(record)
        self._commit(
            record, recording.KEEP_SECONDS, lambda fold: None, report_loss
        )

    def _settlement_claim(
        self, ticket: accounts.Ticket, tokens: int
    ) -> records.Claim:
        known = self._partitions.program(ticket.program)
        return self._claim_writer.settlement_claim(known, ticket, tokens)
