"""Messages between entry VMs, in CBOR."""

from typing import Any

import cbor2
import msgspec

from postspring import errors
from postspring import quotas
from postspring import transport

__all__ = [
    "FindRequest",
    "Found",
    "KeepRequest",
    "Kept",
    "Loads",
    "Permit",
    "PermitRequest",
    "LoadsReport",
    "RecordRequest",
    "View",
    "ViewRequest",
    "decode",
    "encode",
    "request_to",
]

KEEP_PATH = "/peer/keep"
FIND_PATH = "/peer/find"
VIEW_PATH = "/peer/view"
PING_PATH = "/peer/ping"
LOADS_PATH = "/peer/loads"
PERMIT_PATH = "/peer/permit"
RECORD_PATH = "/peer/record"
# Answer of a VM that stops to what it is asked to keep.
STOPPING_STATUS = 503
# Answer of a VM that does not reach the log to what it is asked to record.
WITHOUT_LOG_STATUS = 503
# Calls to the platform's store that are to be passed on stand behind this.
STORE_PREFIX = "/peer/store"


class KeepRequest(msgspec.Struct, frozen=True, array_like=True):
    """Keep these records until they are in the log.

    Parameters
    ==========

    is_log_away : bool
        Who asks does not reach the log: record them at once if you do.
    """

    records: list[bytes]
    is_log_away: bool = False


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """The answer to :class:`KeepRequest`.

    Parameters
    ==========

    reaches_log : bool
        The log takes calls of the VM that answers, as far as it knows.
    """

    reaches_log: bool = False


class RecordRequest(msgspec.Struct, frozen=True, array_like=True):
    """Append these whole turns, and answer when all stand in the log.

    Parameters
    ==========

    turns : list of bytes
        A turn that goes on from others of them stands behind those.
    """

    turns: list[bytes]


class FindRequest(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a program, and could its next turn run there?

    Parameters
    ==========

    vm : str
        Who asks.
    previous : str or None
        The turn that is to be continued.
    ceiling : int
        Most tokens that the turn may generate.
    incarnation : str
        Which one of the VM's processes asks.
    entry : bytes
        Its entry in the list of VMs: the one that is asked may not have it.
    for_home : bool
        The program may be let go on there.
    """

    vm: str
    program: str
    previous: str | None
    ceiling: int
    incarnation: str = ""
    entry: bytes = b""
    for_home: bool = False


class Found(msgspec.Struct, frozen=True, array_like=True):
    """The answer to :class:`FindRequest`.

    Parameters
    ==========

    can_take : bool
        The turn could run there without the log.
    knows : bool
        Some turn of the program is known there.
    knows_turn : bool
        The turn that is to be continued is known there.
    is_complete : bool
        The VM has been up for long enough to know what began there.
    has_chain : bool
        The turn and all that precede it are known there.
    charged : int
        Tokens that records charge the program with, as far as is known.
    home_tokens : int
        Tokens that the program may spend there while the log is away.
    goes_first : bool
        Another VM is about to let the program go on.
    has_gone_on : bool
        Another VM than the one that asks may have let it go on.
    unsettled : list of (str, int)
        Turns of the program that ran while the log was away, and the tokens
        that it does not charge for them yet.
    home_left : int
        Tokens that the program may still spend there without the log.
    knows_homes : bool
        Any program may have gone on there without the log, or elsewhere as
        far as the VM was told, whose records the log may lack.
    """

    can_take: bool
    knows: bool
    knows_turn: bool
    is_complete: bool
    has_chain: bool = False
    charged: int = 0
    home_tokens: int = 0
    goes_first: bool = False
    has_gone_on: bool = False
    unsettled: list[tuple[str, int]] = msgspec.field(default_factory=list)
    home_left: int = 0
    knows_homes: bool = True


class ViewRequest(msgspec.Struct, frozen=True, array_like=True):
    """Show what you know of a subject.

    Parameters
    ==========

    vm : str
        Who asks; it has just started, and nobody may know it yet.
    entry : bytes
        Its entry in the list of VMs.
    """

    subject: str
    vm: str
    entry: bytes


class View(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of each key, as a VM knows them.

    Parameters
    ==========

    next : int
        Offset that the VM reads on from.
    """

    entries: list[tuple[str, bytes]]
    next: int


class LoadsReport(msgspec.Struct, frozen=True, array_like=True):
    """What a VM, or a whole data centre, has in flight at upstreams.

    Parameters
    ==========

    source : str
        The VM's name, or the data centre's.
    is_data_center : bool
        The calls are those of all VMs of a data centre.
    calls : list of (str, int)
        Upstream's incarnation and calls there; others have none.
    sightings : list of (str, float, int)
        Of upstreams whose calls broke, or that are suspected: incarnation,
        seconds since then, broken calls (0: something came from it).
    """

    source: str
    is_data_center: bool
    calls: list[tuple[str, int]]
    sightings: list[tuple[str, float, int]] = msgspec.field(
        default_factory=list
    )


class Loads(msgspec.Struct, frozen=True, array_like=True):
    """The answer to :class:`LoadsReport`.

    Parameters
    ==========

    calls : list of (str, int)
        What all others have in flight.
    suspects : list of (str, float)
        Upstreams that are probably dead, and seconds since calls last broke
        there.
    configuration_end : int
        Offset at which the configuration's records ended when the log last
        confirmed that to the VM that answers; -1 if it never has.
    confirmed_age : float
        Seconds since then, at least, when it answers.
    """

    calls: list[tuple[str, int]]
    suspects: list[tuple[str, float]] = msgspec.field(default_factory=list)
    configuration_end: int = -1
    confirmed_age: float = 0.0


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """May a request of a workspace run?

    Parameters
    ==========

    use : Use
        What the request is for.
    insists : bool
        No VM that may tell is ready; this one is to tell all the same.
    ages : list of float
        Seconds since other VMs of the data centre that is asked let requests
        of the workspace run at the VM that asks.
    is_return : bool
        Nothing is asked: a permit comes back, by which nothing ran.
    """

    workspace: str
    use: quotas.Use
    insists: bool = False
    ages: list[float] = msgspec.field(default_factory=list)
    is_return: bool = False


class Permit(msgspec.Struct, frozen=True, array_like=True):
    """The answer to :class:`PermitRequest`.

    Parameters
    ==========

    state : DealState
        Granted, refused, or that this VM can't tell.
    wait : float
        Seconds after which it may be granted.
    """

    state: quotas.DealState
    wait: float


def request_to(
    address: tuple[str, int], path: str, body: bytes, seconds: float
) -> transport.HttpRequest:
    """Return a request to the VM at an address, answered in ``seconds``."""
    return transport.HttpRequest(
        address=address,
        method="POST",
        path=path,
        body=body,
        connect_timeout=seconds,
        timeout=seconds,
    )


def encode(message: Any) -> bytes:
    """Return a message as bytes: its fields in order."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(cls: type, data: bytes) -> Any:
    """Return the message of a type in ``data``.

    Fields that a VM of another version adds at the end are left out, and
    those that it lacks have their defaults.

    Raises
    ------
    PeerError
        If there is none.

    Examples
    --------
    >>> found = Found(True, True, False, True)
    >>> decode(Found, encode(found)) == found
    True
    """
    try:
        return msgspec.convert(cbor2.loads(data), cls, builtin_types=(bytes,))
    except (
        cbor2.CBORDecodeError,
        msgspec.MsgspecError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        text = f"not a {cls.__name__}: {str(error)[:200]}"
        raise errors.PeerError(text) from error
