"""The configuration that a deployment of processes begins with."""

from typing import Any

__all__ = ["deployment_document"]


def deployment_document(upstreams: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with these upstreams."""
    return {
        "models": {
            "advisor": {
                "prompt_price": 100,
                "completion_price": 300,
                "max_tokens": 64,
            }
        },
        "tools": {"parts": {"price": 50, "timeout_seconds": 5}},
        "services": {
            "agent-models": {
                "models": ["advisor"],
                "tools": ["parts"],
                "plain": ["catalogue"],
                "default_budget": 1_000_000,
            },
            "other": {"models": ["advisor"]},
        },
        "upstreams": upstreams,
    }
