"""The node of a front VM: assembles all parts on one event loop."""

from collections.abc import Callable
import logging
import os

from circuits import BaseComponent
from circuits.core import pollers

from postspring import forwarding
from postspring.front import addresses
from postspring.front import catch_up
from postspring.front import completeness
from postspring.front import configuration
from postspring.front import connection_reporter
from postspring.front import directory_updater
from postspring.front import followers
from postspring.front import gauges
from postspring.front import graceful_leave
from postspring.front import metrics_page
from postspring.front import policies
from postspring.front import reload
from postspring.front import settings as settings_module
from postspring.front import shutdown
from postspring import histories
from postspring import metrics as metrics_module
from postspring import peering
from postspring import platform
from postspring import routing
from postspring import transport
from postspring import upstreams
from postspring import workspaces

__all__ = ["FrontNode"]

LOG = logging.getLogger(__name__)

# Random bytes of an incarnation.  A call that another VM forwards names the
# incarnation that is to run it, so callers must not be able to guess it.
INCARNATION_BYTES = 8


class FrontNode(BaseComponent):
    """Serves callers as one entry VM of the users' platform.

    Parameters
    ==========

    vm : VmSettings
        Settings that the platform passes to this VM.
    settings : FrontSettings
        Settings that operators chose.
    on_stopped : callable
        Called when a graceful shutdown is complete.
    listeners : dict of str to socket, optional
        Open listeners by :func:`~.addresses.listen_addresses`' names.
    """

    channel = "front"

    def __init__(
        self,
        vm: platform.VmSettings,
        settings: settings_module.FrontSettings,
        on_stopped: Callable[[], None],
        listeners: transport.Listeners | None = None,
    ):
        super().__init__()
        self._binds = listeners or addresses.listen_addresses(vm, settings)
        pollers.EPoll().register(self)
        self.vm = vm
        self.metrics = metrics_module.Metrics(bool(settings.metrics_port))
        self.timers = transport.Timers().register(self)
        self._hub = transport.SocketHub(self.timers).register(self)
        self.http = transport.HttpClient(self._hub, self.timers)
        self._peer_http = transport.HttpClient(
            self._hub, self.timers, vm.response_bytes
        )
        self.store = platform.Store(
            self._peer_http,
            vm.store,
            vm.partitions,
            self.metrics.count_store_call,
            limits=vm.store_limits,
        )
        self.log = peering.FailoverLog(
            self.store,
            self._store_via,
            lambda: self.members.nearest_first(),
            self.timers,
            self._on_log_path_change,
        )
        self.quarantine = policies.make_quarantine(
            settings,
            self.http,
            self.timers,
            lambda *arguments: self.crashes.publish(*arguments),
        )
        self.directory = upstreams.Directory(
            self.timers.now, self._on_upstream_retired
        )
        self.configuration = configuration.CurrentConfiguration(
            platform.CONFIGURATION_KEY,
            platform.decode_snapshot,
            self._on_configuration_change,
        )
        self.incarnation = f"{vm.vm}/{os.urandom(INCARNATION_BYTES).hex()}"
        self.journal = histories.Journal(
            self.log,
            self.timers,
            self.incarnation,
            catch_up_rate=self._catch_up_rate,
            sizes=histories.SizeLimits(vm.record_bytes, vm.call_bytes),
        )
        self._started_at = self.timers.now()
        self._limits = transport.ServerLimits.within(
            vm.max_files, vm.memory_mb
        )
        self._create_followers()
        self._create_servers()
        self._create_peering(settings.cut_detection)
        self._create_forwarding(settings)
        self.graceful_leave = graceful_leave.GracefulLeave(
            self.timers, self.journal, self.members, self._has_all_recent_turns
        )
        self.shutdown = shutdown.Shutdown(
            self.timers,
            self.callers,
            vm.grace,
            self.graceful_leave.advance,
            on_stopped,
            lambda: self.journal.unrecorded,
            self.peers,
        )

    def start(self) -> None:
        """Start to follow the log and to exchange state with other VMs."""
        first_start = {"first_start": self.vm.first_start}
        extra = first_start | {"incarnation": self.incarnation}
        LOG.info("started", extra=extra)
        self._memory_watch.start()
        self.cut_detection.start()
        self.members.start()
        self.loads.start()
        self.permits.start()
        self.followers.start()
        self.journal.start_handover(lambda: self.shutdown.is_stopping)

    def reconfigure(self, vm: platform.VmSettings) -> None:
        """Apply changed settings, except those that need a restart."""
        self.vm = reload.apply_settings(self.vm, vm)
        self.store.set_address(vm.store)
        self.shutdown.grace = vm.grace

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send new callers to this VM."""
        return (
            not self.shutdown.is_stopping
            and not self.isolation.is_isolated
            and self.configuration.snapshot is not None
            and bool(self.directory.by_id)
            and self._can_admit
        )

    @property
    def _can_admit(self) -> bool:
        """Whether callers' keys can be verified, if callers need keys."""
        snapshot = self.configuration.snapshot
        return snapshot.workspaces is None or self.admission.is_confirmed

    # -- parts ----------------------------------------------------------------

    def _create_followers(self) -> None:
        updater = directory_updater.DirectoryUpdater(
            self.directory,
            platform.decode_announcement,
            self.metrics.count_unreadable_entry,
        )
        self.followers = followers.Followers(
            self.log,
            self.timers,
            self.vm,
            self.configuration,
            self.directory,
            updater,
            lambda: self.members,
            lambda place, on_page: self.peer_client.ask_view(place, on_page),
            lambda: self.loads.is_collecting,
        )

    def _create_servers(self) -> None:
        reporter = connection_reporter.ConnectionReporter(
            self.metrics, platform.PlatformWireFormat()
        )
        self.callers = transport.HttpServer(
            self.timers,
            lambda call: self.forwarder.handle(call),
            self._limits,
            reporter.report_unreadable,
            reporter.report_cut,
        )
        self.callers.listen(self, self._binds["callers"], "callers")
        self.readiness = transport.HttpServer(
            self.timers,
            lambda call: call.respond(200 if self.is_ready else 503, []),
            transport.ServerLimits.for_probes(),
        )
        self.readiness.listen(self, self._binds["readiness"], "readiness")
        self.peers = transport.HttpServer(
            self.timers,
            lambda call: self._peer_service.handle(call),
            transport.ServerLimits.for_peers(
                self.vm.max_files, self.vm.memory_mb
            ),
        )
        self.peers.listen(self, self._binds["peers"], "peers")

    def _create_peering(self, cut_detection: str) -> None:
        """Create the parts that find other VMs and exchange state."""
        this_vm = peering.Member(
            self.vm.vm,
            self.incarnation,
            self.vm.data_center,
            self.peers.address,
            self.callers.address,
        )
        self.members = peering.Members(
            self.log,
            self.timers,
            this_vm,
            self.vm.seeds,
            lambda place, on_page: self.peer_client.ask_view(place, on_page),
        )
        leases = peering.ProgramLeases(self.vm.vm, self.timers.now)
        self.isolation = peering.Isolation(
            self._peer_http,
            self.timers,
            self.members,
            lambda: self.log.has_direct_path,
            lambda: self.log.silent_seconds,
        )
        self.cut_detection = peering.cut_detection_by_name[cut_detection](
            self.timers,
            (self.http, self._peer_http),
            self.members,
            self.log,
            self.isolation,
            self.directory,
            lambda: self.store.address,
            self.vm.data_centers,
            self.metrics.count_suspicion,
        )
        self.peer_client = peering.PeerClient(
            self._peer_http,
            self.members,
            leases,
            self._has_all_recent_turns,
            self.isolation,
            self.timers,
            self.journal.offline_author_by_turn,
            peering.messages_per_second(self.vm.cores),
            lambda: self.log.failed_at,
        )
        self.journal.replica_holders = self.peer_client.holders
        self.journal.may_have_uncharged_turns = (
            self.peer_client.may_have_uncharged_turns
        )
        self.loads = peering.LoadExchange(
            self._peer_http,
            self.timers,
            self.members,
            self.directory,
            self.followers.configuration,
        )
        self.permits = peering.Permits(
            self._peer_http,
            self.timers,
            self.members,
            self._find_workspace,
            self.vm.data_centers,
            self.vm.limit_span,
            lambda: self.shutdown.accepts_work,
        )
        self.crashes = peering.CrashExchange(
            self._peer_http, self.timers, self.members, self.quarantine
        )
        self._peer_service = peering.PeerService(
            self.journal,
            self.store.relay_call,
            leases,
            self._has_all_recent_turns,
            self.followers.view_of,
            self.members.add_member,
            accepts_replicas=lambda: not self.shutdown.is_stopping,
            has_direct_path=lambda: self.log.has_direct_path,
            reaches_log=lambda: self.log.reaches_log,
            accepts_work=lambda: self.shutdown.accepts_work,
            take_loads=self.loads.answer,
            permit=self.permits.answer,
            take_crashes=self.crashes.take,
        )

    def _create_forwarding(
        self, settings: settings_module.FrontSettings
    ) -> None:
        wire = platform.PlatformWireFormat()
        self.admission = forwarding.Admission(
            wire,
            self.peer_client,
            lambda: self.followers.configuration.confirmed_age,
            self.vm.key_removal,
        )
        context = policies.make_delivery_context(
            settings,
            self.http,
            self.timers,
            self.directory,
            wire,
            self.metrics,
            self.members,
            self.quarantine,
            self.callers.caller_memory,
            lambda: self.shutdown.sends_work,
        )
        self.forwarder = forwarding.Forwarder(
            context,
            self.journal,
            lambda: self.configuration.snapshot,
            self.followers.decision_inputs,
            self.peer_client,
            lambda: self.shutdown.accepts_work,
            self.followers.routes_certainty,
            self.admission,
            self.permits,
        )
        if bind := self._binds.get("metrics"):
            metrics_page.serve_metrics(self, self.timers, self.metrics, bind)
        self._memory_watch = gauges.observe_vm(
            self.metrics,
            self.followers.configuration,
            self.followers.upstreams,
            self.http,
            self.callers,
            self.journal,
            self.timers,
            self.quarantine,
            context.answers,
            self.peers,
            self.vm.memory_mb,
        )

    # -- events ---------------------------------------------------------------

    def _on_configuration_change(self, snapshot: routing.Snapshot) -> None:
        reload.apply_caller_limits(self._limits, snapshot.limits)

    def _on_upstream_retired(self, upstream: upstreams.Upstream) -> None:
        self.http.close_idle_connections(upstream.address)
        if self.directory.by_id.get(upstream.id) is not upstream:
            self.quarantine.note_gone(upstream)

    def _find_workspace(self, name: str) -> workspaces.Workspace | None:
        snapshot = self.configuration.snapshot
        found = None if snapshot is None else snapshot.workspaces
        return found and found.by_name.get(workspaces.WorkspaceName(name))

    def _has_all_recent_turns(self) -> bool:
        """Return whether this VM's memory covers the retention of turns."""
        snapshot = self.configuration.snapshot
        retention = 0.0 if snapshot is None else snapshot.longest_retention
        return completeness.has_all_recent_turns(
            self.vm.first_start and self.members.is_first_of_name,
            self.timers.now() - self._started_at,
            self.members.listed_seconds,
            retention,
        )

    def _store_via(self, member: peering.Member) -> platform.Store:
        return self.store.via(member.peers, peering.STORE_PREFIX)

    def _catch_up_rate(self) -> float:
        return catch_up.catch_up_rate(
            self.vm.store_writes, self.members, self.isolation
        )

    def _on_log_path_change(self) -> None:
        """Restart the configuration's long poll, which may hang.

        It may have been sent on a path to the log that is lost now.  If the
        log answers again, also resume and read what waited for it.
        """
        self.followers.configuration.read_now()
        if self.log.has_direct_path:
            self.followers.upstreams.read_first()
            self.members.read_first()
        self.isolation.note_path_change()
        if not self.log.is_down:
            self.journal.on_log_recovered()
