"""From a grant to a recorded turn, on the VM that runs the attempt."""

from collections.abc import Callable
from typing import Any

from postspring import coordination
from postspring.entry import attempts
from postspring.entry import router as router_module
from postspring.entry import slot_hosts
from postspring.entry import slots
from postspring import identifiers
from postspring import ownership
from postspring import peers
from postspring import sharedlog
from postspring import transport

__all__ = ["GrantRunner"]

FINISH_SECONDS = 5.0
MAX_FOREIGN_TURNS = 500


class GrantRunner:
    """Runs granted attempts and has their turns recorded.

    Parameters
    ==========

    vm : str
        This VM.
    runner : AttemptRunner
        Runs attempts.
    router : OwnerRouter
        Finds owners.
    hosts : SlotHosts
        The slot streams that are followed here.
    hub : PeerHub
        Links to the other VMs.
    client : LogClient
        The platform's log, for turns of other data centres.
    timers : Timers
        For its retries.
    """

    def __init__(
        self,
        vm: str,
        runner: attempts.AttemptRunner,
        router: router_module.OwnerRouter,
        hosts: slot_hosts.SlotHosts,
        hub: peers.PeerHub,
        client: sharedlog.LogClient,
        timers: transport.Timers,
    ):
        self._vm = vm
        self._runner = runner
        self._router = router
        self._hosts = hosts
        self._hub = hub
        self._client = client
        self._timers = timers
        self._appender_by_data_center: dict[str, sharedlog.StreamAppender] = {}

    def finish(
        self,
        grant: coordination.Grant,
        turn: ownership.Turn,
        on_reply: Callable[[Any], None],
    ) -> None:
        """Have a turn recorded: by its owner, or if that fails directly.

        ``on_reply`` gets the answer or the refusal.
        """
        message = coordination.FinishAttempt(attempt=grant.attempt, turn=turn)
        home = identifiers.parse_program_id(grant.program).data_center

        def replied(reply: Any) -> None:
            if _unreachable(reply):
                self.keep_copy(turn)
                reply = coordination.CallAnswered(turn=turn, held=True)
            on_reply(reply)

        self._router.ask(message, home, grant.slot, FINISH_SECONDS, replied)

    def run_here(self, grant: coordination.Grant) -> None:
        """Run an attempt of a slot that this VM owns itself."""
        home = identifiers.parse_program_id(grant.program).data_center

        def on_turn(turn: ownership.Turn) -> None:
            self.finish(grant, turn, _ignore)

        def on_lost(sent: bool, detail: str) -> None:
            lost = lost_attempt(grant, sent, detail)
            self._hosts.by_data_center[home].ask(lost, self._vm, _ignore)

        self._runner.run(grant, on_turn, on_lost)

    @property
    def unlogged(self) -> int:
        """Turns of other data centres that are not in the log yet."""
        return sum(
            appender.waiting
            for appender in self._appender_by_data_center.values()
        )

    def cancel(self, effect: coordination.CancelAttempt) -> None:
        """Break an attempt off, wherever it runs."""
        if effect.vm == self._vm:
            self._runner.cancel(effect.program, effect.attempt)
            return
        stop = peers.StopAttempt(
            program=effect.program, attempt=effect.attempt
        )
        self._hub.tell(effect.vm, stop)

    def keep_copy(self, turn: ownership.Turn) -> bool:
        """Append a turn that its owner can't append yet, when that works.

        It counts by its parent, whoever appends it, and that works from
        any data centre, for the log is the same for all.  Returns False if
        as many bytes are kept already as may be.
        """
        home = identifiers.parse_program_id(turn.program).data_center
        host = self._hosts.by_data_center.get(home)
        if host is not None:
            return host.keep_copy(turn)
        if self.unlogged > MAX_FOREIGN_TURNS:
            return False
        appender = self._appender_by_data_center.get(home)
        if appender is None:
            appender = sharedlog.StreamAppender(
                self._client,
                slots.slot_stream_name(home),
                self._timers,
                _ignore,
                _ignore,
            )
            self._appender_by_data_center[home] = appender
        appender.add(turn.identity, ownership.slot_records.encode(turn))
        return True


def lost_attempt(
    grant: coordination.Grant, sent: bool, detail: str
) -> coordination.LoseAttempt:
    """Return the report of a broken attempt."""
    return coordination.LoseAttempt(
        attempt=grant.attempt,
        program=grant.program,
        step=grant.step,
        upstream=grant.upstream,
        sent=sent,
        detail=detail[:200],
    )


def _unreachable(reply: Any) -> bool:
    return (
        isinstance(reply, coordination.Refused)
        and reply.reason is coordination.RefusalReason.OWNER_UNREACHABLE
    )


def _ignore(*arguments: Any) -> None:
    """Do nothing."""
