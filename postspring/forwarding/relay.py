"""What all receivers that answer a caller have in common."""

from postspring.forwarding import delivery as delivery_module
from postspring.forwarding import dispatch
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import transport

__all__ = ["CallerRelay"]


class CallerRelay(dispatch.Receiver):
    """Passes an upstream's answer on to the caller."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        outcome: outcome_module.Outcome,
    ):
        self._dispatcher = dispatcher
        self._call = call
        self._facts = facts
        self._outcome = outcome
        self._status = 0
        call.on_out_of_time = self.out_of_time
        self.delivery: delivery_module.Delivery | None = None

    def answered(self, status: int, fields: list, body: bytes) -> None:
        """Pass a whole answer on."""
        self._status = status
        self._call.respond(status, fields, body)
        self.report("answered")

    def stream_started(self, status: int, fields: list) -> None:
        """Begin the answer."""
        self._status = status
        self._call.start(status, fields)

    def stream_events(self, events: list[bytes]) -> None:
        """Pass events on."""
        self._call.send(b"".join(events))

    def stream_broken(self, reason: str) -> None:
        """Close the connection: the answer must not look complete."""
        self._call.abort()
        self.report("broken_off", reason=reason)

    def refuse(
        self, refusal: refusals.Refusal, retry_after: float | None = None
    ) -> None:
        """Give an answer of our own.

        Parameters
        ----------
        retry_after : float or None
            When to come back, in seconds, if the refusal does not say it.
        """
        now = self._dispatcher.timers.now()
        remaining = None
        if self._facts.deadline is not None:
            remaining = self._call.received_at + self._facts.deadline - now
        fields = self._dispatcher.wire.own_fields(
            self._facts.request,
            refusal.retry_after_within(remaining, retry_after),
        )
        if refusal is refusals.Refusal.CUT_OFF:
            self._call.close_after = True
        self._call.respond(refusal.status, fields)
        self._add_delivery()
        self._outcome.report_refusal(refusal, now)

    def out_of_time(self) -> None:
        """Have the final answer given: this VM is about to end."""
        if self.delivery is not None:
            self.delivery.run_out()

    def report(self, text: str, **fields) -> None:
        """Log and count the call's outcome."""
        self._add_delivery()
        now = self._dispatcher.timers.now()
        self._outcome.report(text, now, status=self._status, **fields)

    def _add_delivery(self) -> None:
        delivery = self.delivery
        if delivery is None:
            return
        upstream = delivery.upstream
        self._outcome.add(
            upstream=upstream.id if upstream else "",
            attempts=delivery.attempts.count,
            unsent=delivery.attempts.unsent,
        )
        without_entry = delivery.attempts.without_entry
        if without_entry:
            self._outcome.add(without_entry=without_entry)
        if delivery.resumed:
            self._outcome.add(resumed=delivery.resumed)
