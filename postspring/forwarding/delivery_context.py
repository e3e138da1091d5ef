"""The collaborators that deliveries share, and the receiver interface."""

from collections.abc import Callable
import dataclasses
import random

from postspring.forwarding import collected_answer
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import quarantine as quarantine_module
from postspring import scheduling
from postspring import transport
from postspring import upstreams

__all__ = ["DeliveryContext", "Receiver"]


class Receiver:
    """Callbacks of a delivery; exactly one final one is called.

    The final ones are :meth:`answered`, :meth:`stream_ended`,
    :meth:`stream_broken` and :meth:`refused`.
    """

    def answered(self, status: int, fields: list, body: bytes) -> None:
        """Handle a complete answer that is not a stream."""

    def stream_started(self, status: int, fields: list) -> None:
        """Handle the head of a stream; its first event follows."""

    def stream_events(self, events: list[bytes]) -> None:
        """Handle complete events of a stream."""

    def stream_ended(self) -> None:
        """Handle the end of a complete stream."""

    def stream_broken(self, reason: str) -> None:
        """Handle a started stream that broke before its end."""

    def refused(self, refusal: refusals.Refusal) -> None:
        """Handle a call that got no answer from an upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeliveryContext:
    """Collaborators that all deliveries of a VM share.

    Parameters
    ==========

    placement : Placement
        Chooses among the upstreams of a service.
    metrics : Metrics
        Counts retries by reason.
    data_center : str
        The data centre of this VM.
    urgency : Urgency
        Maps the standing of a call to the urgency that upstreams receive.
    admission : Admission
        Decides whether a program may begin while upstreams are full.
    draw : callable
        Returns a random number from 0 to 1, which selects a service of the
        route.
    slow_retry_budget : RetryBudget
        Limits the calls that are retried because an upstream is slow.
    subsets : Subsets, optional
        The upstreams that this VM prefers; without it, all are candidates.
    quarantine : Quarantine
        Rejects requests under which upstreams crash.
    answers : AnswerMemory
        Collects answers that are not streams.
    sends_work : callable
        Returns whether a call that has not run could be finished before this
        VM stops.
    """

    http: transport.HttpClient
    timers: transport.Timers
    directory: upstreams.Directory
    placement: scheduling.Placement
    wire: ports.WireFormat
    metrics: object
    answers: collected_answer.AnswerMemory
    data_center: str = ""
    urgency: scheduling.Urgency = scheduling.urgency_by_name["none"]()
    admission: scheduling.Admission = scheduling.admission_by_name["none"]()
    draw: Callable[[], float] = random.random
    slow_retry_budget: scheduling.RetryBudget = dataclasses.field(
        default_factory=scheduling.RetryBudget
    )
    subsets: upstreams.Subsets | None = None
    quarantine: quarantine_module.Quarantine = quarantine_module.NoQuarantine()
    sends_work: Callable[[], bool] = lambda: True

    def refusal_without_upstream(self, service: str) -> refusals.Refusal:
        """Return why a call that has not run is sent to no upstream."""
        if not self.sends_work():
            return refusals.Refusal.SHUTTING_DOWN
        if self.directory.is_service_unreachable(service):
            return refusals.Refusal.UPSTREAMS_UNREACHABLE
        return refusals.Refusal.NO_UPSTREAM

    def caller_fields(self, exchange: transport.Exchange) -> ports.Fields:
        """Return the header fields of an upstream's answer to relay."""
        raw = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in exchange.header_fields
        ]
        return self.wire.caller_fields(raw, sealed=True)
