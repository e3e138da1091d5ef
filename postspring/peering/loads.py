"""Loads: what all VMs together have in flight at upstreams.

A VM tells one VM of its data centre, the collector, what it has in flight,
and is answered with what all others have.  Collectors tell each other the
sums of their data centres.  So a VM sends a few messages a second, whatever
the number of VMs, and a collector as many for each VM of its data centre.
Who collects follows from the list of VMs; nothing is agreed on, and while
nobody answers, a VM goes by its own calls.
"""

from collections.abc import Callable
import functools
import math

import xxhash

from postspring import errors
from postspring import keyedlog
from postspring.peering import avoidance
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring.peering import sightings as sightings_module
from postspring import transport
from postspring.transport import timers as timers_module
from postspring import upstreams

__all__ = ["LoadCollector", "LoadExchange", "collector_of"]

# Pause between two reports, in seconds.  In the model of 66 VMs in a burst
# 99% of programs were on time with it, 87% without any (six seeds each).
EXCHANGE_SECONDS = 0.2
# A report says nothing after this long, in seconds: two may get lost.
REPORT_SECONDS = 0.7
# A collector that does not answer within this time is left alone for a
# while; seconds.
ANSWER_SECONDS = 0.15
AVOID_SECONDS = 3.0
# How long a VM without calls goes on reporting, in seconds: others have to
# hear that it has none, and it has to know the load when calls come again.
IDLE_SECONDS = 2.0

Calls = dict[str, int]


def collector_of(
    members: list[members_module.Member], data_center: str
) -> members_module.Member | None:
    """Return the VM that collects a data centre's loads, the same for all.

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
    """Adds reports up, and forgets those that are old.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> collector = LoadCollector(lambda: 0.0)
    >>> collector.take("vm-a", False, {"u": 2})
    >>> collector.take("vm-b", False, {"u": 3, "v": 1})
    >>> collector.take("d2", True, {"u": 4})
    >>> collector.others("vm-b"), collector.own_sum()
    ({'u': 6}, {'u': 5, 'v': 1})
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._report_by_source: dict[
            tuple[str, bool], tuple[float, Calls]
        ] = {}

    def take(self, source: str, is_data_center: bool, calls: Calls) -> None:
        """Take a report in place of the one before."""
        key = (source, is_data_center)
        self._report_by_source[key] = (self._now(), calls)

    def others(self, vm: str) -> Calls:
        """Return what all but one VM have in flight."""
        return self._sum(lambda source, is_sum: is_sum or source != vm)

    def own_sum(self) -> Calls:
        """Return what the VMs of this data centre have in flight."""
        return self._sum(lambda source, is_sum: not is_sum)

    def _sum(self, counts: Callable[[str, bool], bool]) -> Calls:
        oldest = self._now() - REPORT_SECONDS
        total: Calls = {}
        for key, (at, calls) in list(self._report_by_source.items()):
            if at < oldest:
                del self._report_by_source[key]
            elif counts(*key):
                for upstream, number in calls.items():
                    total[upstream] = total.get(upstream, 0) + number
        return total


class LoadExchange:
    """Reports this VM's calls, and hears of the others'.

    Parameters
    ==========

    members : Members
        The VMs.
    directory : Directory
        The upstreams, with this VM's calls there.
    configuration : Follower, optional
        What the log has confirmed of the configuration; answers pass it on.
        Only who asks can tell how old it is at the most: reports don't.
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
        self._sightings = sightings_module.Sightings(directory, timers.now)
        self._busy_at = -math.inf
        self._collects_until = -math.inf
        self._avoided = avoidance.AvoidedVms(AVOID_SECONDS, timers.now)

    @property
    def is_collecting(self) -> bool:
        """Whether other VMs report to this one."""
        return self._timers.now() < self._collects_until

    def start(self) -> None:
        """Begin to report."""
        self._timers.call_every(EXCHANGE_SECONDS, self._report)

    def answer(self, report: messages.LoadsReport) -> messages.Loads:
        """Take another VM's report; return what all others have."""
        self._collects_until = self._timers.now() + IDLE_SECONDS
        self._collector.take(
            report.source, report.is_data_center, dict(report.calls)
        )
        self._sightings.collect(report.sightings, report.is_data_center)
        if report.is_data_center:
            return messages.Loads([])
        calls = self._collector.others(report.source)
        end, age = -1, 0.0
        if self._configuration is not None:
            end = self._configuration.confirmed_end
            age = self._configuration.confirmed_age
        return messages.Loads(
            list(calls.items()),
            self._sightings.suspects(),
            end,
            age if end >= 0 else 0.0,
        )

    # -- own ------------------------------------------------------------------

    def _report(self) -> None:
        now = self._timers.now()
        own = self._members.own
        calls = self._own_calls()
        sightings = self._sightings.own()
        if calls or sightings or self._has_heard_since(now - EXCHANGE_SECONDS):
            self._busy_at = now
        if now - self._busy_at > IDLE_SECONDS and now > self._collects_until:
            return
        reachable = [
            member
            for member in (*self._members.listed, own)
            if member not in self._avoided
        ]
        collector = collector_of(reachable, own.data_center)
        if collector is None or collector.name == own.name:
            self._collect(calls, sightings, reachable)
        elif now - self._busy_at <= IDLE_SECONDS:
            report = messages.LoadsReport(
                own.name, False, list(calls.items()), sightings
            )
            answered = functools.partial(self._answered, now)
            self._send(collector, report, answered)

    def _own_calls(self) -> Calls:
        return {
            upstream.incarnation: upstream.in_flight
            for upstream in self._directory.by_id.values()
            if upstream.in_flight
        }

    def _has_heard_since(self, moment: float) -> bool:
        """Return whether there was a call that may have ended already."""
        return any(
            upstream.answered_at >= moment
            for upstream in self._directory.by_id.values()
        )

    def _collect(self, calls: Calls, sightings, reachable) -> None:
        """This VM is the collector: tell those of other data centres."""
        own = self._members.own
        self._collector.take(own.name, False, calls)
        self._sightings.collect(sightings, False)
        self._note(self._collector.others(own.name))
        self._sightings.heed(self._sightings.suspects())
        total = list(self._collector.own_sum().items())
        report = messages.LoadsReport(
            own.data_center, True, total, self._sightings.to_pass_on()
        )
        places = {member.data_center for member in reachable}
        for place in places - {own.data_center}:
            other = collector_of(reachable, place)
            self._send(other, report, lambda status, body: None)

    def _send(self, member, report: messages.LoadsReport, on_answer) -> None:
        request = messages.request_to(
            member.peers,
            messages.LOADS_PATH,
            messages.encode(report),
            ANSWER_SECONDS,
        )
        failed = functools.partial(self._unanswered, member)
        self._http.send(request, transport.AnswerCollector(on_answer, failed))

    def _answered(self, asked_at: float, status: int, body: bytes) -> None:
        if status != 200:
            return
        try:
            loads = messages.decode(messages.Loads, body)
        except errors.PeerError:
            # It may run another version; its answer is no use.
            return
        self._note(dict(loads.calls))
        self._sightings.heed(loads.suspects)
        if self._configuration is not None:
            self._configuration.note_confirmed(
                loads.configuration_end, asked_at - loads.confirmed_age
            )

    def _note(self, calls: Calls) -> None:
        now = self._timers.now()
        for upstream in self._directory.by_id.values():
            upstream.note_others(calls.get(upstream.incarnation, 0), now)

    def _unanswered(self, member, error) -> None:
        self._avoided.add(member)
