"""Publishes configuration if the expected version is in force."""

import http.client
import json
import secrets

import cbor2

from postspring import configuration
from postspring import errors

__all__ = ["ConfigurationPublisher"]

STREAM_PATH = "/streams/configuration"
PAGE_RECORDS = 1000


class ConfigurationPublisher:
    """Reads configuration from the platform's log and appends to it.

    Parameters
    ==========

    address : tuple of (str, int)
        IP address and port of the platform.
    timeout : float
        Socket timeout of each request in seconds.
    """

    def __init__(self, address: tuple[str, int], timeout: float = 5.0):
        self._address = address
        self._timeout = timeout

    def read(self) -> configuration.ConfigurationFold:
        """Return the fold of the complete stream.

        Raises
        ------
        PlatformError
            If the log can't be read.
        """
        fold = configuration.ConfigurationFold()
        while True:
            path = (
                f"{STREAM_PATH}?from={fold.next_offset}&limit={PAGE_RECORDS}"
            )
            page = cbor2.loads(self._request("GET", path, b""))
            if page["first"] > fold.next_offset:
                fold.skip_to(page["first"])
            for offset, data in page["records"]:
                self._apply(fold, offset, data)
            if fold.next_offset >= page["next"]:
                return fold

    def publish(
        self,
        document: bytes,
        expected_version: int | None = None,
        author: str = "",
        change_id: str | None = None,
    ) -> int:
        """Publish a document and return its version once it is accepted.

        Parameters
        ----------
        expected_version : int or None
            Version that the change was made against; None for the one in
            force now.
        change_id : str or None
            Idempotency key of the change, for retries after a lost
            response; None for a random one.

        Raises
        ------
        ConfigurationError
            If the document is invalid.
        PublishConflictError
            If another change was accepted first.
        PlatformError
            If the log does not respond.  The change may or may not have
            been published; retry it with the same ``change_id``.
        """
        configuration.parse_configuration(document)
        change_id = change_id or secrets.token_hex(8)
        state = self.read().state
        if state.change_id == change_id:
            return state.version
        if expected_version is None:
            expected_version = state.version
        record = configuration.PublishRecord(
            change_id=change_id,
            expected_version=expected_version,
            version=expected_version + 1,
            document=document,
            author=author,
        )
        data = configuration.configuration_records.encode(record)
        self._request("POST", STREAM_PATH, cbor2.dumps([data]))
        return self._check_published(change_id, record.version)

    def _check_published(self, change_id: str, version: int) -> int:
        fold = self.read()
        if fold.is_change_accepted(change_id):
            return version
        raise configuration.PublishConflictError(
            f"not published: version {fold.state.version} by "
            f"{fold.state.author or 'somebody'} is in force; "
            "review it and publish against that version"
        )

    def _apply(
        self, fold: configuration.ConfigurationFold, offset: int, data: bytes
    ) -> None:
        try:
            record = configuration.configuration_records.decode(data)
        except errors.CodecError:
            fold.skip_record(offset)
            return
        fold.apply(offset, record)

    def _request(self, method: str, path: str, body: bytes) -> bytes:
        connection = http.client.HTTPConnection(
            *self._address, timeout=self._timeout
        )
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            response_body = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise errors.PlatformError(f"log: {error}") from error
        finally:
            connection.close()
        if response.status != 200:
            raise errors.PlatformError(f"log answered {response.status}")
        return response_body


def format_state(state: configuration.ConfigurationState) -> str:
    """Return the document in force and its version as indented JSON."""
    document = json.loads(state.document)
    return json.dumps(
        {"version": state.version, "document": document}, indent=2
    )
