"""Hands over the records that the log lacks when a VM stops.

Every turn whose complete answer a caller has, and every record that VMs were
asked to hold, is in the log, or on this VM, or on two VMs that are not
stopping (on one, if no two answer). A stopping VM still waits for the log; it
may be killed, and exits when its grace period is over. When all VMs stop while
the log is unavailable, no VM takes records, and those that only they hold are
lost; the log line "stopped" says how many.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging

from postspring.histories import records

__all__ = ["CHECK_SECONDS", "Handover"]

LOG = logging.getLogger(__name__)

# How often a stopping VM looks for records that no VM has taken, in seconds.
CHECK_SECONDS = 0.5
# Bytes of records that are sent at once: well below what a VM reads of a
# request, 4 MiB.
BATCH_BYTES = 1024 * 1024

# Sends records to other VMs; calls the function with whether enough VMs have
# all of them.
SendRecords = Callable[[list[bytes], Callable[[bool], None]], None]


class Handover:
    """Sends each record to other VMs until enough have taken it.

    Parameters
    ==========

    list_unrecorded : callable
        Returns the records that the log lacks.
    send : callable
        Sends some of them to other VMs.
    """

    def __init__(
        self, list_unrecorded: Callable[[], Iterable], send: SendRecords
    ):
        self._list_unrecorded = list_unrecorded
        self._send = send
        self._taken: set = set()
        self._is_sending = False

    def send_next_batch(self) -> None:
        """Send some of the records that too few VMs have taken."""
        if self._is_sending:
            return
        batch, size = [], 0
        data_of_batch = []
        for record in self._list_unrecorded():
            if record in self._taken:
                continue
            data = records.encode_record(record)
            size += len(data)
            if batch and size > BATCH_BYTES:
                break
            batch.append(record)
            data_of_batch.append(data)
        if not batch:
            return
        self._is_sending = True

        def done(is_taken: bool) -> None:
            self._is_sending = False
            LOG.info(
                "handover of records ended",
                extra={"records": len(batch), "taken": is_taken},
            )
            if is_taken:
                self._taken.update(batch)
                self.send_next_batch()

        self._send(data_of_batch, done)
