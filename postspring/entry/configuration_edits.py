"""Changes of the command language, as edits of the document."""

from collections.abc import Callable
import json
from typing import Any

from postspring import command
from postspring import errors

__all__ = ["edit"]

_EDIT_BY_TYPE: dict[type, Callable] = {}
SECTION_BY_KIND = {
    "service": "services",
    "model": "models",
    "tool": "tools",
    "upstream": "upstreams",
    "vm": "vms",
}


def _edits(statement_type: type) -> Callable:
    """Register the function that applies a statement to a document."""

    def add(function: Callable) -> Callable:
        _EDIT_BY_TYPE[statement_type] = function
        return function

    return add


def edit(document: bytes, statement: Any) -> bytes:
    """Return the document with a change made to it.

    Raises
    ------
    CommandError
        If what is to be changed does not exist.

    Examples
    --------
    >>> document = b'{"services": {"a": {}}}'
    >>> edit(document, command.parse("set service a priority = 3"))
    b'{"services": {"a": {"priority": 3}}}'
    """
    parsed = json.loads(document)
    _EDIT_BY_TYPE[type(statement)](parsed, statement)
    return json.dumps(parsed).encode()


@_edits(command.SetField)
def _set_field(document: dict, statement: command.SetField) -> None:
    """Set a field; a service that is not there yet is created."""
    section = document.setdefault(SECTION_BY_KIND[statement.kind], {})
    if statement.name not in section:
        if statement.kind == "upstream":
            raise errors.CommandError(f"no upstream {statement.name!r}")
        section[statement.name] = {}
    value = statement.value
    if statement.field in ("models", "tools", "plain", "serves"):
        value = [part for part in str(value).split(",") if part]
    section[statement.name][statement.field] = value


@_edits(command.Drain)
def _drain(document: dict, statement: command.Drain) -> None:
    section = document.setdefault(SECTION_BY_KIND[statement.kind], {})
    if statement.kind == "upstream" and statement.name not in section:
        raise errors.CommandError(f"no upstream {statement.name!r}")
    entry = section.setdefault(statement.name, {})
    entry["draining"] = statement.draining


@_edits(command.DeclareDataCenter)
def _declare_lost(
    document: dict, statement: command.DeclareDataCenter
) -> None:
    lost = set(document.get("lost_data_centers", ()))
    if statement.lost:
        lost.add(statement.data_center)
    else:
        lost.discard(statement.data_center)
    document["lost_data_centers"] = sorted(lost)
