"""The entry VM's daemon."""

from postspring.daemon import process
from postspring.entry import node as node_module
from postspring import logs
from postspring import settings

__all__ = ["run_entry"]


def run_entry(checked: settings.EntrySettings) -> None:
    """Run an entry VM until it is told to stop."""
    logs.set_up_logs(
        checked.log_level, vm=checked.vm, data_center=checked.data_center
    )
    process.raise_file_limit()
    node = node_module.EntryNode(checked, on_stopped=process.end_process)

    def shut_down() -> None:
        """Begin a graceful shutdown; at the second signal stop at once."""
        if node.leaving:
            raise SystemExit(1)
        node.shut_down()

    process.Process(node, shut_down)
    node.run()
