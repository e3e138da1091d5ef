"""Other VMs that store replicas of this VM's records, or append them."""

import collections
from collections.abc import Callable
import functools

import xxhash

from postspring import histories
from postspring.peering import avoided_vms
from postspring.peering import members as members_module
from postspring.peering import remote_recorder
from postspring.peering import replication
from postspring import transport

__all__ = ["PeerReplicaHolders"]

# VMs respond to each other in a few ms; one that has not responded by then is
# slow, dead or cut off.
KEEP_TIMEOUT_SECONDS = 0.25
# No caller waits for the records that a VM hands over when it shuts down.
HAND_OVER_TIMEOUT_SECONDS = 1.0
# Records that are remembered as stored in another data centre; a turn asks
# within 2 s.
MAX_HELD_ELSEWHERE = 1024
# A VM that failed to store a replica comes last for this long.
AVOID_SECONDS = 1.0


class PeerReplicaHolders(histories.ReplicaHolders):
    """The other VMs as holders of replicas.

    Parameters
    ==========

    http : HttpClient
        Carries the requests.
    members : Members
        The list of VMs.
    unresponsive : AvoidedVms
        VMs that did not respond to a query a moment ago.
    timers : Timers
        Time, and delays of requests.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        members: members_module.Members,
        unresponsive: avoided_vms.AvoidedVms,
        timers: transport.Timers,
    ):
        self._http = http
        self._members = members
        self._unresponsive = unresponsive
        self._refusing = avoided_vms.AvoidedVms(AVOID_SECONDS, timers.now)
        # Incarnations that reported their shutdown; a few for each rolling
        # restart of the fleet.
        self._stopping: set[str] = set()
        # Digests of the records that VMs of other data centres stored.
        self._held_elsewhere: collections.deque[int] = collections.deque(
            maxlen=MAX_HELD_ELSEWHERE
        )
        self._recorder = remote_recorder.RemoteRecorder(http, timers)

    def replicate(
        self,
        record: bytes,
        on_done: Callable[[int], None],
        is_log_unavailable: bool = False,
    ) -> None:
        """Send a replica to the nearest VM and to some elsewhere."""
        holders = self._replica_holders()
        # A VM that finds replicas of a turn asks the turn's author about it,
        # and can do so only if the author is on its list of VMs.
        if not holders or not self._members.is_announced:
            on_done(0)
            return
        first, rest = (
            holders[: replication.PARALLEL_REQUESTS],
            holders[replication.PARALLEL_REQUESTS :],
        )
        rest = [
            member for member in rest if not self._is_unlikely_holder(member)
        ]
        replication.ReplicationCall(
            self._http,
            first + rest,
            False,
            functools.partial(self._stored, [record]),
            self._replication_failed,
            on_done,
        ).send([record], KEEP_TIMEOUT_SECONDS, is_log_unavailable)

    def is_held_elsewhere(self, record: bytes) -> bool:
        """Return whether a VM of another data centre stored a replica."""
        here = self._members.own.data_center
        has_others = any(
            member.data_center != here for member in self._members.others
        )
        digest = xxhash.xxh64_intdigest(record)
        return not has_others or digest in self._held_elsewhere

    def record(
        self,
        turns: list[bytes],
        timeout: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Have turns appended by VMs that reported that they reach the log."""
        self._recorder.record(turns, timeout, on_done)

    def hand_over(
        self, records: list[bytes], on_done: Callable[[bool], None]
    ) -> None:
        """Send records to two VMs that stay up, or to the only one.

        A VM that does not respond may be paused, and gets the records again at
        the next attempt.  One that is shutting down is never asked again: when
        all VMs shut down together, each sent all its records to the others
        four times a second.
        """
        holders = [
            member
            for member in self._replica_holders()
            if member.incarnation not in self._stopping
        ]
        enough = max(1, min(replication.TARGET_REPLICAS, len(holders)))
        replication.ReplicationCall(
            self._http,
            holders,
            True,
            functools.partial(self._stored, records),
            self._replication_failed,
            lambda replicas_stored: on_done(replicas_stored >= enough),
        ).send(records, HAND_OVER_TIMEOUT_SECONDS)

    # -- own ------------------------------------------------------------------

    def _stored(
        self,
        records: list[bytes],
        member: members_module.Member,
        reaches_log: bool,
    ) -> None:
        self._recorder.with_log.note(member, reaches_log)
        if member.data_center != self._members.own.data_center:
            self._held_elsewhere.extend(map(xxhash.xxh64_intdigest, records))

    def _replica_holders(self) -> list[members_module.Member]:
        here = self._members.own.data_center
        return replication.holder_order(
            self._members.others, here, self._is_unlikely_holder
        )

    def _replication_failed(
        self, member: members_module.Member, is_stopping: bool
    ) -> None:
        if is_stopping:
            self._stopping.add(member.incarnation)
        self._refusing.add(member)

    def _is_unlikely_holder(self, member: members_module.Member) -> bool:
        """Return whether a request to a VM has failed a moment ago."""
        return member in self._refusing or member in self._unresponsive
