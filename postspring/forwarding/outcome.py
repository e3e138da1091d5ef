"""What a call came to: one log line and one count for each."""

from collections.abc import Callable
import logging

from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import routing
from postspring import transport

__all__ = ["Outcome"]

LOG = logging.getLogger("postspring.calls")


class Outcome:
    """Collects what decided a call, and reports it once.

    Parameters
    ==========

    inputs : dict
        What the decision rested on: versions, ages.
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
        """Add what else decided."""
        self._fields.update(fields)

    def call_if_not_run(self, function: Callable[[], None]) -> None:
        """Call a function if the call is refused, as not run."""
        self._on_not_run = function

    def report(self, text: str, now: float, **fields) -> None:
        """Write the line, once."""
        if self._reported:
            return
        self._reported = True
        seconds = now - self._call.received_at
        kind = self._route.kind.value if self._route else "none"
        self._metrics.calls.add(1, {"kind": kind, "outcome": text})
        self._metrics.call_seconds.record(seconds, {"kind": kind})
        LOG.info(
            text,
            extra={**self._fields, **fields, "ms": round(seconds * 1000, 1)},
        )

    def report_refusal(self, refusal: refusals.Refusal, now: float) -> None:
        """Write the line of a refusal, and count its reason."""
        if not self._reported:
            ran = "no" if refusal.did_not_run else "unknown"
            self._metrics.refused(refusal.reason, ran)
            if refusal.did_not_run and self._on_not_run is not None:
                self._on_not_run()
        self.report(
            "refused", now, reason=refusal.reason, status=refusal.status
        )
