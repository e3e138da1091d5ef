"""Detects that the log and all other data centres are unreachable."""

from collections.abc import Callable
import logging
import math

from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import transport

__all__ = ["Isolation"]

LOG = logging.getLogger(__name__)

# Interval of the probes of other VMs while the direct path to the log is lost,
# and their timeout; VMs respond to each other in a few ms.
CHECK_INTERVAL_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 0.2
# Failed rounds in a row that mean isolation; a single one may have met VMs
# that were restarting.
FAILED_ROUNDS = 2
# VMs probed in parallel; one response is enough.
PROBED_VMS = 4
# A VM that calls the log through another one gets a response within this time
# after the loss of its direct path.
SILENCE_SECONDS = 0.3
# The load balancer probes readiness once a second and needs two refusals, so
# callers that still arrive after this time can't be served elsewhere.
CALLER_RETRY_SECONDS = 3.0
# While the path is lost, VMs elsewhere that answer are heard more often than
# this, also with a time-out in between.
HEARD_SECONDS = 0.5
# Time that it takes to append the records which a cut has delayed.
RECENT_SECONDS = 10.0


class Isolation:
    """Detects when other data centres can serve callers better.

    Explanation
    ===========

    In a data centre that is cut off, neither the log nor most upstreams can be
    reached, while every other data centre can continue the same programs from
    the turns in the log.  So the VM reports that it isn't ready, which makes
    the load balancer use other data centres, and has callers that still arrive
    retry, for as long as the balancer takes for that.  Callers that arrive
    later can't be served elsewhere, and get what this VM can do.

    If the log is unreachable for all VMs, other VMs respond to the probes and
    none of this applies.

    Parameters
    ==========

    members : Members
        The VMs to probe; those of other data centres if there are any.
    has_direct_path : callable
        Returns whether the direct path leads to the log.
    silent_seconds : callable
        Returns the seconds since the log responded, by any path.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        timers: transport.Timers,
        members: members_module.Members,
        has_direct_path: Callable[[], bool],
        silent_seconds: Callable[[], float],
    ):
        self._http = http
        self._timers = timers
        self._members = members
        self._is_direct = has_direct_path
        self._silent_seconds = silent_seconds
        self._began_at = math.inf
        self._ended_at = -math.inf
        self._is_confirmed = False
        # Called when the isolation is confirmed, by what was registered.
        self._on_confirmed: dict[object, Callable[[], None]] = {}
        # The last probe that was answered since the path was lost.
        self._heard_at = -math.inf
        self._is_probing = False
        self._failed_rounds = 0
        # Set while the direct path to the log is lost.
        self._checks: transport.TimerHandle | None = None

    def note_path_change(self) -> None:
        """Take note that the direct path to the log was lost or restored."""
        if self._is_direct():
            self._check()
        elif self._checks is None:
            self._checks = self._timers.call_every(
                CHECK_INTERVAL_SECONDS, self._check
            )

    @property
    def is_isolated(self) -> bool:
        """Whether neither the log nor another data centre responds."""
        return self._began_at < math.inf

    @property
    def is_or_was_isolated(self) -> bool:
        """Whether this VM is isolated, or was until a few seconds ago."""
        since = self._timers.now() - self._ended_at
        return self.is_isolated or since < RECENT_SECONDS

    @property
    def callers_should_retry(self) -> bool:
        """Whether callers should retry through the load balancer."""
        if not self.is_isolated:
            return False
        return self._timers.now() - self._began_at < CALLER_RETRY_SECONDS

    def can_retry_elsewhere(self, accepted_at: float) -> bool:
        """Return whether the caller of a call has another way.

        Callers that arrive after the load balancer has noticed the isolation
        have none, and none has if callers are never sent elsewhere.  Nor has
        any while the path to the log is lost and VMs elsewhere answer: this
        VM is not cut off then, and the log may be away for all.
        """
        if self._timers.now() - self._heard_at < HEARD_SECONDS:
            return False
        ends_at = self._began_at + CALLER_RETRY_SECONDS
        return CALLER_RETRY_SECONDS > 0 and accepted_at < ends_at

    # -- for CutDetection -----------------------------------------------------

    @property
    def is_confirmed(self) -> bool:
        """Whether this VM is isolated, as a failure detector has confirmed.

        VMs of other data centres need not be asked anything then.
        """
        return self.is_isolated and self._is_confirmed

    def send_probes(self) -> bool:
        """Send probes to VMs elsewhere; return whether there are any.

        The failure detector sees their responses.
        """
        here = self._members.own.data_center
        targets = [
            member
            for member in self._probe_targets()
            if member.data_center != here
        ]
        if targets:
            _ProbeRound(
                self._http, targets, lambda: None, lambda: None
            ).start()
        return bool(targets)

    def confirm(self, silent_seconds: float) -> None:
        """Begin the isolation: all paths are silent, and probes unanswered."""
        if self.is_isolated:
            return
        self._begin("silence", silent_seconds)
        self._is_confirmed = True
        waiting, self._on_confirmed = self._on_confirmed, {}
        for function in waiting.values():
            self._timers.call_later(0, function)

    def call_when_confirmed(
        self, function: Callable[[], None]
    ) -> Callable[[], None]:
        """Call a function once, at the next confirmation.

        Returns a function that withdraws the call.
        """
        key = object()
        self._on_confirmed[key] = function

        def withdraw() -> None:
            self._on_confirmed.pop(key, None)

        return withdraw

    # -- own ------------------------------------------------------------------

    def _begin(self, by: str, silent_seconds: float) -> None:
        self._began_at = self._timers.now()
        LOG.warning(
            "isolated from the log and other data centres",
            extra={"log_silent": round(silent_seconds, 2), "detected_by": by},
        )

    def _check(self) -> None:
        if self._is_direct():
            if self._checks is not None:
                self._checks.cancel()
                self._checks = None
            self._failed_rounds = 0
            self._heard_at = -math.inf
            self._end("log")
            return
        isolated_seconds = self._timers.now() - self._began_at
        if self.is_confirmed and self._silent_seconds() < isolated_seconds:
            # A VM of this data centre reaches it.
            self._end("log")
        targets = self._probe_targets()
        if targets and not self._is_probing:
            self._is_probing = True
            _ProbeRound(
                self._http, targets, self._probe_answered, self._round_failed
            ).start()

    def _probe_targets(self) -> list[members_module.Member]:
        """Return some VMs elsewhere, of as many data centres as possible."""
        others = self._members.others
        here = self._members.own.data_center
        far = [member for member in others if member.data_center != here]
        first_by_data_center = {member.data_center: member for member in far}
        first = list(first_by_data_center.values())
        rest = [member for member in far or others if member not in first]
        return (first + rest)[:PROBED_VMS]

    def _probe_answered(self) -> None:
        self._is_probing = False
        self._failed_rounds = 0
        self._heard_at = self._timers.now()
        self._end("vm")

    def _round_failed(self) -> None:
        self._is_probing = False
        self._failed_rounds += 1
        silent_seconds = self._silent_seconds()
        if (
            self.is_isolated
            or self._is_direct()
            or silent_seconds < SILENCE_SECONDS
        ):
            return
        if self._failed_rounds < FAILED_ROUNDS:
            return
        self._begin("timeouts", silent_seconds)

    def _end(self, by: str) -> None:
        if not self.is_isolated:
            return
        seconds = self._timers.now() - self._began_at
        self._began_at = math.inf
        self._is_confirmed = False
        self._ended_at = self._timers.now()
        extra = {"answered": by, "seconds": round(seconds, 2)}
        LOG.info("isolation ended", extra=extra)


class _ProbeRound:
    """Probes some VMs; reports each response, or that none came."""

    def __init__(
        self,
        http: transport.HttpClient,
        targets: list[members_module.Member],
        on_answer: Callable[[], None],
        on_failure: Callable[[], None],
    ):
        self._http = http
        self._targets = targets
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._failures = 0

    def start(self) -> None:
        """Send all probes."""
        for member in self._targets:
            request = messages.request_to(
                member.peers, messages.PING_PATH, b"", PROBE_TIMEOUT_SECONDS
            )
            collector = transport.ResponseCollector(
                lambda status, body: self._on_answer(),
                lambda error: self._probe_failed(),
            )
            self._http.send(request, collector)

    def _probe_failed(self) -> None:
        self._failures += 1
        if self._failures == len(self._targets):
            self._on_failure()
