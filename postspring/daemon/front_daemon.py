"""Daemon of a front VM, as the users' platform starts it."""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import logging
import os
import resource
import signal
import sys

from postspring.daemon import early_signals
from postspring.daemon import reduced_imports

# The imports below take much of the start; until handlers are installed, a
# signal would end the process by its default action.  ``start`` installs its
# own even before this module is imported.
EARLY_SIGNALS = early_signals.EarlySignals()
if __name__ == "__main__":
    EARLY_SIGNALS.install()

with reduced_imports.without_collector(), reduced_imports.placeholders():
    from postspring.daemon import allocator
    from postspring.daemon import ending
    from postspring.daemon import process
    from postspring.daemon import startup
    from postspring import errors
    from postspring.front import addresses
    from postspring.front import node as node_module
    from postspring.front import settings
    from postspring import logs
    from postspring import platform
    from postspring import transport

__all__ = ["main", "reload_on_hangup", "run_front"]

LOG = logging.getLogger(__name__)

# Delay between reads of an invalid settings file, which may be half written.
RELOAD_RETRY_SECONDS = 0.2
MAX_RELOAD_RETRIES = 50


def run_front(flags: dict[str, str]) -> None:
    """Run a front VM until a signal stops it."""
    front_settings = settings.load_front_settings(flags, os.environ)
    set_up_logs = functools.partial(
        logs.set_up_front_logs,
        front_settings.log_level,
        front_settings.log_lines_per_second,
    )

    def report_start(vm: platform.VmSettings) -> None:
        set_up_logs(vm=vm.vm, data_center=vm.data_center)
        extra = {
            "settings": platform.settings_path(os.environ),
            "memory_mb": vm.memory_mb,
            "max_files": vm.max_files,
            "file_limits": resource.getrlimit(resource.RLIMIT_NOFILE),
            "python": sys.version.partition(" ")[0],
        }
        LOG.info("starting", extra=extra)

    set_up_logs()
    prepared = startup.Startup(
        os.environ,
        EARLY_SIGNALS,
        report_start,
        lambda vm: addresses.listen_addresses(vm, front_settings),
    ).prepare()
    if prepared is None:
        LOG.info("stopped by a signal during the start")
        process.end_process()
    vm = prepared.vm
    allocator.fix_mapping_threshold()
    process.raise_file_limit(vm.max_files)
    node = node_module.FrontNode(
        vm, front_settings, process.end_process, prepared.listeners
    )
    process.Process(node, node.shutdown.begin, EARLY_SIGNALS)
    process.FailureLog().register(node)
    reload_on_hangup(node, os.environ)
    node.run()


def reload_on_hangup(
    node: node_module.FrontNode, environment: Mapping[str, str]
) -> None:
    """Reload the settings on SIGHUP, which by default ends the process.

    An invalid file is read again for a while, as it may be half written.
    Until it is valid, the current settings stay in force.
    """
    pending: list[transport.TimerHandle] = []

    def reload(retries_left: int) -> None:
        pending.clear()
        try:
            vm = platform.load_settings(environment)
        except errors.SettingsError as error:
            is_last = not retries_left
            if is_last or retries_left == MAX_RELOAD_RETRIES:
                LOG.error(
                    "settings not read",
                    extra={"error": str(error), "given_up": is_last},
                )
            if not is_last:
                schedule(RELOAD_RETRY_SECONDS, retries_left - 1)
        else:
            node.reconfigure(vm)

    def schedule(seconds: float, retries_left: int) -> None:
        for handle in pending:
            handle.cancel()
        pending[:] = [node.timers.call_later(seconds, reload, retries_left)]

    def on_hangup() -> None:
        schedule(0, MAX_RELOAD_RETRIES)

    signal.signal(signal.SIGHUP, lambda number, frame: on_hangup())
    EARLY_SIGNALS.replay(signal.SIGHUP, on_hangup)


def main(recorded: Iterable[int] = ()) -> None:
    """Run with ``--name=value`` flags until the process ends.

    Parameters
    ----------
    recorded : iterable of int
        Signals that arrived before; their handlers are replaced.
    """
    EARLY_SIGNALS.install()
    for number in recorded:
        EARLY_SIGNALS.record(number)
    ending.open_standard_streams()
    defaults = settings.FrontSettings()
    logs.set_up_front_logs(defaults.log_level, defaults.log_lines_per_second)
    flags = {}
    for argument in sys.argv[1:]:
        name, _, value = argument.removeprefix("--").partition("=")
        flags[name.replace("-", "_")] = value
    ending.run_to_end(lambda: run_front(flags))


if __name__ == "__main__":
    main()
