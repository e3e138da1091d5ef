"""Plain calls, which are forwarded without a record in the log."""

from postspring.forwarding import delivery as delivery_module
from postspring.forwarding import delivery_context
from postspring.forwarding import outbound_call
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import relay
from postspring import routing
from postspring import transport

__all__ = ["PlainCall"]


class PlainCall(relay.CallerRelay):
    """A call of a tool or a plain service, or a stream without a program.

    A turn that is relayed to another VM is also forwarded as a plain call.

    Parameters
    ==========

    options : dict
        Further arguments of the :class:`OutboundCall`.
    """

    def __init__(
        self,
        context: delivery_context.DeliveryContext,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        route: routing.Route,
        deadline: float,
        outcome: outcome_module.Outcome,
        **options,
    ):
        super().__init__(context, call, facts, outcome)
        self._route = route
        outbound = outbound_call.OutboundCall(
            call, facts, call.body, may_repeat=route.may_repeat, **options
        )
        self.delivery = delivery_module.Delivery(
            context, outbound, route, deadline, self
        )

    def start(self) -> None:
        """Send the call to an upstream."""
        self._call.on_disconnect = self._on_caller_gone
        self.delivery.start()

    def stream_ended(self) -> None:
        """Complete the answer to the caller."""
        self._call.finish()
        self.report("answered")

    def _on_caller_gone(self) -> None:
        """Cancel the call, as the caller closed its connection.

        A call that may run only once continues, as the caller may still
        want its effect.
        """
        if self._route.kind is routing.CallKind.ONCE:
            self.delivery.detach()
        else:
            self.delivery.cancel()
        self.report("caller_gone")

    def refused(self, refusal: refusals.Refusal) -> None:
        """Answer the caller with the refusal."""
        self.refuse(refusal)
