"""Daemon of an entry VM."""

from postspring.daemon import process
from postspring.entry import node as node_module
from postspring import logs
from postspring import settings

__all__ = ["run_entry"]


def run_entry(entry_settings: settings.EntrySettings) -> None:
    """Run an entry VM until a signal stops it."""
    logs.set_up_logs(
        entry_settings.log_level,
        vm=entry_settings.vm,
        data_center=entry_settings.data_center,
    )
    process.raise_file_limit()
    node = node_module.EntryNode(
        entry_settings, on_stopped=process.end_process
    )

    def shut_down() -> None:
        """Begin a graceful shutdown; on the second signal exit at once."""
        if node.leaving:
            raise SystemExit(1)
        node.shut_down()

    process.Process(node, shut_down)
    node.run()
