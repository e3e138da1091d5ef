"""Follows the upstreams' entries in the log at a bounded delay."""

from collections.abc import Callable

from postspring.front import directory_updater
from postspring.front import read_budget
from postspring import keyedlog
from postspring import transport
from postspring import upstreams

__all__ = ["UpstreamFollower"]

UPSTREAMS_PLACE = keyedlog.LogPlace(keyedlog.Subject.UPSTREAMS, 0)
# Every upstream writes an entry each heartbeat, so the partition is polled at
# an interval: at most this share of the time in which a leaving upstream has
# to stop getting work.
READ_INTERVAL_SHARE = 0.45
MISSING_SWEEP_SECONDS = 0.5
# A running upstream rewrites its entry within this time after the log is
# available again, according to the platform's page.  In seconds.
REANNOUNCE_SECONDS = 2.0
# Interval of reads until then, in seconds.
RECOVERY_READ_INTERVAL_SECONDS = 0.25
# An entry lapses after three missed heartbeats, the first of which may have
# been before the outage.
HEARTBEATS_TO_LAPSE = 2


class UpstreamFollower:
    """Keeps the directory of upstreams up to date from the log.

    Parameters
    ==========

    drain : float
        Seconds after which a leaving upstream has to get no more work.
    heartbeat : float
        Seconds between two entries that an upstream writes.
    updater : DirectoryUpdater
        Applies the entries to the directory.
    request_view : callable
        Requests the view of a log partition from other VMs.
    on_recovered : callable
        Called when the log answers again.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: transport.Timers,
        drain: float,
        heartbeat: float,
        directory: upstreams.Directory,
        updater: directory_updater.DirectoryUpdater,
        request_view: keyedlog.RequestView,
        on_recovered: Callable[[], None] = lambda: None,
    ):
        self._timers = timers
        self._directory = directory
        self._drain = drain
        self._heartbeat = heartbeat
        self._frequent_reads_until = 0.0
        self._on_recovered = on_recovered
        self.follower = keyedlog.Follower(
            log,
            timers,
            UPSTREAMS_PLACE,
            updater.replace_entries,
            updater.apply_entries,
            read_interval=self._read_interval,
            on_recovered=self._on_log_regained,
            request_view=request_view,
        )

    def start(self) -> None:
        """Start to follow the log."""
        self.follower.start()
        self._timers.call_every(
            MISSING_SWEEP_SECONDS, self._directory.drop_missing
        )

    def _read_interval(self) -> float:
        interval = min(
            READ_INTERVAL_SHARE * self._drain,
            read_budget.max_read_pause(self._drain),
        )
        if self._timers.now() < self._frequent_reads_until:
            return min(interval, RECOVERY_READ_INTERVAL_SECONDS)
        return interval

    def _on_log_regained(self, outage: keyedlog.Outage) -> None:
        """Tolerate for a while that entries have lapsed during an outage.

        An upstream that left during the outage looks the same, and the log
        may have acknowledged its leave as soon as it was available again; so
        the tolerance is bounded from the earliest such moment.
        """
        if outage.longest >= HEARTBEATS_TO_LAPSE * self._heartbeat:
            seconds = min(REANNOUNCE_SECONDS, self._drain)
            self._directory.tolerate_missing(outage.unavailable_at + seconds)
            self._frequent_reads_until = (
                outage.recovered_at + REANNOUNCE_SECONDS
            )
        self._on_recovered()
