"""Running texts of the query and command language from outside."""

from collections.abc import Sequence
import http.client
import json
import secrets

from postspring import errors

__all__ = ["Commander"]

TIMEOUT_SECONDS = 30.0


class Commander:
    """Sends texts to an entry VM.

    Parameters
    ==========

    addresses : sequence of str
        ``ip:port`` of entry VMs; the next one is asked when one fails.
    key : str
        The operators' key.
    """

    def __init__(self, addresses: Sequence[str], key: str = ""):
        self._addresses = list(addresses)
        self._key = key

    def run(
        self, text: str, format: str = "table", change_id: str = ""
    ) -> str:
        """Return the answer's text.

        Raises
        ------
        CommandError
            If the text is wrong, or the change lost against another.
        PlatformError
            If no VM answered; a change with the same ``change_id`` may be
            asked for again.
        """
        change_id = change_id or secrets.token_hex(8)
        body = {"text": text, "format": format, "change_id": change_id}
        failure = ""
        for address in self._addresses:
            try:
                status, answer = self._post(address, body)
            except (OSError, http.client.HTTPException) as error:
                failure = f"{address}: {error!r}"
                continue
            if status != 200:
                raise errors.CommandError(
                    answer.get("error") or answer.get("refused", "refused")
                )
            if "text" in answer:
                return answer["text"]
            return json.dumps(answer)
        raise errors.PlatformError(f"no VM answered: {failure}")

    def _post(self, address: str, body: dict) -> tuple[int, dict]:
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=TIMEOUT_SECONDS
        )
        headers = {"Content-Type": "application/json"}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        try:
            connection.request(
                "POST", "/v1/command", json.dumps(body), headers
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        finally:
            connection.close()
