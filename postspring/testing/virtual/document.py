"""The configuration that a virtual deployment begins with."""

from typing import Any

__all__ = ["first_document"]


def first_document(
    data_center: str,
    engine_by_name: dict[str, Any],
    tool: Any,
    calls_ahead: int,
) -> dict:
    """Return a configuration with all upstreams in one data centre."""
    upstreams = {
        name: {
            "kind": "engine",
            "data_center": data_center,
            "address": engine.address_text,
            "serves": ["advisor"],
        }
        for name, engine in engine_by_name.items()
    }
    upstreams["tool"] = {
        "kind": "tool",
        "data_center": data_center,
        "address": tool.address_text,
        "serves": ["parts"],
    }
    return {
        "models": {
            "advisor": {
                "prompt_price": 1000,
                "completion_price": 1000,
                "max_tokens": 8,
            }
        },
        "tools": {"parts": {"price": 50, "timeout_seconds": 8}},
        "services": {
            "agentes": {
                "models": ["advisor"],
                "tools": ["parts"],
                "default_budget": 1_000_000,
                "calls_ahead": calls_ahead,
                "call_timeout_seconds": 8,
            }
        },
        "upstreams": upstreams,
    }
