"""Clients of the platform's append-only log and of its list of VMs."""

from postspring.sharedlog.appender import StreamAppender
from postspring.sharedlog.log_client import LogClient
from postspring.sharedlog.log_client import LogPage
from postspring.sharedlog.tail import StreamTail
from postspring.sharedlog.vm_list import VmEntry
from postspring.sharedlog.vm_list import VmList
from postspring.sharedlog.vm_list import VmState

__all__ = [
    "LogClient",
    "LogPage",
    "StreamAppender",
    "StreamTail",
    "VmEntry",
    "VmList",
    "VmState",
]
