"""The upstreams that a VM may use, kept up to date from the log."""

from collections.abc import Callable

from postspring.front import upstream_watch
from postspring import keyedlog
from postspring import transport
from postspring import upstreams

__all__ = ["UpstreamList"]

UPSTREAMS_PLACE = keyedlog.LogPlace(keyedlog.Subject.UPSTREAMS, 0)
# Upstreams write every heartbeat; they are read once in this share of the
# time in which a leaving one has to be left alone.
PACE_SHARE = 0.45
MISSING_SWEEP_SECONDS = 0.5


class UpstreamList:
    """Feeds the directory of upstreams from the log.

    Parameters
    ==========

    drain : float
        Within this time a leaving upstream gets no more work; seconds.
    ask_others : callable
        Asks other VMs for their view of a place.
    on_regained : callable
        Told when the log answers again.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: transport.Timers,
        drain: float,
        directory: upstreams.Directory,
        watch: upstream_watch.UpstreamWatch,
        ask_others: keyedlog.AskOthers,
        on_regained: Callable[[], None] = lambda: None,
    ):
        self._timers = timers
        self._directory = directory
        self._on_regained = on_regained
        self.follower = keyedlog.Follower(
            log,
            timers,
            UPSTREAMS_PLACE,
            watch.reset,
            watch.take,
            pace=PACE_SHARE * drain,
            on_regained=self._regained,
            ask_others=ask_others,
        )

    def start(self) -> None:
        """Begin to follow."""
        self.follower.start()
        self._timers.call_every(
            MISSING_SWEEP_SECONDS, self._directory.drop_missing
        )

    def _regained(self, seconds: float) -> None:
        self._directory.tolerate_missing()
        self._on_regained()
