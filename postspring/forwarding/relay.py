"""Base class of the receivers that answer a caller."""

from postspring.forwarding import delivery as delivery_module
from postspring.forwarding import delivery_context
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import transport

__all__ = ["CallerRelay"]


class CallerRelay(delivery_context.Receiver):
    """Relays an upstream's answer to the caller."""

    def __init__(
        self,
        context: delivery_context.DeliveryContext,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        outcome: outcome_module.Outcome,
    ):
        self._context = context
        self._call = call
        self._facts = facts
        self._outcome = outcome
        self._status = 0
        call.on_shutdown_deadline = self._on_shutdown_deadline
        self.delivery: delivery_module.Delivery | None = None

    def answered(self, status: int, fields: list, body: bytes) -> None:
        """Relay a complete answer."""
        self._status = status
        self._call.respond(status, fields, body)
        self.report("answered")

    def stream_started(self, status: int, fields: list) -> None:
        """Start a streamed answer."""
        self._status = status
        self._call.start(status, fields)

    def stream_events(self, events: list[bytes]) -> None:
        """Relay events."""
        self._call.send(b"".join(events))

    def stream_broken(self, reason: str) -> None:
        """Close the connection, so that the answer does not look complete."""
        self._call.abort()
        self.report("broken_off", reason=reason)

    def refuse(
        self, refusal: refusals.Refusal, retry_after: float | None = None
    ) -> None:
        """Answer the caller with a refusal.

        Parameters
        ----------
        retry_after : float or None
            Seconds that replace the refusal's own ``retry_after``.
        """
        now = self._context.timers.now()
        remaining = None
        if self._facts.deadline is not None:
            remaining = self._call.received_at + self._facts.deadline - now
        fields = self._context.wire.own_fields(
            self._facts.request,
            refusal.retry_after_within(remaining, retry_after),
        )
        if refusal is refusals.Refusal.CUT_OFF:
            self._call.close_after_response = True
        self._call.respond(refusal.status, fields)
        self._add_delivery()
        self._outcome.report_refusal(refusal, now)

    def conclude(self) -> None:
        """End the call with a final answer, as this VM is about to stop."""
        if self.delivery is not None:
            self.delivery.conclude()

    def _on_shutdown_deadline(self) -> None:
        self._outcome.note_stop()
        self.conclude()

    def report(self, outcome: str, **fields) -> None:
        """Log and count the call's outcome."""
        self._add_delivery()
        now = self._context.timers.now()
        self._outcome.report(outcome, now, status=self._status, **fields)

    def _add_delivery(self) -> None:
        self._add_crashes()
        delivery = self.delivery
        if delivery is None:
            return
        upstream = delivery.upstream
        self._outcome.add(
            upstream=upstream.id if upstream else "",
            attempts=delivery.attempts.count,
            unsent=delivery.attempts.unsent,
        )
        if upstream:
            self._add_deadlines(delivery)
        if len(delivery.attempts.ran) > 1:
            self._outcome.add(ran=sorted(delivery.attempts.ran))
        without_entry = delivery.attempts.without_entry
        if without_entry:
            self._outcome.add(without_entry=without_entry)
        if delivery.attempts.left_subset:
            self._outcome.add(left_subset=delivery.attempts.left_subset)
        if delivery.attempts.expected_wait_by_id:
            expected = delivery.attempts.expected_wait_by_id
            self._outcome.add(
                expected_wait_ms={
                    upstream_id: round(1000 * seconds)
                    for upstream_id, seconds in expected.items()
                }
            )
        if delivery.resumed:
            self._outcome.add(resumed=delivery.resumed)

    def _add_deadlines(self, delivery: delivery_module.Delivery) -> None:
        """Add the deadline received, and that of the last attempt."""
        self._outcome.add(
            passed_deadline_ms=round(1000 * delivery.passed_deadline)
        )
        if self._facts.deadline is not None:
            deadline_ms = round(1000 * self._facts.deadline)
            self._outcome.add(deadline_ms=deadline_ms)

    def _add_crashes(self) -> None:
        """Add the upstreams that have crashed under the request."""
        fingerprint = self._facts.fingerprint
        crashed = self._context.quarantine.crashed(fingerprint)
        if crashed:
            self._outcome.add(fingerprint=fingerprint, crashed=crashed)
