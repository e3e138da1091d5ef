"""Messages between VMs, beside those to the owner of a program."""

from postspring import codec
from postspring import coordination
from postspring import ownership

__all__ = [
    "ConfigurationOffer",
    "ConfigurationRequest",
    "Heartbeat",
    "HoldTurns",
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
