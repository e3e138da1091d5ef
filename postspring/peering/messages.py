"""Messages between entry VMs, encoded as CBOR arrays."""

from typing import Annotated
from typing import Any

import cbor2
import msgspec

from postspring import errors
from postspring import quotas
from postspring import transport

__all__ = [
    "CrashesReport",
    "FindRequest",
    "FindResponse",
    "LoadsReport",
    "LoadsResponse",
    "PermitRequest",
    "PermitResponse",
    "RecordRequest",
    "StoreReplicasRequest",
    "StoreReplicasResponse",
    "ViewRequest",
    "ViewResponse",
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
CRASHES_PATH = "/peer/crashes"
RECORD_PATH = "/peer/record"
# Response of a VM that is shutting down to a request to store replicas.
STOPPING_STATUS = 503
# Response of a VM that is shutting down, or can't reach the log, to a request
# to record turns.
LOG_UNREACHABLE_STATUS = 503
# Longest responses, in bytes: loads of some 20,000 upstreams; and views, of
# which a VM with little memory sends no more either.
MAX_RESPONSE_BYTES = 1024 * 1024
MAX_VIEW_BYTES = 16 * 1024 * 1024
# Path prefix of calls to the platform's store that a VM relays.
STORE_PREFIX = "/peer/store"

# A duration that is not a number fits in no order of timers; neither bound
# holds for it.
_Seconds = Annotated[float, msgspec.Meta(ge=0)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class StoreReplicasRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to store replicas of records until the log has them.

    Parameters
    ==========

    is_log_unavailable : bool
        The sender can't reach the log: a receiver that can appends the records
        at once.
    """

    records: list[bytes]
    is_log_unavailable: bool = False


class StoreReplicasResponse(msgspec.Struct, frozen=True, array_like=True):
    """The response to :class:`StoreReplicasRequest`.

    Parameters
    ==========

    reaches_log : bool
        The responding VM can reach the log, as far as it can tell.
    """

    reaches_log: bool = False


class RecordRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to append turns, answered once the log has all of them.

    Parameters
    ==========

    turns : list of bytes
        Records of whole turns; a turn comes after those of the list that it
        continues.
    """

    turns: list[bytes]


class FindRequest(msgspec.Struct, frozen=True, array_like=True):
    """Query for a program: does a VM have it, and can the turn run there?

    Parameters
    ==========

    vm : str
        Name of the requesting VM.
    previous : str or None
        The turn that the next one continues.
    ceiling : int
        Maximum number of tokens that the next turn may generate.
    incarnation : str
        Incarnation of the requesting process.
    entry : bytes
        Entry of the requesting VM in the list of VMs, which the receiver may
        not have read yet.
    is_offline_request : bool
        Requests a lease on the program: the VM may run it offline after the
        responses.
    """

    vm: str
    program: str
    previous: str | None
    ceiling: int
    incarnation: str = ""
    entry: bytes = b""
    is_offline_request: bool = False


class FindResponse(msgspec.Struct, frozen=True, array_like=True):
    """The response to :class:`FindRequest`.

    Parameters
    ==========

    can_run : bool
        The responding VM could run the turn without the log.
    has_program : bool
        The VM has some turn of the program in memory, or runs it offline.
    has_turn : bool
        The VM has the turn that is to be continued in memory.
    has_all_recent_turns : bool
        The VM has been up for long enough to have every turn that ended there
        recently.
    has_chain : bool
        The VM has the turn and all its predecessors in memory, and accepts
        calls.
    charged : int
        Tokens that the records read by the VM charge the program with.
    offline_tokens : int
        Tokens that the program may spend at the VM while it runs offline
        there.
    is_leased_elsewhere : bool
        The lease is refused, as another VM is about to run the program
        offline: the responding VM, or one to which it has granted a lease.
    may_be_offline_elsewhere : bool
        Another VM than the requesting one has requested a lease before.
    unsettled : list of (str, int)
        Turns of the program that ran offline, and the tokens that the log may
        not charge for them yet.
    offline_tokens_left : int
        Tokens that the program may still spend offline at the VM.
    may_have_offline_charges : bool
        The log may lack turns of some program that ran offline, at the
        responding VM or at one that requested a lease from it.
    """

    can_run: bool
    has_program: bool
    has_turn: bool
    has_all_recent_turns: bool
    has_chain: bool = False
    charged: int = 0
    offline_tokens: int = 0
    is_leased_elsewhere: bool = False
    may_be_offline_elsewhere: bool = False
    unsettled: list[tuple[str, int]] = msgspec.field(default_factory=list)
    offline_tokens_left: int = 0
    may_have_offline_charges: bool = True


class ViewRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the records of a subject that a VM has read.

    Parameters
    ==========

    vm : str
        Name of the requesting VM, which may have just started and be on no
        other VM's list yet.
    entry : bytes
        Its entry in the list of VMs.
    """

    subject: str
    vm: str
    entry: bytes


class ViewResponse(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of each key that the responding VM has read.

    Parameters
    ==========

    next : int
        Offset at which the VM continues reading.
    """

    entries: list[tuple[str, bytes]]
    next: _Count


class LoadsReport(msgspec.Struct, frozen=True, array_like=True):
    """Calls that a VM, or a data centre, has in flight at upstreams.

    Parameters
    ==========

    source : str
        Name of the VM or of the data centre.
    is_data_center : bool
        The calls are the sum over all VMs of a data centre.
    calls : list of (str, int)
        Incarnations of upstreams and the calls in flight there; upstreams
        without calls are left out.
    observations : list of (str, float, int)
        Observations of upstreams whose calls broke or that are suspected:
        incarnation, age in seconds, number of broken calls (0: the upstream
        sent something).
    """

    source: str
    is_data_center: bool
    calls: list[tuple[str, _Count]]
    observations: list[tuple[str, _Seconds, _Count]] = msgspec.field(
        default_factory=list
    )


class LoadsResponse(msgspec.Struct, frozen=True, array_like=True):
    """The response to :class:`LoadsReport`.

    Parameters
    ==========

    calls : list of (str, int)
        Calls that all other VMs have in flight.
    suspects : list of (str, float)
        Upstreams that are probably dead, and seconds since calls last broke
        there.
    configuration_end : int
        Offset at which the configuration's records ended when the log last
        confirmed that to the responding VM; -1 if it never has.
    confirmed_age : float
        Upper bound of the seconds between that confirmation and the response.
    """

    calls: list[tuple[str, _Count]]
    suspects: list[tuple[str, _Seconds]] = msgspec.field(default_factory=list)
    configuration_end: int = -1
    confirmed_age: _Seconds = 0.0


class CrashesReport(msgspec.Struct, frozen=True, array_like=True):
    """Upstreams that have crashed under requests.

    Parameters
    ==========

    data_center : str
        Data centre of the VM that sends it.
    requests : list of (str, list of str, list of str)
        Fingerprint of a request; incarnations of the upstreams that crashed
        under it; those of them that are not put down to it any more.
    """

    data_center: str
    requests: list[tuple[str, list[str], list[str]]]


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to a quota allocator for a permit, or the return of one.

    Parameters
    ==========

    use : Use
        Purpose of the workspace's request.
    ignore_readiness : bool
        No allocator of the data centre is ready; the receiver is to decide
        although it isn't ready either.
    ages : list of float
        Seconds since other allocators of the receiver's data centre granted
        permits of the workspace to the requesting VM.
    is_return : bool
        A permit is returned with which nothing ran.
    """

    workspace: str
    use: quotas.PermitUse
    ignore_readiness: bool = False
    ages: list[_Seconds] = msgspec.field(default_factory=list)
    is_return: bool = False


class PermitResponse(msgspec.Struct, frozen=True, array_like=True):
    """The response to :class:`PermitRequest`.

    Parameters
    ==========

    state : PermitState
        Granted, refused, or not ready to decide.
    wait : float
        Seconds after which a refused request may be granted.
    """

    state: quotas.PermitState
    wait: _Seconds


def request_to(
    address: tuple[str, int], path: str, body: bytes, seconds: float
) -> transport.HttpRequest:
    """Return a request to the VM at an address, with a timeout."""
    return transport.HttpRequest(
        address=address,
        method="POST",
        path=path,
        body=body,
        connect_timeout=seconds,
        timeout=seconds,
        max_response_bytes=(
            MAX_VIEW_BYTES if path == VIEW_PATH else MAX_RESPONSE_BYTES
        ),
        # A VM responds to it only when the store has responded.
        is_prompt=path != RECORD_PATH,
    )


def encode(message: Any) -> bytes:
    """Return a message as CBOR: an array of its fields in order."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(cls: type, data: bytes) -> Any:
    """Return the message of a type that ``data`` encodes.

    Additional fields at the end, from a newer version, are ignored; missing
    ones take their defaults.

    Raises
    ------
    PeerError
        If ``data`` isn't such a message.

    Examples
    --------
    >>> found = FindResponse(True, True, False, True)
    >>> decode(FindResponse, encode(found)) == found
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
