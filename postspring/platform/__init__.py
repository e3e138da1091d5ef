"""Platform: clients of the append-only log and of the list of VMs."""

from postspring.platform.appender import StreamAppender
from postspring.platform.log_client import LogClient
from postspring.platform.log_client import LogPage
from postspring.platform.tail import StreamTail
from postspring.platform.vm_list import VmEntry
from postspring.platform.vm_list import VmList
from postspring.platform.vm_list import VmState

__all__ = [
    "LogClient",
    "LogPage",
    "StreamAppender",
    "StreamTail",
    "VmEntry",
    "VmList",
    "VmState",
]
