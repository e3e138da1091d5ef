"""What deliveries share, and who hears of them."""

from collections.abc import Callable
import dataclasses
import random

from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import scheduling
from postspring import transport
from postspring import upstreams

__all__ = ["Dispatcher", "Receiver"]


class Receiver:
    """What a delivery's user implements; exactly one end is reported.

    The ends are :meth:`answered`, :meth:`stream_ended`,
    :meth:`stream_broken` and :meth:`refused`.
    """

    def answered(self, status: int, fields: list, body: bytes) -> None:
        """Take a whole answer."""

    def stream_started(self, status: int, fields: list) -> None:
        """Take the head of a stream; its first event follows."""

    def stream_events(self, events: list[bytes]) -> None:
        """Take whole events of a stream."""

    def stream_ended(self) -> None:
        """Take note that the stream is complete."""

    def stream_broken(self, reason: str) -> None:
        """Take note that a started stream ended early."""

    def refused(self, refusal: refusals.Refusal) -> None:
        """Take note that there is no answer, and why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatcher:
    """What all deliveries of a VM share.

    Parameters
    ==========

    placement : Placement
        Chooses among the upstreams of a service.
    metrics : Metrics
        Counts retries by reason.
    data_center : str
        This VM's.
    urgency : Urgency
        What upstreams are told of a call's rank.
    hedges : RetryBudget
        How many slow calls may be tried elsewhere.
    """

    http: transport.HttpClient
    timers: transport.Timers
    directory: upstreams.Directory
    placement: scheduling.Placement
    wire: ports.WireFormat
    metrics: object
    data_center: str = ""
    urgency: scheduling.Urgency = scheduling.urgency_by_name["none"]()
    draw: Callable[[], float] = random.random
    hedges: scheduling.RetryBudget = dataclasses.field(
        default_factory=scheduling.RetryBudget
    )
