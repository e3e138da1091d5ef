"""Admission control: which calls an owner accepts."""

from postspring import configuration
from postspring.coordination import messages
from postspring.coordination import owner_context
from postspring.coordination import pricing
from postspring.coordination import refusals
from postspring.coordination import runtime
from postspring import programs

__all__ = ["Admission"]

Reason = refusals.RefusalReason


class Admission:
    """Decides whether calls are accepted, and bounds their cost.

    Parameters
    ==========

    context : OwnerContext
        State that the parts of the owner share.
    """

    def __init__(self, context: owner_context.OwnerContext):
        self._context = context

    def refusal_reason(
        self, state: runtime.ProgramRuntime, message: messages.CallProgram
    ) -> Reason | None:
        """Return the reason to refuse a call on arrival, or None."""
        program = state.program
        tip = state.tip
        if not program.live:
            return Reason.PROGRAM_ENDED
        if message.service not in ("", program.service):
            return Reason.NOT_PERMITTED
        if message.step > tip.step + 1 + self._context.limits.queue_window:
            return Reason.STEP_GAP
        follows = message.step == tip.step + 1
        if follows and message.parent not in (None, tip.digest):
            return Reason.PARENT_MISMATCH
        if self._context.held_bytes > self._context.limits.max_held_bytes:
            return Reason.HELD_TURNS_FULL
        service = self._context.configuration.services.get(program.service)
        if service is None:
            return Reason.UNKNOWN_SERVICE
        if message.step > service.max_calls:
            return Reason.TOO_MANY_CALLS
        if not self._permitted(service, message):
            return Reason.UNKNOWN_TARGET
        if self._context.pool.is_full(message.target):
            return Reason.OVERLOADED
        return None

    def _permitted(
        self,
        service: configuration.Service,
        message: messages.CallProgram,
    ) -> bool:
        targets_by_kind = {
            programs.CallKind.MODEL: service.models,
            programs.CallKind.TOOL: service.tools,
            programs.CallKind.SERVICE: service.plain,
        }
        return message.target in targets_by_kind[message.kind]

    def ran_before(
        self, state: runtime.ProgramRuntime, message: messages.CallProgram
    ) -> refusals.Ran:
        """Return whether a call that is refused may have run earlier.

        The next call may have been running when its program ended.  If it
        may not be repeated, its intent is then open.  A repeatable call has
        no record before its turn, so it counts as one that may have run.
        """
        program = state.program
        if program.live or message.step != state.tip.step + 1:
            return refusals.Ran.NOT_RUN
        intent = program.open_intent
        started = intent is not None and intent.key == message.key
        if started or self.repeatable(message):
            return refusals.Ran.UNKNOWN
        return refusals.Ran.NOT_RUN

    def set_cost_bound(
        self, state: runtime.ProgramRuntime, call: runtime.Call
    ) -> Reason | None:
        """Set the call's cost bound; return the reason to refuse, or None."""
        message = call.message
        if message.kind is programs.CallKind.TOOL:
            call.cost_bound = self._context.configuration.tools[
                message.target
            ].price
        if message.kind is not programs.CallKind.MODEL:
            return None
        model = self._context.configuration.models[message.target]
        tokens = pricing.prompt_token_bound(state.turns, message.request)
        max_tokens = self.max_tokens(message)
        if tokens + max_tokens > model.context_tokens:
            return Reason.CONTEXT_TOO_LONG
        call.cost_bound = pricing.model_cost_bound(model, tokens, max_tokens)
        return None

    def max_tokens(self, message: messages.CallProgram) -> int:
        """Return the upper bound of the tokens that a call generates."""
        model = self._context.configuration.models[message.target]
        return min(message.max_tokens or model.max_tokens, model.max_tokens)

    def repeatable(self, message: messages.CallProgram) -> bool:
        """Return whether the call may be dispatched twice."""
        if message.kind is programs.CallKind.TOOL:
            tool = self._context.configuration.tools[message.target]
            return message.repeatable and tool.repeatable
        return message.repeatable
