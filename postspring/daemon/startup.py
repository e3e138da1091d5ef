"""Waits for what a front VM needs to start and what may come late."""

from collections.abc import Callable
from collections.abc import Mapping
import logging
import signal
import time

from postspring.daemon import early_signals
from postspring import errors
from postspring import platform

__all__ = ["Startup"]

LOG = logging.getLogger(__name__)

# Delay between attempts, and how long they go on.  A supervisor starts the
# process again after it has given up.
RETRY_SECONDS = 0.2
MAX_WAIT_SECONDS = 30.0
MAX_RETRIES = round(MAX_WAIT_SECONDS / RETRY_SECONDS)


class Startup:
    """Obtains the settings of this VM.

    Parameters
    ==========

    environment : dict of str to str
        Names the settings file.
    early : EarlySignals
        SIGTERM and SIGINT end the wait; SIGHUP has the settings read again
        and starts the wait anew.
    on_settings : callable
        Called with the settings each time they have been read.
    sleep : callable
        Called with the seconds until the next attempt.
    """

    def __init__(
        self,
        environment: Mapping[str, str],
        early: early_signals.EarlySignals,
        on_settings: Callable[[platform.VmSettings], None],
        sleep: Callable[[float], None] = time.sleep,
    ):
        self._environment = environment
        self._early = early
        self._on_settings = on_settings
        self._sleep = sleep
        self._vm: platform.VmSettings | None = None

    def prepare(self) -> platform.VmSettings | None:
        """Return the settings, or None if a signal asked to stop.

        Raises
        ------
        SettingsError
            If they were missing or invalid until the end of the wait.
        """
        path = platform.settings_path(self._environment)
        retries_left = MAX_RETRIES
        reported = ""
        while not self._early.has(signal.SIGTERM, signal.SIGINT):
            try:
                return self._attempt()
            except errors.SettingsError as error:
                if not retries_left:
                    raise
                if str(error) != reported:
                    reported = str(error)
                    self._report(path, error, retries_left)
            retries_left -= 1
            self._sleep(RETRY_SECONDS)
            if self._early.take(signal.SIGHUP):
                self._vm = None
                retries_left = MAX_RETRIES
        return None

    def _attempt(self) -> platform.VmSettings:
        if self._vm is None:
            self._vm = platform.load_settings(self._environment)
            self._on_settings(self._vm)
        return self._vm

    @staticmethod
    def _report(path: str, error: Exception, retries_left: int) -> None:
        LOG.warning(
            "waiting to start",
            extra={
                "settings": path,
                "error": str(error),
                "seconds_left": round(retries_left * RETRY_SECONDS, 1),
            },
        )
