"""Starts a front VM, with signal handlers before anything else.

Until a handler is installed, SIGHUP ends the process.  So this file is run by
its path and without ``site``, which takes long (``python3 -S``), and imports
only built-in modules until then.
"""

import _signal
import sys

__all__ = ["main", "record_signals"]

# Folders from this file up to the one that contains the package.
LEVELS = 3


def record_signals() -> list[int]:
    """Record signals from now on; return the list that they are added to."""
    recorded: list[int] = []
    for number in (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT):
        _signal.signal(number, lambda number, frame: recorded.append(number))
    return recorded


def prepare_path() -> None:
    """Find the package and its dependencies, wherever the process starts."""
    if "site" not in sys.modules:
        import site

        site.main()
    folder, _, _ = __file__.rpartition("/")
    root = __file__.rsplit("/", LEVELS)[0]
    others = [path for path in sys.path if path not in (folder, root)]
    sys.path[:] = [root, *others]


def report_failure(error: BaseException) -> None:
    """Print how the process ends, as logs can't be imported."""
    import json

    sys.excepthook(type(error), error, error.__traceback__)
    line = {
        "level": "CRITICAL",
        "message": "ended",
        "exit_code": 1,
        "error_type": type(error).__name__,
        "error": str(error),
    }
    print(json.dumps(line), flush=True)


def main() -> None:
    """Run a front VM with ``--name=value`` flags."""
    recorded = record_signals()
    prepare_path()
    try:
        from postspring.daemon import front_daemon
    except BaseException as error:
        report_failure(error)
        sys.exit(1)
    front_daemon.main(recorded)


if __name__ == "__main__":
    main()
