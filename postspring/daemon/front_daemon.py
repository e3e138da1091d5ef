"""The front VM's daemon, as the users' platform starts it."""

from collections.abc import Mapping
import logging
import os
import signal
import sys
import types

# circuits asks pkg_resources only to declare a namespace package, and
# importing it costs 9 MB on each VM.
_namespaces = types.ModuleType("pkg_resources")
_namespaces.declare_namespace = lambda name: None
sys.modules.setdefault("pkg_resources", _namespaces)

from circuits import BaseComponent  # noqa: E402
from circuits import handler  # noqa: E402

from postspring import errors  # noqa: E402
from postspring.front import logs  # noqa: E402
from postspring.front import node as node_module  # noqa: E402
from postspring.front import settings  # noqa: E402
from postspring import platform  # noqa: E402

__all__ = ["main", "reload_on_hangup", "run_front"]

LOG = logging.getLogger(__name__)


class _Daemon(BaseComponent):
    """Starts the node with the loop and stops it by signal.

    circuits' manager would stop the loop at once.
    """

    def __init__(self, node: node_module.FrontNode):
        super().__init__()
        self._node = node

    @handler("started", channel="*")
    def _on_started(self, *arguments):
        self._node.start()

    @handler("signal", channel="*")
    def _on_signal(self, number, stack):
        if number in (signal.SIGTERM, signal.SIGINT):
            self._node.shutdown.begin()


def run_front(flags: dict[str, str]) -> None:
    """Run a front VM until it is told to stop."""
    own = settings.load_front_settings(flags, os.environ)
    vm = platform.load_settings(os.environ)
    logs.set_up_front_logs(
        own.log_level,
        own.log_lines_per_second,
        vm=vm.vm,
        data_center=vm.data_center,
    )
    node = node_module.FrontNode(vm, own, on_stopped=_stop)
    _Daemon(node).register(node)
    reload_on_hangup(node, os.environ)
    node.run()


def reload_on_hangup(
    node: node_module.FrontNode, environment: Mapping[str, str]
) -> None:
    """Read the settings again at SIGHUP; without this it ends the process."""

    def read_again() -> None:
        try:
            node.reconfigure(platform.load_settings(environment))
        except errors.SettingsError as error:
            LOG.error("settings not read", extra={"error": str(error)})

    signal.signal(
        signal.SIGHUP,
        lambda number, frame: node.timers.call_later(0, read_again),
    )


def _stop() -> None:
    raise SystemExit(0)


def main() -> None:
    """Run with ``--name=value`` flags; a fault is one line and status 1."""
    flags = {}
    for word in sys.argv[1:]:
        name, _, value = word.removeprefix("--").partition("=")
        flags[name.replace("-", "_")] = value
    try:
        run_front(flags)
    except errors.PostspringError as error:
        print(f"postspring: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
