"""Encoding of typed messages as CBOR.

A :class:`MessageRegistry` maps short kind names to frozen dataclasses.  The
records in the platform's log and the messages between VMs each have their
own.  pydantic validates messages, and cbor2 encodes them.
"""

from collections.abc import Callable
import dataclasses
import functools
import json
from typing import Any

import cbor2
import pydantic

from postspring import errors

__all__ = ["MessageRegistry", "json_or_text", "message"]

message = functools.partial(
    dataclasses.dataclass, frozen=True, kw_only=True, slots=True
)


class MessageRegistry:
    """The message types of one protocol, by kind.

    Explanation
    ===========

    An encoded message is a CBOR array ``[kind, fields]``.  Decoding raises
    :class:`~postspring.errors.CodecError` for unknown kinds, missing fields
    and fields of the wrong type.  It ignores unknown fields, so that newer
    VMs can add optional ones.

    Parameters
    ==========

    name : str
        Name of the protocol, used in error messages.

    Examples
    ========

    >>> registry = MessageRegistry("example")
    >>> @registry.register("ping")
    ... @message()
    ... class Ping:
    ...     number: int
    >>> registry.decode(registry.encode(Ping(number=3)))
    Ping(number=3)
    """

    def __init__(self, name: str):
        self.name = name
        self.type_by_kind: dict[str, type] = {}
        self._kind_by_type: dict[type, str] = {}
        self._adapter_by_kind: dict[str, pydantic.TypeAdapter] = {}

    def register(self, kind: str) -> Callable[[type], type]:
        """Return a decorator that adds a dataclass under ``kind``."""

        def add(cls: type) -> type:
            if kind in self.type_by_kind:
                raise ValueError(f"{self.name}: {kind} is registered already")
            self.type_by_kind[kind] = cls
            self._kind_by_type[cls] = kind
            return cls

        return add

    def pack(self, item: Any) -> list:
        """Return ``[kind, fields]`` for embedding in a larger message."""
        kind = self._kind_by_type[type(item)]
        return [kind, self._adapter(kind).dump_python(item)]

    def unpack(self, packed: Any) -> Any:
        """Return the message from the output of :meth:`pack`."""
        try:
            kind, fields = packed
            return self._adapter(kind).validate_python(fields)
        except (TypeError, ValueError, KeyError) as error:
            raise errors.CodecError(
                f"not a {self.name} message: {str(error)[:500]}"
            ) from error

    def encode(self, item: Any) -> bytes:
        """Return the message as CBOR bytes."""
        return cbor2.dumps(self.pack(item))

    def decode(self, data: bytes) -> Any:
        """Decode CBOR bytes; raise CodecError if they are not a message."""
        try:
            packed = cbor2.loads(data)
        except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
            raise errors.CodecError(
                f"{self.name}: not CBOR: {str(error)[:200]}"
            ) from error
        return self.unpack(packed)

    def _adapter(self, kind: str) -> pydantic.TypeAdapter:
        adapter = self._adapter_by_kind.get(kind)
        if adapter is None:
            adapter = pydantic.TypeAdapter(self.type_by_kind[kind])
            self._adapter_by_kind[kind] = adapter
        return adapter


def json_or_text(data: bytes) -> Any:
    """Return the JSON value in ``data``, or its text if it is not JSON.

    Examples
    --------
    >>> json_or_text(b"[1]"), json_or_text(b"no")
    ([1], 'no')
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return data.decode(errors="replace")
