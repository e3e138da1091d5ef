"""Messages between VMs, beside those to the owner of a program."""

from postspring import codec
from postspring import coordination
from postspring import ownership

__all__ = [
    "AppendRecords",
    "ConfigurationOffer",
    "ConfigurationRequest",
    "GatherRows",
    "Heartbeat",
    "HoldTurns",
    "LogFailed",
    "ReadRecords",
    "RecordsAppended",
    "RecordsRead",
    "RowsGathered",
    "StopAttempt",
    "TurnsHeld",
    "peer_messages",
]

PROTOCOL_VERSION = 1

peer_messages = codec.MessageRegistry("peer message")
for _kind, _type in coordination.owner_messages.type_by_kind.items():
    peer_messages.register(_kind)(_type)


@peer_messages.register("heartbeat")
@codec.message()
class Heartbeat:
    """A sign of life, and what configuration the sender has in force."""

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
    """Ask for the configuration record in force."""


@peer_messages.register("configuration_offer")
@codec.message()
class ConfigurationOffer:
    """The configuration record in force and its offset in the log."""

    offset: int
    record: bytes


@peer_messages.register("hold_turns")
@codec.message()
class HoldTurns:
    """Copies of turns that are not in the log yet, to append when it is up."""

    turns: tuple[ownership.Turn, ...]


@peer_messages.register("turns_held")
@codec.message()
class TurnsHeld:
    """How many of the copies were taken."""

    taken: int


@peer_messages.register("stop_attempt")
@codec.message()
class StopAttempt:
    """Break an attempt off: its program has ended."""

    program: str
    attempt: int


@peer_messages.register("gather_rows")
@codec.message()
class GatherRows:
    """Ask for a VM's own rows of a collection of the query language."""

    collection: str


@peer_messages.register("rows_gathered")
@codec.message()
class RowsGathered:
    """The rows, as a JSON array of objects."""

    rows: bytes


@peer_messages.register("append_records")
@codec.message()
class AppendRecords:
    """Ask a VM that reaches the log to append a batch."""

    stream: str
    records: tuple[bytes, ...]


@peer_messages.register("records_appended")
@codec.message()
class RecordsAppended:
    """The batch's first offset."""

    offset: int


@peer_messages.register("read_records")
@codec.message()
class ReadRecords:
    """Ask a VM that reaches the log to read a page."""

    stream: str
    offset: int
    wait_ms: int
    limit: int


@peer_messages.register("records_read")
@codec.message()
class RecordsRead:
    """A page of a stream."""

    first: int
    next: int
    records: tuple[tuple[int, bytes], ...]


@peer_messages.register("log_failed")
@codec.message()
class LogFailed:
    """The log did not answer the VM that was asked."""

    detail: str
