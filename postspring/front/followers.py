"""Follows the configuration and the upstreams in the log."""

from collections.abc import Callable
import math

from postspring import forwarding
from postspring.front import configuration as configuration_module
from postspring.front import directory_updater
from postspring.front import read_budget
from postspring.front import upstream_follower
from postspring import keyedlog
from postspring import peering
from postspring import platform
from postspring import transport
from postspring import upstreams

__all__ = ["Followers"]

CONFIGURATION_PLACE = keyedlog.LogPlace(keyedlog.Subject.CONFIGURATION, 0)
# A long poll for the configuration lasts at most this share of the time in
# which a new configuration has to be in force: a lost answer is noticed only
# when the long poll times out.
CONFIGURATION_WAIT_SHARE = 0.7
# The same share of the time in which a revoked key has to lose its effect.  A
# read confirms the configuration only as of the read's start, and the next
# confirmation comes when the next read ends; so two reads and a slow answer
# have to fit into that time.
KEY_REMOVAL_WAIT_SHARE = 0.36
# A VM that relays the log's confirmations to other VMs reads more often.  The
# others' confirmation is then about a second old, and they can accept keys
# for longer when the log becomes unavailable.
COLLECTOR_WAIT_SECONDS = 0.4


class Followers:
    """Keeps the configuration and the upstreams up to date.

    Parameters
    ==========

    current_configuration : CurrentConfiguration
        Receives the records of the configuration.
    directory : Directory
        Holds the upstreams.
    updater : DirectoryUpdater
        Receives the records of the upstreams.
    members : callable
        Returns the member list of VMs.
    request_view : callable
        Requests the view of a log partition from other VMs.
    is_collecting : callable
        Returns whether this VM relays the log's confirmations to others.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: transport.Timers,
        vm: platform.VmSettings,
        current_configuration: configuration_module.CurrentConfiguration,
        directory: upstreams.Directory,
        updater: directory_updater.DirectoryUpdater,
        members: Callable[[], peering.Members],
        request_view: keyedlog.RequestView,
        is_collecting: Callable[[], bool],
    ):
        self._current_configuration = current_configuration
        self._members = members
        self._configuration_bound = vm.configuration
        self._max_wait = _max_configuration_wait(vm)
        self.configuration = keyedlog.Follower(
            log,
            timers,
            CONFIGURATION_PLACE,
            current_configuration.apply_entries,
            current_configuration.apply_entries,
            wait=lambda: min(
                self._max_wait,
                COLLECTOR_WAIT_SECONDS if is_collecting() else math.inf,
            ),
            request_view=request_view,
        )
        self._upstream_follower = upstream_follower.UpstreamFollower(
            log,
            timers,
            vm.drain,
            vm.heartbeat,
            directory,
            updater,
            request_view,
            self.configuration.read_now,
        )
        self.upstreams = self._upstream_follower.follower

    def start(self) -> None:
        """Start to follow the log."""
        self.configuration.start()
        self._upstream_follower.start()

    def decision_inputs(self) -> dict:
        """Return what a decision is based on, for its log line."""
        return {
            "configuration": self._current_configuration.version,
            "upstreams_age": forwarding.loggable_age(self.upstreams.age),
        }

    def routes_certainty(self) -> forwarding.Certainty:
        """Return how certain it is that this VM has the newest routes."""
        age = self.configuration.age
        doubts = forwarding.find_doubts(
            age,
            self._configuration_bound,
            self._current_configuration.is_newest_readable,
        )
        return forwarding.Certainty(age, doubts)

    def view_of(self, subject: str) -> keyedlog.LogPage | None:
        """Return this VM's view of a subject, for a VM that just started."""
        if subject == keyedlog.Subject.CONFIGURATION.value:
            return self.configuration.view
        if subject == keyedlog.Subject.UPSTREAMS.value:
            return self.upstreams.view
        if subject == keyedlog.Subject.MEMBERS.value:
            return self._members().view
        return None


def _max_configuration_wait(vm: platform.VmSettings) -> float:
    wait = min(
        CONFIGURATION_WAIT_SHARE * vm.configuration,
        read_budget.max_read_pause(vm.configuration),
    )
    if vm.key_removal is None:
        return wait
    return min(wait, KEY_REMOVAL_WAIT_SHARE * vm.key_removal)
