"""Client for the query and command language of the entry VMs."""

from collections.abc import Sequence
import http.client
import json
import secrets

from postspring import errors

__all__ = ["CommandClient"]

TIMEOUT_SECONDS = 30.0


class CommandClient:
    """Runs queries and commands on the first entry VM that responds.

    Parameters
    ==========

    addresses : sequence of str
        ``ip:port`` of entry VMs, tried in this order.
    key : str
        Operators' key, sent as a bearer token; empty for none.
    """

    def __init__(self, addresses: Sequence[str], key: str = ""):
        self._addresses = list(addresses)
        self._key = key

    def run(
        self, text: str, format: str = "table", change_id: str = ""
    ) -> str:
        """Run a query or command and return the resulting text.

        Raises
        ------
        CommandError
            If the text is wrong, the change conflicts with another one, or
            the request is refused.
        PlatformError
            If no VM responded.  A change may have been made all the same;
            retrying it with the same ``change_id`` is safe.
        """
        change_id = change_id or secrets.token_hex(8)
        body = {"text": text, "format": format, "change_id": change_id}
        last_error = ""
        for address in self._addresses:
            try:
                status, response_body = self._post(address, body)
            except (OSError, http.client.HTTPException) as error:
                last_error = f"{address}: {error!r}"
                continue
            if status != 200:
                raise errors.CommandError(
                    response_body.get("error")
                    or response_body.get("refused", "refused")
                )
            if "text" in response_body:
                return response_body["text"]
            return json.dumps(response_body)
        raise errors.PlatformError(f"no VM answered: {last_error}")

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
