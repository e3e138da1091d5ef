"""The fold of the configuration stream: compare and publish."""

import collections
import dataclasses
import enum

from postspring import codec
from postspring.configuration import schema
from postspring import errors

__all__ = [
    "ConfigurationFold",
    "ConfigurationState",
    "Publish",
    "PublishConflictError",
    "PublishVerdict",
    "configuration_records",
]

REMEMBERED_CHANGES = 256
configuration_records = codec.MessageRegistry("configuration record")


@configuration_records.register("publish")
@codec.message()
class Publish:
    """An operator's new document, or the one in force carried forward.

    Parameters
    ==========

    change_id : str
        Chosen by the operator's client; a second copy of the same change
        is recognised by it.
    expected_version : int
        The version that this change was made against.
    version : int
        The version that the document has if it counts: one more than
        expected, or the same for a record that carries it forward.
    document : bytes
        The JSON document.
    author : str
        Who published it.
    as_of : int
        For a record that carries the document forward: the offset up to
        which its author had read the stream.
    """

    change_id: str
    expected_version: int
    version: int
    document: bytes
    author: str = ""
    as_of: int = 0

    @property
    def carries_forward(self) -> bool:
        """Whether this repeats the version in force before it expires."""
        return self.version == self.expected_version


class PublishConflictError(errors.ConfigurationError):
    """Another change was published first; the text names its version."""


class PublishVerdict(enum.StrEnum):
    """What became of a published document."""

    COUNTED = "counted"
    DUPLICATE = "duplicate"
    WRONG_VERSION = "wrong_version"
    INVALID = "invalid"
    NO_BASE = "no_base"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The document in force.  ``offset`` is that of its latest record."""

    version: int = 0
    change_id: str = ""
    author: str = ""
    offset: int = -1
    document: bytes = b"{}"
    configuration: schema.Configuration = schema.Configuration()


class ConfigurationFold:
    """Which document is in force, in the order of the log.

    Explanation
    ===========

    A document counts if its expected version is the one in force at its
    offset.  Offsets only grow: whatever is offered at an offset that was
    applied before is refused, so the configuration never reverts, also when
    records come from peers.

    A fold that starts after records have expired has no base: nothing
    counts until a record carries a document forward whose author had read
    no less than this fold has; the changes read in between are then judged
    against it.

    Examples
    ========

    >>> fold = ConfigurationFold()
    >>> first = Publish(
    ...     change_id="a", expected_version=0, version=1, document=b"{}"
    ... )
    >>> fold.apply(0, first).value
    'counted'
    >>> rival = Publish(
    ...     change_id="b", expected_version=0, version=1, document=b"{}"
    ... )
    >>> fold.apply(1, rival).value
    'wrong_version'
    """

    def __init__(self):
        self.state = ConfigurationState()
        self.next_offset = 0
        self._base_offset = 0
        self._has_base = True
        self._unjudged: list[tuple[int, Publish]] = []
        self._changes: collections.deque[str] = collections.deque(
            maxlen=REMEMBERED_CHANGES
        )

    @property
    def has_base(self) -> bool:
        """Whether records can be judged: nothing was missed, or made up."""
        return self._has_base

    def counted_change(self, change_id: str) -> bool:
        """Return whether that change counted, of the latest ones."""
        return change_id in self._changes

    def skip_to(self, offset: int) -> None:
        """Take note that the records before ``offset`` can't be read.

        Unless a document is known, a base is needed then; one that is
        known stays in force until it is carried forward.
        """
        self.next_offset = max(self.next_offset, offset)
        self._base_offset = self.next_offset
        self._has_base = False
        self._unjudged.clear()

    def skip_record(self, offset: int) -> None:
        """Pass over bytes at ``offset`` that are not a record."""
        self.next_offset = offset + 1

    def apply(self, offset: int, record: Publish) -> PublishVerdict:
        """Judge the record at ``offset`` and put it in force if it counts."""
        if offset < self.next_offset:
            raise ValueError(f"offset {offset} was applied before")
        self.next_offset = offset + 1
        if self._has_base:
            return self._judge(offset, record)
        if not record.carries_forward or record.as_of < self._base_offset:
            self._unjudged.append((offset, record))
            return PublishVerdict.NO_BASE
        return self._establish(offset, record)

    def adopt(self, offset: int, record: Publish) -> PublishVerdict:
        """Take over a record that a peer's fold found to count.

        The peer has judged it against all that stands before it in the
        log, so what was missed here need not be read any more.
        """
        if offset < self.next_offset:
            raise ValueError(f"offset {offset} was applied before")
        self.next_offset = offset + 1
        verdict = self._put_in_force(offset, record)
        if verdict is PublishVerdict.COUNTED:
            self._has_base = True
            self._unjudged.clear()
        return verdict

    def _establish(self, offset: int, base: Publish) -> PublishVerdict:
        """Take a carried document as base, and judge what came between."""
        between = [
            (number, record)
            for number, record in self._unjudged
            if number >= base.as_of
        ]
        self._unjudged.clear()
        self._has_base = True
        verdict = self._put_in_force(base.as_of - 1, base)
        for number, record in between:
            self._judge(number, record)
        self._judge(offset, base)
        return verdict

    def _judge(self, offset: int, record: Publish) -> PublishVerdict:
        if record.change_id in self._changes and not record.carries_forward:
            return PublishVerdict.DUPLICATE
        if record.expected_version != self.state.version:
            return PublishVerdict.WRONG_VERSION
        if record.version - record.expected_version not in (0, 1):
            return PublishVerdict.WRONG_VERSION
        if record.carries_forward and (
            record.change_id != self.state.change_id
        ):
            return PublishVerdict.WRONG_VERSION
        return self._put_in_force(offset, record)

    def _put_in_force(self, offset: int, record: Publish) -> PublishVerdict:
        try:
            parsed = schema.parse_configuration(record.document)
        except errors.ConfigurationError:
            return PublishVerdict.INVALID
        self.state = ConfigurationState(
            record.version,
            record.change_id,
            record.author,
            offset,
            record.document,
            parsed,
        )
        self._changes.append(record.change_id)
        return PublishVerdict.COUNTED
