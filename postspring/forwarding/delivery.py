"""Delivers one call to upstreams, and its answer to a receiver.

A call that may be repeated is tried again after any failure; another one
only if it certainly did not run: the connection could not be made, or the
upstream says so.  A stream that may be resumed goes on at another upstream
behind the last event that was passed on.
"""

import enum

from postspring import errors
from postspring.forwarding import attempts as attempts_module
from postspring.forwarding import choice
from postspring.forwarding import dispatch
from postspring.forwarding import event_splitter
from postspring.forwarding import pace
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import silence_timer
from postspring.forwarding import stream_position
from postspring import routing
from postspring import transport
from postspring import upstreams

__all__ = ["Delivery"]

GATEWAY_TIMEOUT = 504
SERVER_ERROR = 500
NOT_RUN_STATUSES = (408, 421, 429, 503)


class _Phase(enum.Enum):
    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"


class Delivery(transport.HttpListener):
    """One call on its way; :meth:`cancel` breaks it off.

    Parameters
    ==========

    outbound : OutboundCall
        What is sent.
    deadline : float
        Monotonic time by which there has to be an answer.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        outbound: choice.OutboundCall,
        route: routing.Route,
        deadline: float,
        receiver: dispatch.Receiver,
    ):
        self._dispatcher = dispatcher
        self._outbound_call = outbound
        self._route = route
        self._deadline = deadline
        self._receiver = receiver
        self._phase = _Phase.WAITING
        self._service = route.choose_service(dispatcher.draw())
        self._exchange: transport.Exchange | None = None
        self._status = 0
        self._answer = ports.AnswerFacts()
        self._buffer = bytearray()
        self._splitter = event_splitter.EventSplitter()
        self._pace = pace.StreamPace()
        self._position = stream_position.StreamPosition(
            dispatcher.wire.decode_event
        )
        self._silence_timer = silence_timer.SilenceTimer(
            dispatcher.timers,
            None if outbound.only else silence_timer.silence_timeout_of(route),
            self._silent,
        )
        self._timer: transport.TimerHandle | None = None
        self._sent_at = 0.0
        self._holds_place = False
        self._has_begun = False
        self.upstream: upstreams.Upstream | None = None
        self.attempts = attempts_module.Attempts(route, deadline)
        self.resumed = 0

    @property
    def is_done(self) -> bool:
        """Whether the receiver has heard the end."""
        return self._phase is _Phase.DONE

    def start(self) -> None:
        """Send the call to an upstream."""
        remaining = self._deadline - self._dispatcher.timers.now()
        self._timer = self._dispatcher.timers.call_later(
            max(0.0, remaining), self._overdue
        )
        if self._route.may_repeat and self._outbound_call.only is None:
            self._dispatcher.hedges.deposit()
        self._send()

    def cancel(self) -> None:
        """Break the call off; the receiver hears nothing more."""
        if self._phase is _Phase.DONE:
            return
        self._finish()
        if self._exchange is not None:
            self._exchange.cancel()

    def detach(self) -> None:
        """Let the upstream finish; the receiver hears nothing more."""
        self._receiver = dispatch.Receiver()

    def run_out(self) -> None:
        """Give the final answer now: this VM is about to end."""
        if self._phase is _Phase.DONE:
            return
        may_have_run = self.attempts.may_have_run or self._was_sent
        if self._exchange is not None:
            self._exchange.cancel()
        self._settle()
        refusal = refusals.Refusal.SHUTTING_DOWN
        if may_have_run:
            refusal = refusals.Refusal.UNKNOWN_OUTCOME
        self._give_up(refusal, refusals.Refusal.SHUTTING_DOWN.reason)

    # -- sending --------------------------------------------------------------

    def _send(self) -> None:
        upstream = self._outbound_call.choose(
            self._dispatcher, self._service, self.attempts.tried
        )
        if upstream is None:
            self._give_up(self._why_none())
            return
        self.attempts.begin(upstream.incarnation, upstream.has_entry)
        self.upstream = upstream
        upstream.in_flight += 1
        self._holds_place = True
        self._phase = _Phase.SENT
        self._status = 0
        self._buffer.clear()
        self._splitter = event_splitter.EventSplitter()
        self._pace = pace.StreamPace()
        self._silence_timer.start()
        self._sent_at = self._dispatcher.timers.now()
        self._exchange = self._dispatcher.http.send(
            self._request(upstream), self
        )

    def _silent(self) -> None:
        """Leave an upstream from which nothing has come for too long.

        The last attempt keeps all the time that is left, and hedges are a
        small share of calls: when all upstreams are slow they don't help.
        """
        is_plain_answer = self._status and not self._is_stream
        if self._phase is not _Phase.SENT or is_plain_answer:
            return
        if self.attempts.are_last:
            return
        others = self._dispatcher.directory.usable(self._service)
        if all(item.incarnation in self.attempts.tried for item in others):
            return
        if not self._dispatcher.hedges.take():
            return
        self._exchange.cancel()
        self._settle()
        self.upstream.note_failure(self._dispatcher.timers.now())
        self.attempts.note_run()
        self._retry("slow", refusals.Refusal.UNKNOWN_OUTCOME)

    def _why_none(self) -> refusals.Refusal:
        otherwise = refusals.Refusal.NO_UPSTREAM
        if self._dispatcher.directory.is_out_of_reach(self._service):
            otherwise = refusals.Refusal.UPSTREAMS_UNREACHABLE
        return self.attempts.outcome(otherwise)

    def _request(self, upstream: upstreams.Upstream) -> transport.HttpRequest:
        extra = ports.UpstreamExtra(
            self._deadline - self._dispatcher.timers.now(),
            last_event=self._position.last_event,
            weights=self._position.weights,
        )
        return self._outbound_call.request(self._dispatcher, upstream, extra)

    # -- from the exchange ----------------------------------------------------

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Take the answer's head."""
        self.upstream.note_answer(self._dispatcher.timers.now())
        self._status = status
        self._answer = self._dispatcher.wire.decode_answer(status, headers)

    def data(self, chunk: bytes) -> None:
        """Take a part of the answer's body."""
        self.upstream.note_answer(self._dispatcher.timers.now())
        if self._is_stream:
            self._relay(self._splitter.feed(chunk))
        else:
            self._buffer += chunk

    def end(self) -> None:
        """Take note that the answer is complete."""
        self._settle()
        if self._is_stream:
            self._end_stream()
        elif self._answer.not_run:
            self._not_run()
        else:
            self._end_answer()

    def failed(self, error: errors.TransportError) -> None:
        """Take note that the exchange broke."""
        self._settle()
        self._note_failure(error)
        if not error.sent:
            self.attempts.note_unsent()
            self._retry("not_sent", self._why_none())
        else:
            self._break("broken", str(error))

    # -- own ------------------------------------------------------------------

    def _note_failure(self, error: errors.TransportError) -> None:
        """Count a failure; an address that is silent is left alone."""
        now = self._dispatcher.timers.now()
        if error.sent and error.is_broken:
            self.upstream.note_break(self._sent_at, now)
        if error.is_unreachable:
            self._dispatcher.directory.note_unreachable(self.upstream)
        else:
            self.upstream.note_failure(now)

    @property
    def _is_stream(self) -> bool:
        return (
            self._route.kind is routing.CallKind.STREAM
            and 200 <= self._status < 300
        )

    def _relay(self, events: list[bytes]) -> None:
        if not events:
            return
        self._silence_timer.heard()
        self.attempts.note_run()
        if not self._has_begun:
            self._has_begun = True
            if self._route.may_resume:
                self._position.begin(self._answer.weights)
            self._receiver.stream_started(self._status, self._fields())
        if self._route.may_resume and not self._position.follow(events):
            self._exchange.cancel()
            self._settle()
            self._end_broken("out_of_order")
            return
        self._pace.take(len(events), self._dispatcher.timers.now())
        self._receiver.stream_events(events)

    def _end_stream(self) -> None:
        self.upstream.note_success()
        self._pace.tell(self.upstream, self._dispatcher.timers.now())
        if not self._splitter.is_between_events:
            self._break("cut_event", "cut_event")
        elif not self._has_begun:
            self._break("empty_stream", "empty_stream")
        else:
            self._finish()
            self._receiver.stream_ended()

    def _break(self, reason: str, told: str) -> None:
        """The upstream broke off what it may have run; go on elsewhere.

        A stream without ids can't be gone on with.
        """
        self.attempts.note_run()
        if self._has_begun and not self._may_resume:
            self._end_broken(told)
        else:
            self._retry(reason, refusals.Refusal.UNKNOWN_OUTCOME, told)

    @property
    def _may_resume(self) -> bool:
        return (
            self._route.may_resume
            and self._outbound_call.only is None
            and self._position.last_event is not None
        )

    def _end_broken(self, reason: str) -> None:
        self._finish()
        self._receiver.stream_broken(reason)

    def _end_answer(self) -> None:
        self.attempts.note_run()
        if self._status >= SERVER_ERROR and self._status != GATEWAY_TIMEOUT:
            self.upstream.note_failure(self._dispatcher.timers.now())
        else:
            self.upstream.note_success()
        if self._has_begun:
            self._retry("answer", refusals.Refusal.UNKNOWN_OUTCOME)
        elif self._promises_wrongly:
            self._give_up(refusals.Refusal.UNKNOWN_OUTCOME)
        else:
            fields = self._fields()
            self._finish()
            self._receiver.answered(self._status, fields, bytes(self._buffer))

    @property
    def _promises_wrongly(self) -> bool:
        """Whether the status would promise what the upstream does not say.

        Another VM's promise is as good as ours.
        """
        return (
            self._status in NOT_RUN_STATUSES
            and not self._route.may_repeat
            and self._outbound_call.only is None
        )

    def _not_run(self) -> None:
        """The upstream did not run the call: it is full, or another one."""
        answer = self._answer
        if not answer.wrong_upstream:
            self.attempts.note_shed()
        else:
            self.attempts.note_unsent()
            # Its own 421 means that its weights are not the ones asked for.
            if answer.upstream != self.upstream.id:
                self.upstream.leaving = True
        self._retry("shed", refusals.Refusal.UPSTREAMS_REFUSED)

    def _retry(
        self, reason: str, otherwise: refusals.Refusal, told: str = ""
    ) -> None:
        """Try another upstream if that is allowed, or give up."""
        if not self.attempts.allow_another(self._dispatcher.timers.now()):
            self._give_up(self.attempts.outcome(otherwise), told or reason)
            return
        self._dispatcher.metrics.retries.add(1, {"reason": reason})
        self.resumed += self._has_begun
        self._phase = _Phase.WAITING
        self._send()

    def _overdue(self) -> None:
        """The caller has waited as long as it may."""
        if self._has_begun:
            self._timer = self._dispatcher.timers.call_later(
                choice.DEADLINE_SLACK_SECONDS, self._stream_overdue
            )
            return
        timed_out = refusals.Refusal.TIMED_OUT_UNSENT
        if self._was_sent or self.attempts.may_have_run:
            timed_out = refusals.Refusal.TIMED_OUT
        if self._exchange is not None:
            self._exchange.cancel()
        self._settle()
        self._give_up(timed_out)

    @property
    def _was_sent(self) -> bool:
        return self._exchange is not None and self._exchange.sent

    def _stream_overdue(self) -> None:
        if self._phase is _Phase.DONE:
            return
        self._exchange.cancel()
        self._settle()
        self._end_broken("timed_out")

    def _give_up(self, refusal: refusals.Refusal, told: str = "") -> None:
        """Give an answer of our own, or break off what has begun."""
        if self._has_begun:
            self._end_broken(told or refusal.reason)
            return
        self._finish()
        self._receiver.refused(refusal)

    def _fields(self) -> list[tuple[str, str]]:
        raw = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._exchange.header_fields
        ]
        return self._dispatcher.wire.caller_fields(raw, sealed=True)

    def _settle(self) -> None:
        """Give the upstream's place back."""
        if self._holds_place:
            self._holds_place = False
            self.upstream.in_flight -= 1

    def _finish(self) -> None:
        self._settle()
        self._phase = _Phase.DONE
        self._silence_timer.stop()
        if self._timer is not None:
            self._timer.cancel()
