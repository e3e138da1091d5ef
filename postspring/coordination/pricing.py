"""Cost bounds and costs of calls.

Amounts are whole micro-units, prices of models are micro-units per 1000
tokens.  Costs are rounded up.
"""

from postspring import configuration
from postspring.coordination import messages
from postspring import ownership
from postspring import programs

__all__ = ["attempt_cost", "model_cost", "prompt_token_bound"]

TOKENS_PER_PRICE = 1000
TOKENS_PER_MESSAGE_FRAME = 16


def model_cost(
    prompt_tokens: int,
    completion_tokens: int,
    prompt_price: int,
    completion_price: int,
) -> int:
    """Return the price of a model call, rounded up.

    Examples
    --------
    >>> model_cost(1500, 10, prompt_price=2, completion_price=100)
    4
    """
    thousandths = (
        prompt_tokens * prompt_price + completion_tokens * completion_price
    )
    return -(-thousandths // TOKENS_PER_PRICE)


def prompt_token_bound(turns: list[ownership.Turn], request: bytes) -> int:
    """Return an upper bound of the prompt's tokens.

    The engine counted the tokens up to the program's latest model turn.
    Later turns and the request are bounded by their size, as each token
    takes at least one byte.
    """
    bound = len(request) + TOKENS_PER_MESSAGE_FRAME
    for turn in reversed(turns):
        if turn.kind is programs.CallKind.MODEL and turn.usage.prompt_tokens:
            usage = turn.usage
            return bound + usage.prompt_tokens + usage.completion_tokens
        bound += len(turn.request) + len(turn.answer)
        bound += 2 * TOKENS_PER_MESSAGE_FRAME
    return bound


def model_cost_bound(
    model: configuration.Model, prompt_tokens: int, max_tokens: int
) -> int:
    """Return the upper bound of the cost of one model attempt."""
    return model_cost(
        prompt_tokens, max_tokens, model.prompt_price, model.completion_price
    )


def attempt_cost(grant: messages.Grant, usage: programs.Usage) -> int:
    """Return what a finished attempt costs."""
    if grant.kind is not programs.CallKind.MODEL:
        return grant.call_price
    return model_cost(
        usage.prompt_tokens,
        usage.completion_tokens,
        grant.prompt_price,
        grant.completion_price,
    )
