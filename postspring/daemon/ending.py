"""How a daemon's process ends: its last line says why, whatever ended it."""

from collections.abc import Callable
import contextlib
import logging
import os
import resource
import signal
from typing import NoReturn

from postspring import errors

__all__ = ["open_standard_streams", "run_to_end"]

LOG = logging.getLogger(__name__)

STANDARD_DESCRIPTORS = (0, 1, 2)
KIB_PER_MIB = 1024


def open_standard_streams() -> None:
    """Open /dev/null in place of standard streams that are closed.

    Otherwise a connection could get the descriptor of one of them, and what
    is printed would be sent to its peer.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # takes the lowest free descriptor, which is this one
            os.open(os.devnull, os.O_RDWR)


def run_to_end(run: Callable[[], None]) -> NoReturn:
    """Run a daemon until it raises SystemExit, then end the process.

    An end by any other exception, or a return, which is how a failure of the
    event loop appears, gives the exit code 1.
    """
    try:
        run()
    except SystemExit as stop:
        code = stop.code if isinstance(stop.code, int) else bool(stop.code)
        _report_end(int(code))
    except errors.PostspringError as error:
        code = _report_end(1, error)
    except BaseException as error:
        code = _report_end(1, error, has_traceback=True)
    else:
        code = _report_end(1, RuntimeError("the event loop ended"))
    raise SystemExit(code)


def _report_end(
    code: int, error: BaseException | None = None, has_traceback: bool = False
) -> int:
    # Nothing may change the exit code from here on.
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    extra = {"exit_code": code, "peak_memory_mb": peak // KIB_PER_MIB}
    if error is not None:
        extra |= {"error_type": type(error).__name__, "error": str(error)}
    with contextlib.suppress(Exception):
        LOG.log(
            logging.CRITICAL if code else logging.INFO,
            "ended",
            exc_info=error if has_traceback else None,
            extra=extra,
        )
    return code
