"""Ways to detect that the network has cut this data centre off.

``timeouts`` relies on :class:`FailoverLog`, which counts calls to the log that
have failed, and on the probes of :class:`Isolation` after that.  ``silence``
adds a failure detector that watches all requests out of the data centre.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import math

from postspring.peering import failover
from postspring.peering import isolation as isolation_module
from postspring.peering import members as members_module
from postspring.peering import silence_detector
from postspring import registry
from postspring import transport
from postspring import upstreams

__all__ = ["CutDetection", "SilenceDetection", "cut_detection_by_name"]

LOG = logging.getLogger(__name__)

# VMs of this data centre that call the log for one that may be isolated; one
# of them may be down.
ASKED_NEIGHBOURS = 2
# How long upstreams of other data centres get no call if others can take it,
# after a confirmation.  Each call there costs the timeout of a connection,
# 0.4 s; later ones are left to the failures of calls.
AVOID_UPSTREAMS_SECONDS = 1.0
STORE_PATH = silence_detector.Path("store")
# Steps of the detector that end a suspicion, with how it ended.
OUTCOME_BY_STEP = {
    silence_detector.Step.CONFIRMED: "confirmed",
    silence_detector.Step.REFUTED: "refuted",
    silence_detector.Step.PAUSED: "paused",
}

cut_detection_by_name: registry.Registry[type["CutDetection"]] = (
    registry.Registry("cut detection")
)


@cut_detection_by_name.register("timeouts")
class CutDetection:
    """Detects a network partition by the timeouts of calls to the log.

    Parameters
    ==========

    clients : iterable of HttpClient
        Clients of the store, of other VMs and of upstreams.
    members : Members
        The list of VMs, with their data centres.
    log : FailoverLog
        Learns of a confirmed partition.
    isolation : Isolation
        Sends probes; learns of a confirmed partition.
    directory : Directory
        The upstreams; those of other data centres are avoided after a
        confirmation.
    store_address : callable
        Returns the store's address.
    data_center_count : int
        Number of data centres.
    count_outcome : callable
        Called with the outcome of each suspicion, for metrics.
    """

    def __init__(
        self,
        timers: transport.Timers,
        clients: Iterable[transport.HttpClient],
        members: members_module.Members,
        log: failover.FailoverLog,
        isolation: isolation_module.Isolation,
        directory: upstreams.Directory,
        store_address: Callable[[], tuple[str, int]],
        data_center_count: int,
        count_outcome: Callable[[str], None] = lambda outcome: None,
    ):
        self._timers = timers
        self._clients = list(clients)
        self._members = members
        self._log = log
        self._isolation = isolation
        self._directory = directory
        self._store_address = store_address
        self._data_center_count = data_center_count
        self._count_outcome = count_outcome

    def start(self) -> None:
        """Start to observe; the timeouts need nothing beyond the log."""

    def close(self) -> None:
        """Stop observing."""


@cut_detection_by_name.register("silence")
class SilenceDetection(CutDetection, transport.ExchangeObserver):
    """Detects a network partition by the silence of all paths.

    With one data centre in the settings there is no path to another one, and
    nothing is observed.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._detector = silence_detector.SilenceDetector()
        self._path_by_exchange: dict[
            transport.Exchange, silence_detector.Path
        ] = {}
        self._data_center_by_address: dict[tuple[str, int], str] = {}
        self._members_revision = -1
        self._timer: transport.TimerHandle | None = None
        self._planned_at = math.inf

    def start(self) -> None:
        """Observe the clients' exchanges."""
        if self._data_center_count > 1:
            for client in self._clients:
                client.observer = self

    def close(self) -> None:
        """Stop observing; forget all exchanges."""
        for client in self._clients:
            client.observer = transport.ExchangeObserver()
        self._path_by_exchange.clear()
        self._detector = silence_detector.SilenceDetector()
        self._plan()

    # -- exchanges ------------------------------------------------------------

    def started(self, exchange, is_connected) -> None:
        """Note a request; only some of them are answered without delay."""
        path = self._path_to(exchange.request)
        if path is None:
            return
        self._path_by_exchange[exchange] = path
        if exchange.request.is_prompt or not is_connected:
            self._detector.note_sent(path, exchange, self._timers.now())
            self._plan()

    def connected(self, exchange) -> None:
        """Note that the other machine has accepted a connection."""
        path = self._path_by_exchange.get(exchange)
        if path is None:
            return
        if not exchange.request.is_prompt:
            self._detector.note_ended(exchange)
        self._detector.note_heard(path, self._timers.now())
        self._plan()

    def received(self, exchange) -> None:
        """Note that its path is alive."""
        path = self._path_by_exchange.get(exchange)
        if path is None:
            return
        now = self._timers.now()
        self._detector.note_answered(exchange, now)
        self._detector.note_heard(path, now)
        self._plan()

    def ended(self, exchange) -> None:
        """Forget it."""
        if self._path_by_exchange.pop(exchange, None) is not None:
            self._detector.note_ended(exchange)
            self._plan()

    # -- own ------------------------------------------------------------------

    def _path_to(
        self, request: transport.HttpRequest
    ) -> silence_detector.Path | None:
        """Return the path of a request that leaves this data centre."""
        if request.address == self._store_address():
            return STORE_PATH
        data_center = request.data_center or self._data_center_of(
            request.address
        )
        if data_center in ("", self._members.own.data_center):
            return None
        return silence_detector.Path(f"data_center/{data_center}")

    def _data_center_of(self, address: tuple[str, int]) -> str:
        if self._members_revision != self._members.revision:
            self._members_revision = self._members.revision
            self._data_center_by_address = {
                member.peers: member.data_center
                for member in self._members.listed
            }
        return self._data_center_by_address.get(address, "")

    def _plan(self) -> None:
        """Schedule the next check, if the detector awaits anything."""
        due = self._detector.next_check
        if due == self._planned_at:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._planned_at = due
        if due < math.inf:
            seconds = max(0.0, due - self._timers.now())
            self._timer = self._timers.call_later(seconds, self._check)

    def _check(self) -> None:
        self._timer = None
        self._planned_at = math.inf
        step = self._detector.check(self._timers.now())
        if step is silence_detector.Step.SUSPECT:
            self._suspect()
        elif step is silence_detector.Step.PROBE_AGAIN:
            self._isolation.send_probes()
            self._read_through_neighbours()
        elif step in OUTCOME_BY_STEP:
            self._end(step)
        self._plan()

    def _suspect(self) -> None:
        """Probe, unless the isolation is known or there is nobody to ask."""
        if self._isolation.is_isolated or not self._isolation.send_probes():
            self._detector.drop_suspicion()
            return
        LOG.info(
            "network partition suspected",
            extra={
                "paths": sorted(self._detector.silent_paths),
                "silent": round(self._detector.silent_seconds, 3),
            },
        )
        if not self._detector.awaits(STORE_PATH):
            # One call, and new entries of the list of VMs are of use.
            self._members.refresh(lambda: None, lambda: None)

    def _read_through_neighbours(self) -> None:
        """Call the log through VMs of this data centre.

        If it answers, this VM alone has lost its paths, and can serve callers
        through the others.
        """
        own = self._members.own
        near = [
            member
            for member in self._members.others
            if member.data_center == own.data_center
        ]
        view = self._members.view
        if view is None:
            return
        for member in near[:ASKED_NEIGHBOURS]:
            self._log.log_via(member).read(
                members_module.PLACE,
                view.next,
                lambda page: self._detector.note_heard(
                    STORE_PATH, self._timers.now()
                ),
                lambda error: None,
            )

    def _end(self, step: silence_detector.Step) -> None:
        outcome = OUTCOME_BY_STEP[step]
        self._count_outcome(outcome)
        LOG.info(
            "suspicion of a network partition ended",
            extra={
                "outcome": outcome,
                "silent": round(self._detector.silent_seconds, 3),
            },
        )
        if step is silence_detector.Step.CONFIRMED:
            self._log.note_isolated()
            self._isolation.confirm(self._detector.silent_seconds)
            self._avoid_upstreams_elsewhere()

    def _avoid_upstreams_elsewhere(self) -> None:
        """Prefer upstreams of this data centre for a while.

        Those elsewhere stay the last resort, so a wrong confirmation does not
        cause refusals.
        """
        own = self._members.own.data_center
        now = self._timers.now()
        for upstream in self._directory.by_id.values():
            if upstream.data_center != own:
                upstream.suspend(now, AVOID_UPSTREAMS_SECONDS)
