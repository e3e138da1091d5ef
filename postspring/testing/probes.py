"""What tests see of a process from outside: its answers and what it uses."""

import http.client
import json
import os
import pathlib
import subprocess
from typing import Any

__all__ = ["fetch", "peak_bytes", "processor_seconds", "status_of"]


def fetch(address: str, method: str, path: str, body: Any = None) -> Any:
    """Return the JSON answer of a stand-in."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    data = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, data)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def status_of(
    address: tuple[str, int],
    path: str,
    headers: dict[str, str] | None = None,
    seconds: float = 10.0,
) -> int:
    """Return the status of a GET on a new connection."""
    connection = http.client.HTTPConnection(*address, timeout=seconds)
    try:
        connection.request("GET", path, headers=headers or {})
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


def processor_seconds(process: subprocess.Popen) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    # The name, which may have spaces, ends with the last parenthesis; user
    # and system time are the 14th and 15th field.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def peak_bytes(process: subprocess.Popen) -> int:
    """Return the most resident memory that a process has had, in bytes."""
    path = pathlib.Path(f"/proc/{process.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0
