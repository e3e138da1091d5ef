"""The front VM's daemon, as the users' platform starts it."""

from collections.abc import Mapping
import logging
import os
import signal
import sys
import types

from postspring.daemon import early_signals

# The imports below take a good part of the start; a signal meanwhile would
# end the process by its default action.
EARLY_SIGNALS = early_signals.EarlySignals()
if __name__ == "__main__":
    EARLY_SIGNALS.install()

# circuits asks pkg_resources only to declare a namespace package, and
# importing it costs 9 MB on each VM.
_namespaces = types.ModuleType("pkg_resources")
_namespaces.declare_namespace = lambda name: None
sys.modules.setdefault("pkg_resources", _namespaces)

from postspring.daemon import process  # noqa: E402
from postspring import errors  # noqa: E402
from postspring.front import node as node_module  # noqa: E402
from postspring.front import settings  # noqa: E402
from postspring import logs  # noqa: E402
from postspring import platform  # noqa: E402
from postspring import transport  # noqa: E402

__all__ = ["main", "reload_on_hangup", "run_front"]

LOG = logging.getLogger(__name__)

# A file that is just being written is whole soon after; in seconds.
READ_AGAIN_SECONDS = 0.2
MOST_READS = 50


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
    if EARLY_SIGNALS.has(signal.SIGTERM, signal.SIGINT):
        LOG.info("stopped before the start")
        return
    process.raise_file_limit(vm.max_files)
    node = node_module.FrontNode(vm, own, on_stopped=process.end_process)
    process.Process(node, node.shutdown.begin, EARLY_SIGNALS)
    reload_on_hangup(node, os.environ)
    node.run()


def reload_on_hangup(
    node: node_module.FrontNode, environment: Mapping[str, str]
) -> None:
    """Read the settings again at SIGHUP; without this it ends the process.

    A file that can't be read is tried again for a while, as it may be half
    written; meanwhile the settings that are known stay in force.
    """
    pending: list[transport.TimerHandle] = []

    def read_again(left: int) -> None:
        pending.clear()
        try:
            vm = platform.load_settings(environment)
        except errors.SettingsError as error:
            is_last = not left
            if is_last or left == MOST_READS:
                LOG.error(
                    "settings not read",
                    extra={"error": str(error), "given_up": is_last},
                )
            if not is_last:
                plan(READ_AGAIN_SECONDS, left - 1)
        else:
            node.reconfigure(vm)

    def plan(seconds: float, left: int) -> None:
        for handle in pending:
            handle.cancel()
        pending[:] = [node.timers.call_later(seconds, read_again, left)]

    def hang_up() -> None:
        plan(0, MOST_READS)

    signal.signal(signal.SIGHUP, lambda number, frame: hang_up())
    EARLY_SIGNALS.replay(signal.SIGHUP, hang_up)


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
