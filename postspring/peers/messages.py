"""Messages between VMs.

The messages to the owner of a program, of :mod:`postspring.coordination`, are
part of the same registry.
"""

from postspring import codec
from postspring import coordination
from postspring import ownership

__all__ = [
    "AppendRecords",
    "ConfigurationOffer",
    "ConfigurationRequest",
    "GatherRows",
    "Heartbeat",
    "LogFailed",
    "ReadRecords",
    "RecordsAppended",
    "RecordsRead",
    "ReplicateTurns",
    "RowsGathered",
    "StopAttempt",
    "TurnsReplicated",
    "peer_messages",
]

PROTOCOL_VERSION = 1

peer_messages = codec.MessageRegistry("peer message")
for _kind, _type in coordination.owner_messages.type_by_kind.items():
    peer_messages.register(_kind)(_type)


@peer_messages.register("heartbeat")
@codec.message()
class Heartbeat:
    """Liveness of the sender, and its configuration in force.

    It is both the request and the reply.
    """

    vm: str
    incarnation: str
    data_center: str
    configuration_offset: int
    configuration_version: int
    leaving: bool = False
    reaches_log: bool = False


@peer_messages.register("configuration_request")
@codec.message()
class ConfigurationRequest:
    """Request the configuration record that the peer has in force."""


@peer_messages.register("configuration_offer")
@codec.message()
class ConfigurationOffer:
    """Reply: the configuration record in force and its offset in the log."""

    offset: int
    record: bytes


@peer_messages.register("hold_turns")
@codec.message()
class ReplicateTurns:
    """Replicate turns not in the log yet; the peer is to append them."""

    turns: tuple[ownership.Turn, ...]


@peer_messages.register("turns_held")
@codec.message()
class TurnsReplicated:
    """Reply: the number of turns that the peer accepted."""

    taken: int


@peer_messages.register("stop_attempt")
@codec.message()
class StopAttempt:
    """Cancel an attempt on the peer, as its program has ended."""

    program: str
    attempt: int


@peer_messages.register("gather_rows")
@codec.message()
class GatherRows:
    """Request the peer's own rows of a collection of the query language."""

    collection: str


@peer_messages.register("rows_gathered")
@codec.message()
class RowsGathered:
    """Reply: the rows, as a JSON array of objects."""

    rows: bytes


@peer_messages.register("append_records")
@codec.message()
class AppendRecords:
    """Request that a peer which reaches the log append a batch."""

    stream: str
    records: tuple[bytes, ...]


@peer_messages.register("records_appended")
@codec.message()
class RecordsAppended:
    """Reply: the offset of the batch's first record."""

    offset: int


@peer_messages.register("read_records")
@codec.message()
class ReadRecords:
    """Request that a peer which reaches the log read a page."""

    stream: str
    offset: int
    wait_ms: int
    limit: int


@peer_messages.register("records_read")
@codec.message()
class RecordsRead:
    """Reply: a page of a stream."""

    first: int
    next: int
    records: tuple[tuple[int, bytes], ...]


@peer_messages.register("log_failed")
@codec.message()
class LogFailed:
    """Reply: the peer's append to or read from the log failed."""

    detail: str
