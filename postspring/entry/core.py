"""An entry VM's parts, wired together; sockets and the loop are given."""

from collections.abc import Callable
import logging
import secrets
from typing import Any

from postspring import coordination
from postspring.entry import attempts
from postspring.entry import cache_keeper
from postspring.entry import callers
from postspring.entry import commands  # noqa: F401 (registers its route)
from postspring.entry import configuration_host
from postspring.entry import grants
from postspring.entry import peer_service
from postspring.entry import plain  # noqa: F401 (registers its routes)
from postspring.entry import relayed_log
from postspring.entry import router
from postspring.entry import slot_hosts
from postspring.entry import slots as slots_module
from postspring import metrics
from postspring import ownership
from postspring import peers
from postspring import scheduling
from postspring import settings as settings_module
from postspring import sharedlog
from postspring import transport
from postspring import upstreams
from postspring import web

__all__ = ["EntryCore"]

LOG = logging.getLogger(__name__)
HAND_OVER_SECONDS = 5.0
DRAIN_POLL_SECONDS = 0.1
GIVE_BACK_SECONDS = 1.0


class EntryCore:
    """One entry VM, but for its sockets.

    Explanation
    ===========

    Callers' requests come to ``callers``, other VMs' by the hub.  The VM
    owns some of its data centre's slots, runs the attempts that owners
    grant it, and answers for neither more nor less than the log says.  The
    daemon gives it real timers and sockets, the scenarios virtual ones.

    Parameters
    ==========

    settings : EntrySettings
        The daemon's settings.
    timers : Timers
        Calls functions later, and tells the time.
    http : HttpClient
        Sends requests to the platform and to upstreams.
    build_hub : callable
        Returns a :class:`~postspring.peers.PeerHub` for the functions that
        answer requests, give and take heartbeats, and hear of lost peers.
    web_activity : callable
        Returns how many callers' requests are not answered yet.
    """

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        timers: transport.Timers,
        http: transport.HttpClient,
        build_hub: Callable[..., peers.PeerHub],
        web_activity: Callable[[], int],
    ):
        self.settings = settings
        self.timers = timers
        self.http = http
        self.incarnation = f"{settings.vm}.{secrets.token_hex(6)}"
        self.leaving = False
        self._web_activity = web_activity
        self._on_stopped: Callable[[], None] | None = None
        self._drain_deadline = 0.0
        self._idle_since = 0.0
        self.meters = metrics.Metrics()
        platform_address = settings_module.parse_address(settings.platform)
        self.log_client = relayed_log.RelayedLogClient(
            sharedlog.LogClient(http, platform_address),
            timers,
            self._log_helpers,
        )
        self.vm_list = sharedlog.VmList(
            http, platform_address, timers, self._vms_changed
        )
        self.pool = scheduling.UpstreamPool(
            scheduling.placement_by_name[settings.placement](),
            scheduling.order_by_name[settings.order](),
            settings.max_waiting,
        )
        self.configuration = configuration_host.ConfigurationHost(
            self.log_client,
            timers,
            self._configuration_changed,
            settings.carry_every,
        )
        self.attempts = attempts.AttemptRunner(http, timers)
        self.hosts = slot_hosts.SlotHosts(
            settings.vm, settings.data_center, self._build_host, self.vm_list
        )
        self.peers = build_hub(
            self._peer_request, self._heartbeat, self._heard, self._peer_lost
        )
        self.router = router.OwnerRouter(
            settings.vm,
            settings.data_center,
            self.hosts,
            self.peers,
            self.vm_list,
            timers,
        )
        self.grants = grants.GrantRunner(
            settings.vm,
            self.attempts,
            self.router,
            self.hosts,
            self.peers,
            self.log_client,
            timers,
        )
        self.cache_keeper = cache_keeper.CacheKeeper(
            settings.vm, http, timers, self.hosts, self.pool, self.meters
        )
        self.web_limits = web.WebLimits(
            body=settings.max_body, connections=settings.max_connections
        )
        self.callers = callers.CallerApi(self)
        self._observe()

    def start(self) -> None:
        """Begin to follow the platform and to talk to the other VMs."""
        self.log_client.start(self.peers)
        self.configuration.start()
        self.hosts.start(self.peers)
        self.vm_list.start()
        self.peers.start()
        self.cache_keeper.start()
        self.timers.call_every(
            GIVE_BACK_SECONDS, self.hosts.give_back_leftovers
        )

    def close(self) -> None:
        """Stop at once; :meth:`shut_down` is the graceful way."""
        self.peers.close()
        self.cache_keeper.close()
        self.vm_list.close()
        self.hosts.close()
        self.configuration.close()
        self.meters.close()

    def shut_down(self, on_stopped: Callable[[], None]) -> None:
        """Finish what is under way, hand the slots over, then stop.

        The host takes no new connections any more.  ``on_stopped`` is
        called once everything is closed.
        """
        LOG.info("shutting down")
        self.leaving = True
        self.hosts.leaving = True
        self._on_stopped = on_stopped
        self._idle_since = self.timers.now()
        self._drain_deadline = self._idle_since + self.settings.drain
        # Not at once: what has come is read first.
        self.timers.call_later(DRAIN_POLL_SECONDS, self._drain)

    @property
    def slot_hosts(self) -> list[slots_module.SlotHost]:
        """The hosts of all slot streams that are followed here."""
        return self.hosts.all

    @property
    def slots(self) -> slots_module.SlotHost:
        """The host of the home data centre's slots."""
        return self.hosts.home

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
            "following": sorted(self.hosts.by_data_center),
            "peers": {
                vm: self.peers.responsive(vm)
                for vm in self.vm_list.entry_by_vm
                if vm != self.settings.vm
            },
        }

    # -- parts' functions -----------------------------------------------------

    def _build_host(
        self, data_center: str, alive: Callable[[], list[str]]
    ) -> slots_module.SlotHost:
        settings = self.settings
        return slots_module.SlotHost(
            settings.vm,
            self.incarnation,
            data_center,
            settings.slots,
            self.log_client,
            self.timers,
            self.pool,
            lambda grant: self.grants.run_here(grant),
            lambda effect: self.grants.cancel(effect),
            self._copy_turn,
            lambda effect: self.cache_keeper.release(effect),
            alive,
            self.meters,
            coordination.OwnerLimits(hold_after=settings.hold_after),
            settings.batch_delay,
            settings.carry_every,
        )

    def _log_helpers(self) -> list[str]:
        """Return the VMs of this data centre that reach the log."""
        return [
            entry.vm
            for entry in self.vm_list.in_data_center(self.settings.data_center)
            if entry.vm != self.settings.vm
            and self.peers.reaches_log(entry.vm)
        ]

    def _copy_turn(self, turn: ownership.Turn) -> None:
        """Give copies of a held turn to a few VMs, peers first."""
        home = self.settings.data_center
        responsive = [
            entry
            for entry in self.vm_list.entry_by_vm.values()
            if entry.vm != self.settings.vm and self.peers.responsive(entry.vm)
        ]
        responsive.sort(
            key=lambda entry: (entry.data_center != home, entry.vm)
        )
        for entry in responsive[: self.settings.copies]:
            self.peers.tell(entry.vm, peers.ReplicateTurns(turns=(turn,)))

    # -- peers ----------------------------------------------------------------

    def _heartbeat(self) -> peers.Heartbeat:
        state = self.configuration.state
        return peers.Heartbeat(
            vm=self.settings.vm,
            incarnation=self.incarnation,
            data_center=self.settings.data_center,
            configuration_offset=state.offset,
            configuration_version=state.version,
            leaving=self.leaving,
            reaches_log=self.log_client.reaches_log and self.slots.log_up,
        )

    def _heard(self, heartbeat: peers.Heartbeat) -> None:
        if heartbeat.configuration_offset <= self.configuration.state.offset:
            return

        def take(offer: Any) -> None:
            if isinstance(offer, peers.ConfigurationOffer):
                self.configuration.take(offer)

        self.peers.ask(
            heartbeat.vm, peers.ConfigurationRequest(), 2.0, take, _ignore
        )

    def _peer_lost(self, vm: str) -> None:
        self.meters.peers_lost.add(1)
        LOG.warning("link to a peer lost", extra={"peer": vm})
        self.hosts.peer_lost(vm)

    def _peer_request(
        self, vm: str, message: Any, reply: Callable[[Any], None]
    ) -> None:
        peer_service.answer_peer(self, vm, message, reply)

    # -- changes --------------------------------------------------------------

    def _vms_changed(self) -> None:
        listed = self.vm_list.entry_by_vm.values()
        self.peers.replace_peers(
            {
                entry.vm: settings_module.parse_address(entry.address)
                for entry in listed
                if entry.vm != self.settings.vm
                and entry.vm not in self.pool.upstream_by_id
            }
        )
        self._mark_leaving_upstreams()

    def _mark_leaving_upstreams(self) -> None:
        """Keep new work from upstreams that are drained or listed so."""
        configured = self.configuration.state.configuration.upstreams
        for name, upstream in self.pool.upstream_by_id.items():
            entry = self.vm_list.entry_by_vm.get(name)
            listed = (
                entry is not None and entry.state is sharedlog.VmState.LEAVING
            )
            upstream.leaving = listed or configured[name].draining

    def _configuration_changed(self) -> None:
        in_force = self.configuration.state.configuration
        self.hosts.reconfigure(in_force)
        self.pool.replace_upstreams(
            [
                upstreams.UpstreamState.of(name, upstream)
                for name, upstream in in_force.upstreams.items()
            ]
        )
        self._mark_leaving_upstreams()

    def _drain(self) -> None:
        """Wait until nothing here is needed any more."""
        now = self.timers.now()
        handed_over = self.hosts.hand_over_all()
        idle = not self._web_activity() and not self.attempts.running
        unlogged = sum(host.unlogged_records for host in self.hosts.all)
        unlogged += self.grants.unlogged
        done = idle and handed_over and not unlogged
        if not idle:
            self._idle_since = now
        # Without the log nothing can be handed over: the others claim our
        # slots once we are silent.
        forsaken = now > self._idle_since + HAND_OVER_SECONDS
        if done or forsaken or now > self._drain_deadline:
            LOG.info("shut down", extra={"clean": done})
            self.close()
            self._on_stopped()
            return
        self.timers.call_later(DRAIN_POLL_SECONDS, self._drain)

    def _observe(self) -> None:
        meters = self.meters
        meters.add_gauge(
            "owned_slots", "Slots owned", lambda: len(self.slots.owned_slots)
        )
        meters.add_gauge(
            "busy_calls",
            "Calls queued, active or pending at this owner",
            lambda: self.slots.owner.busy_calls,
        )
        meters.add_gauge(
            "held_bytes",
            "Bytes of turns that are not in the log yet",
            lambda: self.slots.owner.held_bytes,
        )
        meters.add_gauge(
            "configuration_version",
            "Version in force",
            lambda: self.configuration.state.version,
        )
        meters.add_gauge(
            "log_up", "1 if the log answers", lambda: int(self.slots.log_up)
        )


def _ignore(*arguments: Any) -> None:
    """Do nothing."""
