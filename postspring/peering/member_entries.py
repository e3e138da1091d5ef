"""Entries of the list of entry VMs, encoded as CBOR arrays."""

import dataclasses
import logging
import socket
from typing import Annotated

import cbor2
import msgspec

from postspring import keyedlog

__all__ = ["Member", "decode", "encode"]

LOG = logging.getLogger(__name__)

# Characters of an error's text that are kept, as it is logged in one line.
MAX_ERROR_LENGTH = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One entry VM.

    Parameters
    ==========

    peers, callers : tuple of (str, int)
        Addresses at which it listens for other VMs and for callers.
    """

    name: str
    incarnation: str
    data_center: str
    peers: tuple[str, int]
    callers: tuple[str, int]


_Address = tuple[str, Annotated[int, msgspec.Meta(ge=1, le=65_535)]]


class _Entry(msgspec.Struct, array_like=True):
    """The entry of a VM that runs."""

    incarnation: str
    data_center: str
    peers: _Address
    callers: _Address


def encode(member: Member) -> bytes:
    """Return the entry of a VM, without its name, which is the key."""
    return cbor2.dumps(
        [
            member.incarnation,
            member.data_center,
            list(member.peers),
            list(member.callers),
        ]
    )


def decode(entry: keyedlog.LogEntry) -> Member | str | None:
    """Return a VM, or the incarnation that has left; None if malformed.

    Examples
    --------
    >>> member = Member("vm", "vm/1", "z", ("10.0.0.1", 1), ("10.0.0.1", 2))
    >>> decode(keyedlog.LogEntry("vm", encode(member))) == member
    True
    >>> decode(keyedlog.LogEntry("vm", cbor2.dumps(["vm/1"])))
    'vm/1'
    """
    try:
        values = cbor2.loads(entry.value)
        if isinstance(values, list) and len(values) == 1:
            return msgspec.convert(values[0], str)
        decoded = msgspec.convert(values, _Entry)
        for host, _port in (decoded.peers, decoded.callers):
            _check_host(host)
    except (
        cbor2.CBORDecodeError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        text = f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]
        LOG.warning("malformed member entry", extra={"error": text})
        return None
    return Member(
        entry.key,
        decoded.incarnation,
        decoded.data_center,
        decoded.peers,
        decoded.callers,
    )


def _check_host(host: str) -> None:
    """Raise ValueError unless a host is an IPv4 address.

    The event loop would wait for the resolution of a name.
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f"{host!r} is not an IPv4 address") from error
