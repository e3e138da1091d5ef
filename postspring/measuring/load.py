"""A closed-loop HTTP load on loopback, bounded in count and time."""

from collections.abc import Callable
import http.client
import threading
import time

__all__ = ["processor_seconds", "resident_bytes", "run_load"]

TICKS_PER_SECOND = 100
PAGE_BYTES = 4096


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the memory that a process has resident."""
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def run_load(
    address: str,
    count: int,
    workers: int,
    request: Callable[[http.client.HTTPConnection, int], None],
) -> list[float]:
    """Return the latencies, in seconds, of ``count`` requests.

    Parameters
    ----------
    request : callable
        Called with a kept connection and the request's number.
    """
    host, _, port = address.rpartition(":")
    latencies: list[float] = []
    numbers = iter(range(count))
    lock = threading.Lock()

    def work() -> None:
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                break
            began = time.perf_counter()
            request(connection, number)
            latencies.append(time.perf_counter() - began)
        connection.close()

    threads = [threading.Thread(target=work) for _ in range(workers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies
