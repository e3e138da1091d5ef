"""Tells other VMs of upstreams that crashed under requests.

A caller sends a request again through another VM, some ms after it was
answered.  So a VM tells all VMs of its data centre before that, and one of
each other data centre, which tells those there.  A VM that can't be reached,
or was started since, goes on with what it knows: each side of a network
partition may lose as many upstreams to a request as the quarantine allows.
"""

from collections.abc import Callable
from collections.abc import Iterable

from postspring.peering import loads
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import quarantine
from postspring import transport
from postspring.transport import timers as timers_module
from postspring import upstreams

__all__ = ["CrashExchange"]

# Least pause between two reports of a VM, in seconds: when a rack fails, many
# requests become suspects within some ms.
BATCH_SECONDS = 0.01
ANSWER_TIMEOUT_SECONDS = 0.3
# Longest wait of a caller for the answers of the other VMs, in seconds.
MAX_WAIT_SECONDS = 0.05
# Most requests in one report; about 200 bytes each.
MAX_REQUESTS_PER_REPORT = 200


class CrashExchange:
    """Sends and takes reports of crashes.

    Parameters
    ==========

    members : Members
        The list of VMs.
    policy : Quarantine
        Takes what other VMs know.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        timers: timers_module.Timers,
        members: members_module.Members,
        policy: quarantine.Quarantine,
    ):
        self._http = http
        self._timers = timers
        self._members = members
        self._policy = policy
        self._unsent: dict[
            quarantine.Fingerprint, quarantine.RequestCrashes
        ] = {}
        self._untold: list[Callable[[], None]] = []
        self._is_scheduled = False

    def publish(
        self,
        report: quarantine.RequestCrashes,
        on_told: Callable[[], None] = lambda: None,
    ) -> None:
        """Tell other VMs what is known of a request.

        Parameters
        ----------
        on_told : callable
            Called once the VMs of this data centre have answered, or do not.
        """
        self._unsent[report.fingerprint] = report
        self._untold.append(on_told)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._timers.call_later(0, self._send_unsent)

    def take(self, report: messages.CrashesReport) -> None:
        """Add another VM's report; pass on one from another data centre."""
        for fingerprint, crashed, cleared in report.requests:
            self._policy.merge(
                quarantine.RequestCrashes(
                    quarantine.Fingerprint(fingerprint),
                    tuple(map(upstreams.IncarnationId, crashed)),
                    tuple(map(upstreams.IncarnationId, cleared)),
                )
            )
        own = self._members.own
        if report.data_center != own.data_center:
            passed_on = messages.CrashesReport(
                own.data_center, report.requests
            )
            self._send(passed_on, self._near())

    # -- own ------------------------------------------------------------------

    def _send_unsent(self) -> None:
        self._is_scheduled = bool(self._unsent)
        if not self._unsent:
            return
        fingerprints = list(self._unsent)[:MAX_REQUESTS_PER_REPORT]
        found = [self._unsent.pop(item) for item in fingerprints]
        report = messages.CrashesReport(
            self._members.own.data_center,
            [
                (item.fingerprint, list(item.crashed), list(item.cleared))
                for item in found
            ],
        )
        near = self._near()
        told = _Countdown(self._timers, len(near), self._untold)
        self._untold = []
        self._send(report, near, told.count)
        self._send_far(report)
        self._timers.call_later(BATCH_SECONDS, self._send_unsent)

    def _near(self) -> list[members_module.Member]:
        here = self._members.own.data_center
        return [
            member
            for member in self._members.listed
            if member.data_center == here
        ]

    def _send_far(self, report: messages.CrashesReport) -> None:
        """Send a report to one VM of each other data centre."""
        here = self._members.own.data_center
        far = [
            member
            for member in self._members.listed
            if member.data_center != here
        ]
        for data_center in {member.data_center for member in far}:
            self._send_to_one(report, far, data_center)

    def _send_to_one(
        self,
        report: messages.CrashesReport,
        members: list[members_module.Member],
        data_center: str,
    ) -> None:
        """Send a report to a VM of a data centre, or else to the next one."""
        member = loads.collector_of(members, data_center)
        if member is None:
            return
        others = [item for item in members if item is not member]

        def answered(is_told: bool) -> None:
            if not is_told:
                self._send_to_one(report, others, data_center)

        self._send(report, [member], answered)

    def _send(
        self,
        report: messages.CrashesReport,
        receivers: Iterable[members_module.Member],
        on_answer: Callable[[bool], None] = lambda is_told: None,
    ) -> None:
        body = messages.encode(report)
        for member in receivers:
            request = messages.request_to(
                member.peers,
                messages.CRASHES_PATH,
                body,
                ANSWER_TIMEOUT_SECONDS,
            )
            self._http.send(
                request,
                transport.ResponseCollector(
                    lambda status, body: on_answer(True),
                    lambda error: on_answer(False),
                ),
            )


class _Countdown:
    """Calls functions after some answers, or after a short time."""

    def __init__(
        self,
        timers: timers_module.Timers,
        count: int,
        functions: list[Callable[[], None]],
    ):
        self._left = count
        self._functions = functions
        self._timer = timers.call_later(MAX_WAIT_SECONDS, self._end)
        if not count:
            self._end()

    def count(self, is_told: bool) -> None:
        """Count an answer, or that there is none."""
        self._left -= 1
        if not self._left:
            self._end()

    def _end(self) -> None:
        self._timer.cancel()
        functions, self._functions = self._functions, []
        for function in functions:
            function()
