"""Delivers one call to upstreams, and its answer to a receiver.

A call that may be repeated is tried again after any failure; another one
only if it certainly did not run: the connection could not be made, or the
upstream says so.
"""

import enum
import logging

from postspring import errors
from postspring.forwarding import choice
from postspring.forwarding import dispatch
from postspring.forwarding import event_splitter
from postspring.forwarding import pace
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import routing
from postspring import transport
from postspring import upstreams

__all__ = ["Delivery"]

LOG = logging.getLogger(__name__)

# Sends that certainly did not run, after which a call is given up.
MAX_UNSENT = 4
GATEWAY_TIMEOUT = 504
SERVER_ERROR = 500
NOT_RUN_STATUSES = (408, 421, 429, 503)


class _Phase(enum.Enum):
    WAITING = "waiting"
    SENT = "sent"
    STREAMING = "streaming"
    DONE = "done"


class Delivery(transport.HttpListener):
    """One call on its way; :meth:`cancel` breaks it off.

    Parameters
    ==========

    deadline : float
        Monotonic time by which there has to be an answer.
    preferred : str
        Id of the upstream that has the call's history in memory.
    only : Upstream, optional
        The one place that the call may be sent to: another VM.
    extra_fields : tuple
        Header fields to add.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        route: routing.Route,
        body: bytes,
        deadline: float,
        receiver: dispatch.Receiver,
        preferred: str = "",
        only: upstreams.Upstream | None = None,
        extra_fields: tuple[tuple[str, str], ...] = (),
    ):
        self._only = only
        self._extra_fields = extra_fields
        self._dispatcher = dispatcher
        self._call = call
        self._facts = facts
        self._route = route
        self._body = body
        self._deadline = deadline
        self._receiver = receiver
        self._preferred = preferred
        self._phase = _Phase.WAITING
        self._service = route.choose_service(dispatcher.draw())
        self._tried: set[str] = set()
        self._exchange: transport.Exchange | None = None
        self._status = 0
        self._answer = ports.AnswerFacts()
        self._buffer = bytearray()
        self._splitter = event_splitter.EventSplitter()
        self._pace = pace.StreamPace()
        self._timer: transport.TimerHandle | None = None
        self._hedge: transport.TimerHandle | None = None
        self._holds_place = False
        self.upstream: upstreams.Upstream | None = None
        self.attempts = 0
        self.unsent = 0
        self.may_have_run = False

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

    # -- sending --------------------------------------------------------------

    def _send(self) -> None:
        upstream = self._choose()
        if upstream is None:
            self._refuse(self._why_none())
            return
        self._tried.add(upstream.id)
        self.upstream = upstream
        upstream.in_flight += 1
        self._holds_place = True
        self._phase = _Phase.SENT
        self._status = 0
        self._buffer.clear()
        self._plan_hedge()
        self._exchange = self._dispatcher.http.send(
            self._request(upstream), self
        )

    def _plan_hedge(self) -> None:
        """A call that may run twice does not wait for a slow upstream."""
        if not self._route.may_repeat or self._only is not None:
            return
        if self._hedge is None:
            self._dispatcher.hedges.deposit()
        else:
            self._hedge.cancel()
        self._hedge = self._dispatcher.timers.call_later(
            self._route.objective, self._try_elsewhere
        )

    def _try_elsewhere(self) -> None:
        """Leave an upstream that has not answered within the objective.

        The last attempt keeps all the time that is left, and hedges are a
        small share of calls: when all upstreams are slow they don't help.
        """
        if self._phase is not _Phase.SENT or self._status:
            return
        if self.attempts + 1 >= self._route.max_attempts:
            return
        others = self._dispatcher.directory.usable(self._service)
        if all(item.id in self._tried for item in others):
            return
        if not self._dispatcher.hedges.take():
            return
        self._exchange.cancel()
        self._settle()
        self.upstream.note_failure(self._dispatcher.timers.now())
        self.may_have_run = True
        self.attempts += 1
        self._retry("slow", refusals.Refusal.UNKNOWN_OUTCOME)

    def _why_none(self) -> refusals.Refusal:
        if self.may_have_run:
            return refusals.Refusal.UNKNOWN_OUTCOME
        if self._dispatcher.directory.is_out_of_reach(self._service):
            return refusals.Refusal.UPSTREAMS_UNREACHABLE
        return refusals.Refusal.NO_UPSTREAM

    def _choose(self) -> upstreams.Upstream | None:
        if self._only is not None:
            return None if self._only.id in self._tried else self._only
        order = choice.Order(
            self._preferred,
            self._facts.affinity_key,
            self._dispatcher.data_center,
            self._dispatcher.timers.now(),
        )
        return choice.choose_upstream(
            self._dispatcher, self._service, self._tried, order
        )

    def _request(self, upstream: upstreams.Upstream) -> transport.HttpRequest:
        remaining = self._deadline - self._dispatcher.timers.now()
        return choice.upstream_request(
            self._dispatcher,
            upstream,
            self._call,
            self._body,
            remaining,
            self._extra_fields,
            self._is_answer,
        )

    def _is_answer(self, headers: dict[str, str]) -> bool:
        answer = self._dispatcher.wire.decode_answer(0, headers)
        return answer.request in ("", self._facts.request)

    # -- from the exchange ----------------------------------------------------

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Take the answer's head."""
        self._status = status
        self._answer = self._dispatcher.wire.decode_answer(status, headers)

    def data(self, chunk: bytes) -> None:
        """Take a part of the answer's body."""
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
        upstream = self.upstream
        self._settle()
        self._note_failure(upstream, error)
        if self._phase is _Phase.STREAMING:
            self._finish()
            self._receiver.stream_broken(str(error))
        elif not error.sent:
            self._retry("not_sent", self._why_none())
        else:
            self.may_have_run = True
            self.attempts += 1
            self._retry("broken", refusals.Refusal.UNKNOWN_OUTCOME)

    # -- own ------------------------------------------------------------------

    def _note_failure(
        self, upstream: upstreams.Upstream, error: errors.TransportError
    ) -> None:
        """Count a failure; an address that is silent is left alone."""
        now = self._dispatcher.timers.now()
        if error.is_unreachable:
            self._dispatcher.directory.note_unreachable(upstream)
        else:
            upstream.note_failure(now)

    @property
    def _is_stream(self) -> bool:
        return (
            self._route.kind is routing.CallKind.STREAM
            and 200 <= self._status < 300
        )

    def _relay(self, events: list[bytes]) -> None:
        if not events:
            return
        if self._phase is not _Phase.STREAMING:
            self._phase = _Phase.STREAMING
            self.may_have_run = True
            self.attempts += 1
            self._receiver.stream_started(self._status, self._fields())
        self._pace.take(len(events), self._dispatcher.timers.now())
        self._receiver.stream_events(events)

    def _end_stream(self) -> None:
        started = self._phase is _Phase.STREAMING
        self._finish()
        self.upstream.note_success()
        self._pace.tell(self.upstream, self._dispatcher.timers.now())
        if not self._splitter.is_between_events:
            self._end_broken(started, "cut_event")
        elif not started:
            self._end_broken(started, "empty_stream")
        else:
            self._receiver.stream_ended()

    def _end_broken(self, started: bool, reason: str) -> None:
        self.may_have_run = True
        if started:
            self._receiver.stream_broken(reason)
        else:
            self._receiver.refused(refusals.Refusal.UNKNOWN_OUTCOME)

    def _end_answer(self) -> None:
        self.may_have_run = True
        self.attempts += 1
        if self._status >= SERVER_ERROR and self._status != GATEWAY_TIMEOUT:
            self.upstream.note_failure(self._dispatcher.timers.now())
        else:
            self.upstream.note_success()
        if self._promises_wrongly:
            self._refuse(refusals.Refusal.UNKNOWN_OUTCOME)
            return
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
            and self._only is None
        )

    def _not_run(self) -> None:
        """The upstream did not run the call: it is full, or another one."""
        if self._answer.wrong_upstream:
            self.upstream.leaving = True
        else:
            self.attempts += 1
        self._retry("shed", refusals.Refusal.UPSTREAMS_REFUSED)

    def _retry(self, reason: str, otherwise: refusals.Refusal) -> None:
        """Try another upstream if that is allowed, or give up."""
        ran = self.may_have_run
        now = self._dispatcher.timers.now()
        self.unsent += reason in ("not_sent", "shed")
        if (
            (ran and not self._route.may_repeat)
            or self.attempts >= self._route.max_attempts
            or self.unsent > MAX_UNSENT
            or now >= self._deadline
        ):
            self._refuse(
                refusals.Refusal.UNKNOWN_OUTCOME if ran else otherwise
            )
            return
        self._dispatcher.metrics.retries.add(1, {"reason": reason})
        self._phase = _Phase.WAITING
        self._send()

    def _overdue(self) -> None:
        """The caller has waited as long as it may."""
        if self._phase is _Phase.STREAMING:
            self._timer = self._dispatcher.timers.call_later(
                choice.DEADLINE_SLACK_SECONDS, self._stream_overdue
            )
            return
        sent = self._exchange is not None and self._exchange.sent
        timed_out = refusals.Refusal.TIMED_OUT_UNSENT
        if sent or self.may_have_run:
            timed_out = refusals.Refusal.TIMED_OUT
        if self._exchange is not None:
            self._exchange.cancel()
        self._settle()
        self._refuse(timed_out)

    def _stream_overdue(self) -> None:
        if self._phase is not _Phase.STREAMING:
            return
        self._exchange.cancel()
        self._settle()
        self._finish()
        self._receiver.stream_broken("timed_out")

    def _refuse(self, refusal: refusals.Refusal) -> None:
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
        for timer in (self._timer, self._hedge):
            if timer is not None:
                timer.cancel()
