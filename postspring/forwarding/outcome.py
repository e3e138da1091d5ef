"""The outcome of a call: one log line and one count in the metrics."""

from collections.abc import Callable
import logging

from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import routing
from postspring import transport

__all__ = ["Outcome"]

LOG = logging.getLogger("postspring.calls")


class Outcome:
    """Collects the log fields of a call, and reports its outcome once.

    Parameters
    ==========

    inputs : dict
        Versions and ages of the data on which decisions are based.
    """

    def __init__(
        self,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        route: routing.Route | None,
        metrics,
        inputs: dict,
    ):
        self._call = call
        self._metrics = metrics
        self._route = route
        self._fields = {
            "request": facts.request,
            "route": route.name if route else "",
            **inputs,
        }
        if facts.program:
            self._fields["program"] = facts.program
        if facts.previous:
            self._fields["previous"] = facts.previous
        self._reported = False
        self._on_not_run: Callable[[], None] | None = None

    def add(self, **fields) -> None:
        """Add fields to the log line."""
        self._fields.update(fields)

    def note_stop(self) -> None:
        """Add that the stop of this VM ends the call."""
        may_repeat = self._route is not None and self._route.may_repeat
        self.add(at_stop=True, may_repeat=may_repeat)

    def call_if_not_run(self, function: Callable[[], None]) -> None:
        """Set a function to call if the call is refused without running."""
        self._on_not_run = function

    def report(self, outcome: str, now: float, **fields) -> None:
        """Log and count the outcome; later calls do nothing."""
        if self._reported:
            return
        self._reported = True
        seconds = now - self._call.received_at
        kind = self._route.kind.value if self._route else "none"
        self._metrics.calls.add(1, {"kind": kind, "outcome": outcome})
        self._metrics.call_seconds.record(seconds, {"kind": kind})
        LOG.info(
            outcome,
            extra={**self._fields, **fields, "ms": round(seconds * 1000, 1)},
        )

    def report_refusal(self, refusal: refusals.Refusal, now: float) -> None:
        """Log and count a refusal with its reason."""
        if not self._reported:
            ran = "no" if refusal.did_not_run else "unknown"
            self._metrics.refused(refusal.reason, ran)
            if refusal.did_not_run and self._on_not_run is not None:
                self._on_not_run()
        self.report(
            "refused", now, reason=refusal.reason, status=refusal.status
        )
