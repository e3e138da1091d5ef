"""Delivers one call to upstreams, and its answer to a receiver.

A call that may run more than once is retried after any failure.  Other calls
are retried only if they certainly did not run: the connection could not be
made, or the upstream states it.  A stream that may be resumed continues at
another upstream after the last event that the receiver got.
"""

import enum

from postspring import errors
from postspring.forwarding import answer_checks
from postspring.forwarding import attempts as attempts_module
from postspring.forwarding import crash_guard
from postspring.forwarding import delivery_context
from postspring.forwarding import outbound_call
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import silence_timer
from postspring.forwarding import stream_position
from postspring.forwarding import upstream_use
from postspring import routing
from postspring import transport
from postspring import upstreams

__all__ = ["Delivery"]


class _Phase(enum.Enum):
    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"


class Delivery(transport.HttpListener):
    """One call from its first attempt to its final answer.

    Parameters
    ==========

    outbound : OutboundCall
        The call to send.
    deadline : float
        Monotonic time by which the call has to be answered.
    """

    def __init__(
        self,
        context: delivery_context.DeliveryContext,
        outbound: outbound_call.OutboundCall,
        route: routing.Route,
        deadline: float,
        receiver: delivery_context.Receiver,
    ):
        self._context = context
        self._outbound_call = outbound
        self._route = route
        self._deadline = deadline
        self._receiver = receiver
        self._phase = _Phase.WAITING
        self._crash_guard = crash_guard.CrashGuard(
            context.quarantine, outbound
        )
        self._service = route.choose_service(context.draw())
        self._exchange: transport.Exchange | None = None
        self._status = 0
        self._answer = ports.ResponseFacts()
        self._collected = context.answers.collect()
        self._use: upstream_use.UpstreamUse | None = None
        self._position = stream_position.StreamPosition(
            context.wire.decode_event
        )
        self._silence_timer = silence_timer.SilenceTimer(
            context.timers,
            None if outbound.only else silence_timer.silence_timeout_of(route),
        )
        self._timer: transport.TimerHandle | None = None
        self._has_started = False
        self.upstream: upstreams.Upstream | None = None
        request = outbound.facts.request
        self.attempts = attempts_module.Attempts(route, deadline, request)
        # Seconds that the last upstream was given.
        self.passed_deadline = 0.0
        self.resumed = 0

    @property
    def is_done(self) -> bool:
        """Whether the delivery has ended."""
        return self._phase is _Phase.DONE

    def start(self) -> None:
        """Start the first attempt and the deadline timer."""
        remaining = self._deadline - self._context.timers.now()
        self._timer = self._context.timers.call_later(
            max(0.0, remaining), self._on_deadline
        )
        if self._route.may_repeat and self._outbound_call.only is None:
            self._context.slow_retry_budget.deposit()
        self._send()

    def cancel(self) -> None:
        """Cancel the call; the receiver gets no further callbacks."""
        if self._phase is _Phase.DONE:
            return
        self._finish()
        if self._exchange is not None:
            self._exchange.cancel()

    def detach(self) -> None:
        """Let the upstream finish; the receiver gets no further callbacks."""
        self._receiver = delivery_context.Receiver()

    def conclude(self) -> None:
        """Report the end of the call now, as this VM is about to stop."""
        if self._phase is _Phase.DONE:
            return
        may_have_run = self.attempts.may_have_run or self._was_sent
        self._abandon_attempt()
        refusal = refusals.Refusal.SHUTTING_DOWN
        if may_have_run:
            refusal = refusals.Refusal.UNKNOWN_OUTCOME
        self._give_up(refusal, refusals.Refusal.SHUTTING_DOWN.reason)

    # -- sending --------------------------------------------------------------

    def _send(self) -> None:
        upstream = self._outbound_call.choose(
            self._context, self._service, self.attempts
        )
        if upstream is None:
            self._give_up(self._refusal_without_upstream())
            return
        self.attempts.begin(upstream.incarnation, upstream.has_entry)
        self.upstream = upstream
        self._use = self._outbound_call.use(self._context, upstream)
        self._phase = _Phase.SENT
        self._status = 0
        self._collected.clear()
        self._silence_timer.start(self._on_silence)
        self._exchange = self._context.http.send(self._request(upstream), self)

    def _on_silence(self) -> None:
        """Retry the call at another upstream, as the current one is silent.

        The last attempt may use all the remaining time.  A budget limits
        such retries, which don't help when all upstreams are slow.
        """
        is_plain_answer = self._status and not self._is_stream
        if self._phase is not _Phase.SENT or is_plain_answer:
            return
        if not outbound_call.may_leave_silent_upstream(
            self._context, self._service, self.attempts
        ):
            return
        self._abandon_attempt()
        self.upstream.note_failure(self._context.timers.now())
        self.attempts.note_run()
        self._retry("slow", refusals.Refusal.UNKNOWN_OUTCOME)

    def _refusal_without_upstream(self) -> refusals.Refusal:
        return self.attempts.final_refusal(
            self._context.refusal_without_upstream(self._service)
        )

    def _request(self, upstream: upstreams.Upstream) -> transport.HttpRequest:
        self.passed_deadline = self._deadline - self._context.timers.now()
        extra = ports.UpstreamExtra(
            self.passed_deadline,
            last_event=self._position.last_event,
            weights=self._position.weights,
        )
        return self._outbound_call.request(self._context, upstream, extra)

    # -- callbacks of the exchange --------------------------------------------

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Handle the status line and header fields of the answer."""
        self.upstream.note_answer(self._context.timers.now())
        self._status = status
        self._answer = self._context.wire.decode_response(status, headers)
        if answer_checks.is_uncountable_success(status, self._answer):
            self._reject_answer("uncountable")
        elif not self._is_stream:
            self._collected.begin(status, self._exchange)
            self._check_length()

    def data(self, chunk: bytes) -> None:
        """Handle a part of the answer's body."""
        self.upstream.note_answer(self._context.timers.now())
        if self._is_stream:
            self._relay(self._collected.split(chunk, self._exchange))
        else:
            self._collected.add(chunk, self._exchange)
        self._check_length()

    def end(self) -> None:
        """Handle the end of a complete answer."""
        self._release_upstream()
        self._use.report_end(self._exchange)
        if self._is_stream:
            self._end_stream()
        elif self._answer.not_run:
            self._handle_rejection()
        else:
            self._end_answer()

    def failed(self, error: errors.TransportError) -> None:
        """Handle a failed exchange."""
        self._release_upstream()
        self._use.report_end(self._exchange)
        self._use.note_failure(
            self._context.directory, error, self._context.timers.now()
        )
        if not error.sent:
            self.attempts.note_unsent()
            self._retry("not_sent", self._refusal_without_upstream())
        else:
            self._handle_break("broken", str(error), error.is_broken)

    # -- own ------------------------------------------------------------------

    @property
    def _is_stream(self) -> bool:
        return (
            self._route.kind is routing.CallKind.STREAM
            and 200 <= self._status < 300
        )

    def _relay(self, events: list[bytes]) -> None:
        if not events:
            return
        self._silence_timer.reset()
        self.attempts.note_run()
        if not self._has_started:
            self._has_started = True
            if self._route.may_resume:
                self._position.begin(self._answer.weights)
            self._receiver.stream_started(
                self._status, self._context.caller_fields(self._exchange)
            )
        if self._route.may_resume and not self._position.advance(events):
            self._abandon_attempt()
            self._report_broken("out_of_order")
            return
        self._use.pace.note_events(len(events), self._context.timers.now())
        self._receiver.stream_events(events)

    def _end_stream(self) -> None:
        self.upstream.note_success()
        self._use.pace.report(self._context.timers.now())
        if not self._collected.is_between_events:
            self._handle_break("cut_event", "cut_event")
        elif not self._has_started:
            self._handle_break("empty_stream", "empty_stream")
        else:
            self._crash_guard.note_completed()
            self._finish().stream_ended()

    def _check_length(self) -> None:
        """Reject an answer, or an event, that can't be collected."""
        if self._collected.is_too_long:
            self._use.report_too_long(self._exchange, self._collected)
            self._reject_answer("answer_too_long")

    def _reject_answer(self, reason: str) -> None:
        """Read no more of a failed answer."""
        self._abandon_attempt()
        self.upstream.note_failure(self._context.timers.now())
        self._handle_break(reason, reason, may_have_crashed=False)

    def _handle_break(
        self, reason: str, detail: str, may_have_crashed: bool = True
    ) -> None:
        """Handle a call that broke after it may have run.

        The decision on a retry waits until it is known whether the upstream
        has crashed.
        """
        self.attempts.note_run()
        self._phase = _Phase.WAITING
        self._collected.clear()
        self._crash_guard.note_broken(
            self.upstream,
            may_have_crashed,
            lambda: self._go_on(reason, detail),
        )

    def _go_on(self, reason: str, detail: str) -> None:
        """Retry or resume a broken call.

        A started stream whose events have no ids can't be resumed.
        """
        if self._phase is _Phase.DONE:
            return
        if self._has_started and not self._may_resume:
            self._report_broken(detail)
        else:
            self._retry(reason, refusals.Refusal.UNKNOWN_OUTCOME, detail)

    @property
    def _may_resume(self) -> bool:
        return (
            self._route.may_resume
            and self._outbound_call.only is None
            and self._position.last_event is not None
        )

    def _report_broken(self, reason: str) -> None:
        self._finish().stream_broken(reason)

    def _end_answer(self) -> None:
        self.attempts.note_run()
        self._use.note_status(self._status, self._context.timers.now())
        if self._has_started:
            self._retry("answer", refusals.Refusal.UNKNOWN_OUTCOME)
        elif answer_checks.is_unproven_refusal(
            self._status, self._route, self._outbound_call.only is not None
        ):
            self._give_up(refusals.Refusal.UNKNOWN_OUTCOME)
        else:
            self._crash_guard.note_completed()
            fields = self._context.caller_fields(self._exchange)
            body = self._collected.take()
            self._finish().answered(self._status, fields, body)

    def _handle_rejection(self) -> None:
        """Retry a call that the upstream did not run, as its answer states."""
        self.attempts.note_rejection(
            self._answer, self.upstream, self._position.weights
        )
        self._retry("shed", refusals.Refusal.UPSTREAMS_REFUSED)

    def _retry(
        self, reason: str, if_not_run: refusals.Refusal, detail: str = ""
    ) -> None:
        """Send the call again if that is allowed, or give up."""
        if not (
            self.attempts.allows_retry(self._context.timers.now())
            and self._crash_guard.allows_retry
        ):
            refusal = self.attempts.final_refusal(if_not_run)
            self._give_up(refusal, detail or reason)
            return
        self._context.metrics.retries.add(1, {"reason": reason})
        self.resumed += self._has_started
        self._phase = _Phase.WAITING
        self._send()

    def _on_deadline(self) -> None:
        """Give up at the deadline; a started stream gets a little longer."""
        if self._has_started:
            self._timer = self._context.timers.call_later(
                outbound_call.DEADLINE_SLACK_SECONDS, self._on_stream_deadline
            )
            return
        timed_out = refusals.Refusal.TIMED_OUT_UNSENT
        if self._was_sent or self.attempts.may_have_run:
            timed_out = refusals.Refusal.TIMED_OUT
        self._abandon_attempt()
        self._give_up(timed_out)

    @property
    def _was_sent(self) -> bool:
        return self._exchange is not None and self._exchange.sent

    def _on_stream_deadline(self) -> None:
        if self._phase is _Phase.DONE:
            return
        self._abandon_attempt()
        self._report_broken("timed_out")

    def _give_up(self, refusal: refusals.Refusal, detail: str = "") -> None:
        """Refuse the call, or report a started stream as broken."""
        if self._has_started:
            self._report_broken(detail or refusal.reason)
            return
        self._finish().refused(refusal)

    def _abandon_attempt(self) -> None:
        """Cancel the exchange and release the upstream."""
        if self._exchange is not None:
            self._exchange.cancel()
        self._release_upstream()

    def _release_upstream(self) -> None:
        """Stop counting the call as in flight at the upstream."""
        if self._use is not None:
            self._use.release()

    def _finish(self) -> delivery_context.Receiver:
        """End the delivery; return the receiver, for its last callback."""
        self._release_upstream()
        self._phase = _Phase.DONE
        self._collected.clear()
        self._silence_timer.stop()
        if self._timer is not None:
            self._timer.cancel()
        receiver, self._receiver = self._receiver, delivery_context.Receiver()
        return receiver
