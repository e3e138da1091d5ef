"""Loads: the calls that all VMs together have in flight at upstreams.

A VM reports its calls in flight to one VM of its data centre, the collector,
which responds with those of all others.  Collectors send each other the sums
of their data centres.  So a VM sends a few messages a second whatever the
number of VMs, and a collector receives as many from each VM of its data
centre.  The collector is computed from the list of VMs, without any agreement;
while it does not respond, a VM uses only its own calls.
"""

from collections.abc import Callable
import functools
import math

import xxhash

from postspring import errors
from postspring import keyedlog
from postspring.peering import avoided_vms
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring.peering import suspicion_exchange as suspicion_module
from postspring import transport
from postspring.transport import timers as timers_module
from postspring import upstreams

__all__ = ["LoadCollector", "LoadExchange", "collector_of"]

# Interval of reports.  In a model of 66 VMs under a burst 99% of programs were
# on time with it, 87% without any exchange (six seeds each).
REPORT_INTERVAL_SECONDS = 0.2
# Age up to which a report counts: two in a row may be lost.
REPORT_VALID_SECONDS = 0.7
# A collector that has not responded by then gets no report for AVOID_SECONDS.
ANSWER_TIMEOUT_SECONDS = 0.15
AVOID_SECONDS = 3.0
# Time that a VM without calls continues to report: others have to learn that
# it has none, and it needs the load when calls arrive again.
IDLE_SECONDS = 2.0

Calls = dict[str, int]


def collector_of(
    members: list[members_module.Member], data_center: str
) -> members_module.Member | None:
    """Return the collector of a data centre: every VM computes the same.

    Examples
    --------
    >>> make = members_module.Member
    >>> a = make("vm-a", "i1", "d1", ("10.0.0.1", 1), ("10.0.0.1", 2))
    >>> b = make("vm-b", "i2", "d1", ("10.0.0.2", 1), ("10.0.0.2", 2))
    >>> collector_of([a, b], "d1").name == collector_of([b, a], "d1").name
    True
    >>> collector_of([a, b], "d2") is None
    True
    """
    return max(
        (item for item in members if item.data_center == data_center),
        key=lambda item: xxhash.xxh64_intdigest(item.name.encode()),
        default=None,
    )


