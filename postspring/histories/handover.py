"""What a VM that stops gives to others, since the log lacks it.

The promise: what a caller had whole, and what VMs were asked to keep, is in
the log, or with this VM, or with two VMs that are not stopping (with one, if
there are no two that answer).  A VM that stops still waits for the log; it
may be killed, and ends with its grace.  When all VMs stop while the log is
away nobody takes anything, and what only they have goes with them; the line
"stopped" says how much.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging

from postspring.histories import records

__all__ = [
    "CHECK_SECONDS",
    "Handover",
]

LOG = logging.getLogger(__name__)

# How often a VM that stops looks for what nobody has taken yet, in seconds.
CHECK_SECONDS = 0.5
# Bytes of records that are given away at once: well below what a VM reads
# of a request, 4 MiB.
BATCH_BYTES = 1024 * 1024

# Gives records to other VMs; told whether enough of them have all.
SendRecords = Callable[[list[bytes], Callable[[bool], None]], None]


class Handover:
    """Gives each record away once enough VMs have taken it.

    Parameters
    ==========

    owed : callable
        Returns the records that the log lacks.
    give : callable
        Gives some to other VMs.
    """

    def __init__(
        self, list_unrecorded: Callable[[], Iterable], send: SendRecords
    ):
        self._list_unrecorded = list_unrecorded
        self._send = send
        self._taken: set = set()
        self._is_sending = False

    def send_next_batch(self) -> None:
        """Give away what nobody has taken yet, some of it."""
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
                "records handed over",
                extra={"records": len(batch), "taken": is_taken},
            )
            if is_taken:
                self._taken.update(batch)
                self.send_next_batch()

        self._send(data_of_batch, done)
