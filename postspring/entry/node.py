"""An entry VM's parts, wired together on one circuits loop."""

from collections.abc import Callable
import json
import logging
import secrets
from typing import Any

from circuits import BaseComponent
from circuits.core import pollers
from circuits import handler

from postspring import coordination
from postspring.daemon import settings as settings_module
from postspring.entry import attempts
from postspring.entry import callers
from postspring.entry import collections
from postspring.entry import commands  # noqa: F401 (registers its route)
from postspring.entry import configuration_host
from postspring.entry import plain  # noqa: F401 (registers its routes)
from postspring.entry import router
from postspring.entry import slots
from postspring import identifiers
from postspring import metrics
from postspring import ownership
from postspring import peers
from postspring import platform
from postspring import scheduling
from postspring import transport
from postspring import upstreams
from postspring import web

__all__ = ["EntryNode"]

LOG = logging.getLogger(__name__)
FINISH_SECONDS = 5.0
HAND_OVER_SECONDS = 5.0
DRAIN_POLL_SECONDS = 0.1


class EntryNode(BaseComponent):
    """One entry VM.

    Explanation
    ===========

    Callers reach it over HTTP, other VMs over websockets.  It owns some of
    its data centre's slots, runs the attempts that owners grant it, and
    answers for neither more nor less than the log says.

    Parameters
    ==========

    settings : EntrySettings
        The daemon's settings.
    on_stopped : callable, optional
        Called once a graceful shutdown is complete.
    """

    channel = "entry"

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        on_stopped: Callable[[], None] | None = None,
    ):
        super().__init__()
        self.settings = settings
        self.incarnation = f"{settings.vm}.{secrets.token_hex(6)}"
        self.leaving = False
        self._on_stopped = on_stopped
        self._drain_deadline = 0.0
        self._idle_since = 0.0
        self.meters = metrics.Metrics()
        # circuits would take select(), which ends at 1024 descriptors.
        pollers.EPoll().register(self)
        self.timers = transport.Timers().register(self)
        self._sockets = transport.SocketHub(
            self.timers, channel="outbound"
        ).register(self)
        self.http = transport.HttpClient(self._sockets, self.timers)
        platform_address = settings_module.split_address(settings.platform)
        self.log_client = platform.LogClient(self.http, platform_address)
        self.vm_list = platform.VmList(
            self.http, platform_address, self.timers, self._vms_changed
        )
        self.pool = scheduling.UpstreamPool(
            scheduling.placement_by_name[settings.placement](),
            scheduling.order_by_name[settings.order](),
            settings.max_waiting,
        )
        self.configuration = configuration_host.ConfigurationHost(
            self.log_client, self.timers, self._configuration_changed
        )
        self.attempts = attempts.AttemptRunner(self.http, self.timers)
        self.slots = slots.SlotHost(
            settings.vm,
            self.incarnation,
            settings.data_center,
            settings.slots,
            self.log_client,
            self.timers,
            self.pool,
            self._run_granted,
            self._cancel_attempt,
            self._alive,
            self.meters,
            coordination.OwnerLimits(hold_after=settings.hold_after),
            settings.batch_delay,
        )
        self.peers = peers.PeerHub(
            self.timers,
            settings.vm,
            settings_module.split_address(settings.peer_listen),
            settings.peer_key.get_secret_value(),
            self._peer_request,
            self._heartbeat,
            self._heard,
            self._peer_lost,
            settings.peer_interval,
            settings.peer_silence,
        )
        self.peers.sockets.register(self)
        self.router = router.OwnerRouter(
            settings.vm,
            settings.data_center,
            self.slots,
            self.peers,
            self.vm_list,
            self.timers,
        )
        self.web_limits = web.WebLimits(
            body=settings.max_body, connections=settings.max_connections
        )
        self.callers = callers.CallerApi(self)
        self.web = web.WebServer(
            settings_module.split_address(settings.listen),
            self.callers.handle,
            self.timers,
            self.web_limits,
            self._too_large_body,
        ).register(self)
        self._observe()

    def start(self) -> None:
        """Begin to follow the platform and to talk to the other VMs."""
        self.configuration.start()
        self.slots.start()
        self.vm_list.start()
        self.peers.start()

    def close(self) -> None:
        """Stop at once; :meth:`shut_down` is the graceful way."""
        self.peers.close()
        self.vm_list.close()
        self.slots.close()
        self.configuration.close()
        self.meters.close()

    def shut_down(self) -> None:
        """Stop gracefully: take nothing new, finish, hand over, close."""
        if self.leaving:
            return
        LOG.info("shutting down")
        self.leaving = True
        self._idle_since = self.timers.now()
        self._drain_deadline = self._idle_since + self.settings.drain
        self.web.refuse_new()
        self._drain()

    def status(self) -> dict[str, Any]:
        """Return this VM's own state, for operators."""
        state = self.configuration.state
        return {
            "vm": self.settings.vm,
            "incarnation": self.incarnation,
            "data_center": self.settings.data_center,
            "leaving": self.leaving,
            "log_up": self.slots.log_up,
            "configuration_version": state.version,
            "configuration_offset": state.offset,
            "slots": self.slots.owned_slots,
            "slot_owners": {
                str(slot.number): slot.owner
                for slot in self.slots.fold.slot_by_number.values()
            },
            "log_offset": self.slots.fold.next_offset,
            "busy_calls": self.slots.owner.busy_calls,
            "peers": {
                vm: self.peers.responsive(vm)
                for vm in self.vm_list.entry_by_vm
                if vm != self.settings.vm
            },
        }

    def finish_attempt(
        self,
        grant: coordination.Grant,
        turn: ownership.Turn,
        on_reply: Callable[[Any], None],
    ) -> None:
        """Have a turn recorded: by its owner, or if that fails directly.

        ``on_reply`` gets the answer or the refusal.
        """
        message = coordination.FinishAttempt(attempt=grant.attempt, turn=turn)
        home = self._home_of(grant)

        def replied(reply: Any) -> None:
            unreachable = coordination.RefusalReason.OWNER_UNREACHABLE
            if (
                isinstance(reply, coordination.Refused)
                and reply.reason is unreachable
            ):
                self._record_directly(home, turn)
                reply = coordination.CallAnswered(turn=turn, held=True)
            on_reply(reply)

        self.router.ask(message, home, grant.slot, FINISH_SECONDS, replied)

    def _record_directly(self, home: str, turn: ownership.Turn) -> None:
        """Append a turn without its owner: it counts by its parent."""
        if home == self.settings.data_center:
            self.slots.append_turn(turn)

    @staticmethod
    def _home_of(grant: coordination.Grant) -> str:
        return identifiers.parse_program_id(grant.program).data_center

    # -- attempts that run here for slots that are owned here ----------------

    def _run_granted(self, grant: coordination.Grant) -> None:
        def on_turn(turn: ownership.Turn) -> None:
            self.finish_attempt(grant, turn, _ignore)

        def on_lost(sent: bool, detail: str) -> None:
            lost = coordination.LoseAttempt(
                attempt=grant.attempt,
                program=grant.program,
                step=grant.step,
                upstream=grant.upstream,
                sent=sent,
                detail=detail[:200],
            )
            self.slots.ask(lost, self.settings.vm, _ignore)

        self.attempts.run(grant, on_turn, on_lost)

    def _cancel_attempt(self, effect: coordination.CancelAttempt) -> None:
        if effect.vm == self.settings.vm:
            self.attempts.cancel(effect.program, effect.attempt)
        else:
            self.peers.tell(
                effect.vm,
                peers.StopAttempt(
                    program=effect.program, attempt=effect.attempt
                ),
            )

    # -- peers ----------------------------------------------------------------

    def _alive(self) -> list[str]:
        """Return the VMs of this data centre that may own slots."""
        alive = [
            entry.vm
            for entry in self.vm_list.in_data_center(self.settings.data_center)
            if entry.state is platform.VmState.LIVE
            and entry.vm != self.settings.vm
            and self.peers.responsive(entry.vm)
            and not self.peers.leaving(entry.vm)
        ]
        if not self.leaving:
            alive.append(self.settings.vm)
        vms = self.configuration.state.configuration.vms
        return [vm for vm in alive if vm not in vms or not vms[vm].draining]

    @property
    def slot_hosts(self) -> list[slots.SlotHost]:
        """The slot streams that this VM follows."""
        return [self.slots]

    def _heartbeat(self) -> peers.Heartbeat:
        state = self.configuration.state
        return peers.Heartbeat(
            vm=self.settings.vm,
            incarnation=self.incarnation,
            data_center=self.settings.data_center,
            configuration_offset=state.offset,
            configuration_version=state.version,
            leaving=self.leaving,
        )

    def _heard(self, heartbeat: peers.Heartbeat) -> None:
        if heartbeat.configuration_offset <= self.configuration.state.offset:
            return
        self.peers.ask(
            heartbeat.vm,
            peers.ConfigurationRequest(),
            2.0,
            self._take_configuration,
            _ignore,
        )

    def _take_configuration(self, offer: Any) -> None:
        if isinstance(offer, peers.ConfigurationOffer):
            self.configuration.take(offer)

    def _peer_lost(self, vm: str) -> None:
        self.meters.peers_lost.add(1)
        LOG.warning("link to a peer lost", extra={"peer": vm})
        self.slots.peer_lost(vm)

    def _peer_request(
        self, vm: str, message: Any, reply: Callable[[Any], None]
    ) -> None:
        if isinstance(message, peers.ConfigurationRequest):
            reply(self.configuration.offer())
        elif isinstance(message, peers.GatherRows):
            collection = collections.collection_by_name[message.collection]
            rows = json.dumps(collection.rows(self)).encode()
            reply(peers.RowsGathered(rows=rows))
        elif isinstance(message, peers.StopAttempt):
            self.attempts.cancel(message.program, message.attempt)
        else:
            self.slots.ask(message, vm, reply)

    # -- changes --------------------------------------------------------------

    def _vms_changed(self) -> None:
        self.peers.replace_peers(
            {
                entry.vm: settings_module.split_address(entry.address)
                for entry in self.vm_list.entry_by_vm.values()
                if entry.vm != self.settings.vm
            }
        )

    def _configuration_changed(self) -> None:
        in_force = self.configuration.state.configuration
        self.slots.owner.reconfigure(in_force)
        self.pool.replace_upstreams(
            [
                upstreams.UpstreamState(
                    id=name,
                    kind=upstream.kind,
                    data_center=upstream.data_center,
                    address=upstream.address,
                    serves=frozenset(upstream.serves),
                    concurrency=upstream.concurrency,
                    checks_fencing=upstream.checks_fencing,
                    leaving=upstream.draining,
                )
                for name, upstream in in_force.upstreams.items()
            ]
        )

    def _drain(self) -> None:
        """Wait until nothing here is needed any more."""
        now = self.timers.now()
        handed_over = self.slots.hand_over_all()
        idle = not self.web.active and not self.attempts.running
        done = idle and handed_over and not self.slots.unlogged_records
        if not idle:
            self._idle_since = now
        # Without the log nothing can be handed over: the others claim our
        # slots once we are silent.
        forsaken = now > self._idle_since + HAND_OVER_SECONDS
        if done or forsaken or now > self._drain_deadline:
            LOG.info("shut down", extra={"clean": done})
            self.close()
            if self._on_stopped is not None:
                self._on_stopped()
            return
        self.timers.call_later(DRAIN_POLL_SECONDS, self._drain)

    def _too_large_body(self) -> bytes:
        refused = coordination.Refused(
            reason=coordination.RefusalReason.BODY_TOO_LARGE
        )
        self.meters.refused(refused.reason.value, refused.ran.value)
        return json.dumps(callers.refusal_body(refused)).encode()

    def _observe(self) -> None:
        meters = self.meters
        meters.observe(
            "owned_slots", "Slots owned", lambda: len(self.slots.owned_slots)
        )
        meters.observe(
            "busy_calls",
            "Calls queued, active or pending at this owner",
            lambda: self.slots.owner.busy_calls,
        )
        meters.observe(
            "configuration_version",
            "Version in force",
            lambda: self.configuration.state.version,
        )
        meters.observe(
            "log_up", "1 if the log answers", lambda: int(self.slots.log_up)
        )

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, traceback, **details):
        LOG.error(
            "a handler failed: %s: %s",
            error_type.__name__,
            value,
            exc_info=value if isinstance(value, BaseException) else None,
        )


def _ignore(*arguments: Any) -> None:
    """Do nothing."""
