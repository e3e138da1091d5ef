"""The entry VM's daemon."""

import signal

from circuits import BaseComponent
from circuits import handler

from postspring.daemon import logs
from postspring.daemon import settings
from postspring.entry import node as node_module

__all__ = ["run_entry"]


class _Daemon(BaseComponent):
    """Starts the node with the loop and stops it by signal.

    circuits' manager would stop the loop at the signal; here the first
    SIGTERM begins a graceful shutdown and a second one stops at once.
    """

    def __init__(self, node: node_module.EntryNode):
        super().__init__()
        self._node = node

    @handler("started", channel="*")
    def _on_started(self, *arguments):
        self._node.start()

    @handler("signal", channel="*")
    def _on_signal(self, number, stack):
        if number not in (signal.SIGTERM, signal.SIGINT):
            return
        if self._node.leaving:
            raise SystemExit(1)
        self._node.shut_down()


def run_entry(checked: settings.EntrySettings) -> None:
    """Run an entry VM until it is told to stop."""
    logs.set_up_logs(
        checked.log_level, vm=checked.vm, data_center=checked.data_center
    )
    node = node_module.EntryNode(checked, on_stopped=_stop)
    _Daemon(node).register(node)
    node.run()


def _stop() -> None:
    raise SystemExit(0)
