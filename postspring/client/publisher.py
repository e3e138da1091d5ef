"""Publishing configuration: compare with the expected version and publish."""

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
    """Reads and publishes configuration on the platform's log.

    Parameters
    ==========

    address : tuple of (str, int)
        The platform's IP number and port.
    timeout : float
        Seconds for one request.
    """

    def __init__(self, address: tuple[str, int], timeout: float = 5.0):
        self._address = address
        self._timeout = timeout

    def read(self) -> configuration.ConfigurationFold:
        """Return the fold of the whole stream.

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
        """Publish a document and return its version once it counts.

        Parameters
        ----------
        expected_version : int or None
            The version that the change was made against; None for the
            one in force now.
        change_id : str or None
            Name of the change.  Publishing it again, after a lost answer,
            does not repeat it.

        Raises
        ------
        ConfigurationError
            If the document is wrong.
        PublishConflictError
            If another change came first.
        PlatformError
            If the log does not answer: the change may or may not have been
            published; publish it again with the same ``change_id``.
        """
        configuration.parse_configuration(document)
        change_id = change_id or secrets.token_hex(8)
        state = self.read().state
        if state.change_id == change_id:
            return state.version
        if expected_version is None:
            expected_version = state.version
        record = configuration.Publish(
            change_id=change_id,
            expected_version=expected_version,
            version=expected_version + 1,
            document=document,
            author=author,
        )
        data = configuration.configuration_records.encode(record)
        self._request("POST", STREAM_PATH, cbor2.dumps([data]))
        return self._outcome(change_id, record.version)

    def _outcome(self, change_id: str, version: int) -> int:
        fold = self.read()
        if fold.counted_change(change_id):
            return version
        raise configuration.PublishConflictError(
            f"not published: version {fold.state.version} by "
            f"{fold.state.author or 'somebody'} is in force; "
            "look at it and publish against it"
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
            answer = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise errors.PlatformError(f"log: {error}") from error
        finally:
            connection.close()
        if response.status != 200:
            raise errors.PlatformError(f"log answered {response.status}")
        return answer


def format_state(state: configuration.ConfigurationState) -> str:
    """Return the document in force, indented, with its version."""
    document = json.loads(state.document)
    return json.dumps(
        {"version": state.version, "document": document}, indent=2
    )
