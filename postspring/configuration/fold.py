"""Replays the configuration stream to find the document in force."""

import collections
import dataclasses
import enum

from postspring import codec
from postspring.configuration import schema
from postspring import errors

__all__ = [
    "ConfigurationFold",
    "ConfigurationState",
    "PublishConflictError",
    "PublishRecord",
    "PublishVerdict",
    "configuration_records",
]

MAX_ACCEPTED_CHANGE_IDS = 256
configuration_records = codec.MessageRegistry("configuration record")


@configuration_records.register("publish")
@codec.message()
class PublishRecord:
    """A record that publishes a document, or repeats the one in force.

    The document in force is carried forward: a new record repeats it, so
    that it is still in the log after its earlier record has expired.

    Parameters
    ==========

    change_id : str
        Idempotency key of the change, chosen by the publisher; it
        identifies a second record of the same change.
    expected_version : int
        The version that the change was based on.
    version : int
        The version of the document if the record is accepted: one more
        than ``expected_version``, or equal to it in a record that carries
        the document forward.
    document : bytes
        The JSON document.
    author : str
        The publisher, named in conflict errors.
    as_of : int
        In a record that carries the document forward: the offset before
        which the writer's fold had already passed every record.
    """

    change_id: str
    expected_version: int
    version: int
    document: bytes
    author: str = ""
    as_of: int = 0

    @property
    def carries_forward(self) -> bool:
        """Whether this record repeats a version instead of changing it."""
        return self.version == self.expected_version


class PublishConflictError(errors.ConfigurationError):
    """Another change was published first; the message names its version."""


class PublishVerdict(enum.StrEnum):
    """The result of applying a record of the configuration stream."""

    ACCEPTED = "counted"
    DUPLICATE = "duplicate"
    WRONG_VERSION = "wrong_version"
    INVALID = "invalid"
    NO_BASE = "no_base"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The document in force and the ``offset`` of its latest record."""

    version: int = 0
    change_id: str = ""
    author: str = ""
    offset: int = -1
    document: bytes = b"{}"
    configuration: schema.Configuration = schema.Configuration()


class ConfigurationFold:
    """Determines the document in force from the records in log order.

    Explanation
    ===========

    Publishing is a compare-and-set: a record is accepted if its expected
    version is the version in force at its offset.  Offsets only increase:
    a record at an offset before ``next_offset`` is rejected, so the
    configuration never reverts, even when records come from peers.

    A fold that starts after records have expired has no base, and accepts
    no record that it reads until it finds a base: a record that carries
    the document forward and whose writer had passed all the offsets that
    this fold has skipped.  The records read from ``as_of`` on are then
    checked against that base.  A record adopted from a peer is a base too.

    Examples
    ========

    >>> fold = ConfigurationFold()
    >>> first = PublishRecord(
    ...     change_id="a", expected_version=0, version=1, document=b"{}"
    ... )
    >>> fold.apply(0, first).value
    'counted'
    >>> rival = PublishRecord(
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
        self._unchecked_records: list[tuple[int, PublishRecord]] = []
        self._accepted_change_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_ACCEPTED_CHANGE_IDS
        )

    @property
    def has_base(self) -> bool:
        """Whether records can be checked against the version in force.

        False between :meth:`skip_to` and the next base.
        """
        return self._has_base

    def is_change_accepted(self, change_id: str) -> bool:
        """Return whether the change is among the latest accepted ones.

        Only the latest ``MAX_ACCEPTED_CHANGE_IDS`` records are remembered.
        """
        return change_id in self._accepted_change_ids

    def skip_to(self, offset: int) -> None:
        """Continue at ``offset`` because the records before it expired.

        The document in force stays in force until a base is found.
        """
        self.next_offset = max(self.next_offset, offset)
        self._base_offset = self.next_offset
        self._has_base = False
        self._unchecked_records.clear()

    def skip_record(self, offset: int) -> None:
        """Skip an entry at ``offset`` that can't be decoded."""
        self.next_offset = offset + 1

    def apply(self, offset: int, record: PublishRecord) -> PublishVerdict:
        """Check the record at ``offset`` and put it in force if accepted.

        Raises
        ======

        ValueError
            If ``offset`` is before ``next_offset``.
        """
        if offset < self.next_offset:
            raise ValueError(f"offset {offset} was already applied or skipped")
        self.next_offset = offset + 1
        if self._has_base:
            return self._check_and_apply(offset, record)
        if not record.carries_forward or record.as_of < self._base_offset:
            self._unchecked_records.append((offset, record))
            return PublishVerdict.NO_BASE
        return self._put_base_in_force(offset, record)

    def adopt(self, offset: int, record: PublishRecord) -> PublishVerdict:
        """Put in force a record that a peer's fold has accepted.

        The peer has checked it against the records before it in the log,
        so this fold needs none of those that it has not read.

        Raises
        ======

        ValueError
            If ``offset`` is before ``next_offset``.
        """
        if offset < self.next_offset:
            raise ValueError(f"offset {offset} was already applied or skipped")
        self.next_offset = offset + 1
        verdict = self._put_in_force(offset, record)
        if verdict is PublishVerdict.ACCEPTED:
            self._has_base = True
            self._unchecked_records.clear()
        return verdict

    def _put_base_in_force(
        self, offset: int, base: PublishRecord
    ) -> PublishVerdict:
        """Put a base in force and check the records from ``as_of`` on."""
        since_base = [
            (record_offset, record)
            for record_offset, record in self._unchecked_records
            if record_offset >= base.as_of
        ]
        self._unchecked_records.clear()
        self._has_base = True
        verdict = self._put_in_force(base.as_of - 1, base)
        for record_offset, record in since_base:
            self._check_and_apply(record_offset, record)
        self._check_and_apply(offset, base)
        return verdict

    def _check_and_apply(
        self, offset: int, record: PublishRecord
    ) -> PublishVerdict:
        if (
            record.change_id in self._accepted_change_ids
            and not record.carries_forward
        ):
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

    def _put_in_force(
        self, offset: int, record: PublishRecord
    ) -> PublishVerdict:
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
        self._accepted_change_ids.append(record.change_id)
        return PublishVerdict.ACCEPTED
