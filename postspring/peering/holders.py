"""Other VMs that keep records, or write them, for this one."""

from collections.abc import Callable

from postspring import histories
from postspring.peering import avoidance
from postspring.peering import members as members_module
from postspring.peering import recorders
from postspring.peering import replicas
from postspring import transport

__all__ = ["Holders"]

# VMs answer each other in a few ms; one that has not by then is slow, dead
# or cut off.  In seconds.
KEEP_SECONDS = 0.25
# Nobody waits for what a VM that stops hands over; in seconds.
HAND_OVER_SECONDS = 1.0
# A VM that did not keep a record is asked last for this long, in seconds.
AVOID_SECONDS = 1.0


class Holders(histories.ReplicaHolders):
    """The VMs that take what this one can't write to the log.

    Parameters
    ==========

    http : HttpClient
        Carries the requests.
    members : Members
        Whom to ask.
    silent : AvoidedVms
        Those that did not answer a moment ago, whatever they were asked.
    timers : Timers
        For leaving VMs alone.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        members: members_module.Members,
        silent: avoidance.AvoidedVms,
        timers: transport.Timers,
    ):
        self._http = http
        self._members = members
        self._silent = silent
        self._not_keeping = avoidance.AvoidedVms(AVOID_SECONDS, timers.now)
        # Incarnations that said so; a few for each time the fleet is rolled.
        self._stopping: set[str] = set()
        self._recorders = recorders.Recorders(http, timers)

    def keep(
        self,
        record: bytes,
        on_done: Callable[[int], None],
        is_log_away: bool = False,
    ) -> None:
        """Give a copy to the nearest VM and to others elsewhere."""
        holders = self._replica_holders()
        # Of a turn that others keep its author is asked, if they know it.
        if not holders or not self._members.is_announced:
            on_done(0)
            return
        first, rest = (
            holders[: replicas.REPLICAS_ASKED],
            holders[replicas.REPLICAS_ASKED :],
        )
        rest = [member for member in rest if not self._keeps_nothing(member)]
        replicas.Replicas(
            self._http,
            first + rest,
            False,
            self._recorders.reachers.note,
            self._not_kept,
            on_done,
        ).send([record], KEEP_SECONDS, is_log_away)

    def record(
        self,
        turns: list[bytes],
        timeout: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Have turns recorded by VMs that said that they reach the log."""
        self._recorders.record(turns, timeout, on_done)

    def hand_over(
        self, records: list[bytes], on_done: Callable[[bool], None]
    ) -> None:
        """Give records to two VMs that stay, or to the only one.

        One that does not answer may be paused: they are offered again.  One
        that stops takes none, however often it is asked: when all did, they
        sent each other all that they had four times a second.
        """
        holders = [
            member
            for member in self._replica_holders()
            if member.incarnation not in self._stopping
        ]
        enough = max(1, min(replicas.ENOUGH_COPIES, len(holders)))
        replicas.Replicas(
            self._http,
            holders,
            True,
            self._recorders.reachers.note,
            self._not_kept,
            lambda copies: on_done(copies >= enough),
        ).send(records, HAND_OVER_SECONDS)

    # -- own ------------------------------------------------------------------

    def _replica_holders(self) -> list[members_module.Member]:
        here = self._members.own.data_center
        return replicas.in_order(
            self._members.others, here, self._keeps_nothing
        )

    def _not_kept(
        self, member: members_module.Member, is_stopping: bool
    ) -> None:
        if is_stopping:
            self._stopping.add(member.incarnation)
        self._not_keeping.add(member)

    def _keeps_nothing(self, member: members_module.Member) -> bool:
        """Whether a VM did not keep a record a moment ago: it may stop."""
        return member in self._not_keeping or member in self._silent
