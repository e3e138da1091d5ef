"""Waits for what a front VM needs to start and what may come late."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging
import signal
import time

from postspring.daemon import early_signals
from postspring import errors
from postspring import platform
from postspring import transport

__all__ = ["Prepared", "Startup"]

LOG = logging.getLogger(__name__)

# Delay between attempts, and how long they go on.  A supervisor starts the
# process again after it has given up.
RETRY_SECONDS = 0.2
MAX_WAIT_SECONDS = 30.0
MAX_RETRIES = round(MAX_WAIT_SECONDS / RETRY_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """What a front VM has before its node is created."""

    vm: platform.VmSettings
    listeners: transport.Listeners


class Startup:
    """Obtains the settings of this VM and opens its listeners.

    An address may be taken for a moment by the process before this one, or by
    an outgoing connection, or be assigned to the machine later.

    Parameters
    ==========

    environment : dict of str to str
        Names the settings file.
    early : EarlySignals
        SIGTERM and SIGINT end the wait; SIGHUP has the settings read again
        and starts the wait anew.
    on_settings : callable
        Called with the settings each time they have been read.
    addresses_of : callable
        Returns the addresses to listen on, by name, for these settings.
    sleep : callable
        Called with the seconds until the next attempt.
    """

    def __init__(
        self,
        environment: Mapping[str, str],
        early: early_signals.EarlySignals,
        on_settings: Callable[[platform.VmSettings], None],
        addresses_of: Callable[
            [platform.VmSettings], Mapping[str, tuple[str, int]]
        ],
        sleep: Callable[[float], None] = time.sleep,
    ):
        self._environment = environment
        self._early = early
        self._on_settings = on_settings
        self._addresses_of = addresses_of
        self._sleep = sleep
        self._vm: platform.VmSettings | None = None

    def prepare(self) -> Prepared | None:
        """Return what is needed, or None if a signal asked to stop.

        Raises
        ------
        SettingsError
            If they were missing or invalid until the end of the wait.
        ListenError
            If an address could not be listened on until then.
        """
        path = platform.settings_path(self._environment)
        retries_left = MAX_RETRIES
        reported = ""
        while not self._early.has(signal.SIGTERM, signal.SIGINT):
            try:
                return self._attempt()
            except (errors.ListenError, errors.SettingsError) as error:
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

    def _attempt(self) -> Prepared:
        if self._vm is None:
            self._vm = platform.load_settings(self._environment)
            self._on_settings(self._vm)
        addresses = self._addresses_of(self._vm)
        return Prepared(self._vm, transport.open_listeners(addresses))

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