class LoadCollector:
    """Sums up reports, and drops outdated ones.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> collector = LoadCollector(lambda: 0.0)
    >>> collector.add_report("vm-a", False, {"u": 2})
    >>> collector.add_report("vm-b", False, {"u": 3, "v": 1})
    >>> collector.add_report("d2", True, {"u": 4})
    >>> collector.calls_except("vm-b"), collector.data_center_sum()
    ({'u': 6}, {'u': 5, 'v': 1})
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._report_by_source: dict[
            tuple[str, bool], tuple[float, Calls]
        ] = {}

    def add_report(
        self, source: str, is_data_center: bool, calls: Calls
    ) -> None:
        """Add a report; it replaces the previous one of the same source."""
        key = (source, is_data_center)
        self._report_by_source[key] = (self._now(), calls)

    def calls_except(self, vm: str) -> Calls:
        """Return the calls in flight of all VMs but one."""
        return self._sum(lambda source, is_sum: is_sum or source != vm)

    def data_center_sum(self) -> Calls:
        """Return the calls in flight of the VMs of this data centre."""
        return self._sum(lambda source, is_sum: not is_sum)

    def _sum(self, counts: Callable[[str, bool], bool]) -> Calls:
        oldest = self._now() - REPORT_VALID_SECONDS
        total: Calls = {}
        for key, (at, calls) in list(self._report_by_source.items()):
            if at < oldest:
                del self._report_by_source[key]
            elif counts(*key):
                for upstream, number in calls.items():
                    total[upstream] = total.get(upstream, 0) + number
        return total


class LoadExchange:
    """Reports this VM's calls in flight, and gets those of all others.

    Parameters
    ==========

    members : Members
        The list of VMs.
    directory : Directory
        The upstreams, with this VM's calls there.
    configuration : Follower, optional
        The configuration's records.  A response includes the offset up to
        which the log has confirmed them; a report doesn't, as only the sender
        of a request has an upper bound of the age.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        timers: timers_module.Timers,
        members: members_module.Members,
        directory: upstreams.Directory,
        configuration: keyedlog.Follower | None = None,
    ):
        self._configuration = configuration
        self._http = http
        self._timers = timers
        self._members = members
        self._directory = directory
        self._collector = LoadCollector(timers.now)
        self._suspicions = suspicion_module.SuspicionExchange(
            directory, timers.now
        )
        self._active_at = -math.inf
        self._collects_until = -math.inf
        self._avoided = avoided_vms.AvoidedVms(AVOID_SECONDS, timers.now)

    @property
    def is_collecting(self) -> bool:
        """Whether other VMs report to this one."""
        return self._timers.now() < self._collects_until

    def start(self) -> None:
        """Start the periodic reports."""
        self._timers.call_every(REPORT_INTERVAL_SECONDS, self._report)

    def answer(self, report: messages.LoadsReport) -> messages.LoadsResponse:
        """Handle a report; return the calls in flight of all others."""
        self._collects_until = self._timers.now() + IDLE_SECONDS
        self._collector.add_report(
            report.source, report.is_data_center, dict(report.calls)
        )
        self._suspicions.collect(report.observations, report.is_data_center)
        if report.is_data_center:
            return messages.LoadsResponse([])
        calls = self._collector.calls_except(report.source)
        end, age = -1, 0.0
        if self._configuration is not None:
            end = self._configuration.confirmed_end
            age = self._configuration.confirmed_age
        return messages.LoadsResponse(
            list(calls.items()),
            self._suspicions.suspects(),
            end,
            age if end >= 0 else 0.0,
        )

    # -- own ------------------------------------------------------------------

    def _report(self) -> None:
        now = self._timers.now()
        own = self._members.own
        calls = self._own_calls()
        observations = self._suspicions.take_own()
        if (
            calls
            or observations
            or self._was_answered_since(now - REPORT_INTERVAL_SECONDS)
        ):
            self._active_at = now
        if now - self._active_at > IDLE_SECONDS and now > self._collects_until:
            return
        reachable = [
            member
            for member in (*self._members.listed, own)
            if member not in self._avoided
        ]
        collector = collector_of(reachable, own.data_center)
        if collector is None or collector.name == own.name:
            self._collect(calls, observations, reachable)
        elif now - self._active_at <= IDLE_SECONDS:
            report = messages.LoadsReport(
                own.name, False, list(calls.items()), observations
            )
            answered = functools.partial(self._answered, now)
            self._send(collector, report, answered)

    def _own_calls(self) -> Calls:
        return {
            upstream.incarnation: upstream.in_flight
            for upstream in self._directory.by_id.values()
            if upstream.in_flight
        }

    def _was_answered_since(self, moment: float) -> bool:
        """Return whether any upstream has responded since a moment.

        It shows calls that began and ended between two reports.
        """
        return any(
            upstream.answered_at >= moment
            for upstream in self._directory.by_id.values()
        )

    def _collect(self, calls: Calls, observations, reachable) -> None:
        """Act as the collector: send this data centre's sum to the others."""
        own = self._members.own
        self._collector.add_report(own.name, False, calls)
        self._suspicions.collect(observations, False)
        self._note_other_calls(self._collector.calls_except(own.name))
        self._suspicions.apply(self._suspicions.suspects())
        total = list(self._collector.data_center_sum().items())
        report = messages.LoadsReport(
            own.data_center, True, total, self._suspicions.take_unforwarded()
        )
        data_centers = {member.data_center for member in reachable}
        for data_center in data_centers - {own.data_center}:
            other = collector_of(reachable, data_center)
            self._send(other, report, lambda status, body: None)

    def _send(self, member, report: messages.LoadsReport, on_answer) -> None:
        request = messages.request_to(
            member.peers,
            messages.LOADS_PATH,
            messages.encode(report),
            ANSWER_TIMEOUT_SECONDS,
        )
        failed = functools.partial(self._on_transport_error, member)
        self._http.send(
            request, transport.ResponseCollector(on_answer, failed)
        )

    def _answered(self, asked_at: float, status: int, body: bytes) -> None:
        if status != 200:
            return
        try:
            loads = messages.decode(messages.LoadsResponse, body)
        except errors.PeerError:
            # Malformed: the collector may run another version.
            return
        self._note_other_calls(dict(loads.calls))
        self._suspicions.apply(loads.suspects)
        if self._configuration is not None:
            self._configuration.note_confirmed(
                loads.configuration_end, asked_at - loads.confirmed_age
            )

    def _note_other_calls(self, calls: Calls) -> None:
        now = self._timers.now()
        for upstream in self._directory.by_id.values():
            upstream.note_peer_calls(calls.get(upstream.incarnation, 0), now)

    def _on_transport_error(self, member, error) -> None:
        self._avoided.add(member)
