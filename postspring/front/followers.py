"""What a VM follows in the log: the configuration, and upstreams."""

from collections.abc import Callable
import math

from postspring import forwarding
from postspring.front import configuration as configuration_module
from postspring.front import read_budget
from postspring.front import upstream_list
from postspring.front import upstream_watch
from postspring import keyedlog
from postspring import peering
from postspring import platform
from postspring import transport
from postspring import upstreams

__all__ = ["Followers"]

CONFIGURATION_PLACE = keyedlog.LogPlace(keyedlog.Subject.CONFIGURATION, 0)
# A read of the configuration waits for a change during this share, at most, of
# the time in which one has to be in force: a read that is never answered is
# noticed only after that.
CONFIGURATION_WAIT_SHARE = 0.7
# The same of the time in which a key that was taken away has to be without
# effect: what a read confirms is as old as its start when the next one ends,
# so two of them and a slow answer have to fit.
KEY_REMOVAL_WAIT_SHARE = 0.36
# A VM that passes on what the log confirms reads more often: so the others
# know it as of a second ago, and believe keys for longer when the log is away.
COLLECTOR_WAIT_SECONDS = 0.4


class Followers:
    """Keeps the configuration and the upstreams up to date.

    Parameters
    ==========

    current : CurrentConfiguration
        Takes what is read of the configuration.
    directory : Directory
        Holds the upstreams.
    watch : UpstreamWatch
        Takes what is read of the upstreams.
    members : callable
        Returns the list of VMs.
    ask_view : callable
        Asks other VMs for their view of a place.
    is_collecting : callable
        Returns whether this VM passes on what the log confirms.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: transport.Timers,
        vm: platform.VmSettings,
        current: configuration_module.CurrentConfiguration,
        directory: upstreams.Directory,
        watch: upstream_watch.UpstreamWatch,
        members: Callable[[], peering.Members],
        ask_view: keyedlog.AskOthers,
        is_collecting: Callable[[], bool],
    ):
        self._current = current
        self._members = members
        self._bound = vm.configuration
        self._longest_wait = _configuration_wait(vm)
        self.configuration = keyedlog.Follower(
            log,
            timers,
            CONFIGURATION_PLACE,
            current.take,
            current.take,
            wait=lambda: min(
                self._longest_wait,
                COLLECTOR_WAIT_SECONDS if is_collecting() else math.inf,
            ),
            ask_others=ask_view,
        )
        self._upstream_list = upstream_list.UpstreamList(
            log,
            timers,
            vm.drain,
            vm.heartbeat,
            directory,
            watch,
            ask_view,
            self.configuration.read_now,
        )
        self.upstreams = self._upstream_list.follower

    def start(self) -> None:
        """Begin to follow."""
        self.configuration.start()
        self._upstream_list.start()

    def decision_inputs(self) -> dict:
        """Return what decisions rest on, for the log."""
        return {
            "configuration": self._current.version,
            "upstreams_age": forwarding.told_age(self.upstreams.age),
        }

    def routes_certainty(self) -> forwarding.Certainty:
        """Return whether the newest configuration is known here."""
        age = self.configuration.age
        doubts = forwarding.doubts_of(
            age, self._bound, self._current.is_newest
        )
        return forwarding.Certainty(age, doubts)

    def view_of(self, subject: str) -> keyedlog.LogPage | None:
        """Return what this VM knows, for one that has just started."""
        if subject == keyedlog.Subject.CONFIGURATION.value:
            return self.configuration.view
        if subject == keyedlog.Subject.UPSTREAMS.value:
            return self.upstreams.view
        if subject == keyedlog.Subject.MEMBERS.value:
            return self._members().view
        return None


def _configuration_wait(vm: platform.VmSettings) -> float:
    wait = min(
        CONFIGURATION_WAIT_SHARE * vm.configuration,
        read_budget.longest_pause(vm.configuration),
    )
    if vm.key_removal is None:
        return wait
    return min(wait, KEY_REMOVAL_WAIT_SHARE * vm.key_removal)
