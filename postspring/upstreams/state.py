"""What a VM knows of one upstream."""

import dataclasses

from postspring import configuration

__all__ = ["UpstreamState"]

FAILURES_TO_SUSPEND = 3
FIRST_SUSPENSION_SECONDS = 1.0
LONGEST_SUSPENSION_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """One upstream: what is configured, and what was observed of it.

    Parameters
    ==========

    concurrency : int
        Calls that this VM sends it at the same time.
    in_flight : int
        Calls that this VM has running there.
    leaving : bool
        An upstream that is leaving gets no new work.
    suspended_until : float
        After repeated failures, until when it gets no work; seconds.
    """

    id: str
    kind: configuration.UpstreamKind
    data_center: str
    address: str
    serves: frozenset[str]
    concurrency: int
    checks_fencing: bool = False
    in_flight: int = 0
    leaving: bool = False
    failures: int = 0
    suspended_until: float = 0.0

    @classmethod
    def of(
        cls, name: str, configured: configuration.Upstream
    ) -> "UpstreamState":
        """Return the state of an upstream that nothing is known of yet."""
        return cls(
            id=name,
            kind=configured.kind,
            data_center=configured.data_center,
            address=configured.address,
            serves=frozenset(configured.serves),
            concurrency=configured.concurrency,
            checks_fencing=configured.checks_fencing,
            leaving=configured.draining,
        )

    def reconfigure(self, other: "UpstreamState") -> None:
        """Take over what is configured; keep what was observed."""
        self.kind = other.kind
        self.data_center = other.data_center
        self.serves = other.serves
        self.concurrency = other.concurrency
        self.checks_fencing = other.checks_fencing
        self.leaving = other.leaving

    @property
    def load(self) -> float:
        """Share of the upstream's room that this VM uses, from 0 to 1."""
        return self.in_flight / self.concurrency

    def accepts(self, now: float) -> bool:
        """Return whether the upstream may get new work."""
        return not self.leaving and now >= self.suspended_until

    def has_room(self, now: float) -> bool:
        """Return whether one more call fits now."""
        return self.accepts(now) and self.in_flight < self.concurrency

    def note_failure(self, now: float) -> None:
        """Count a failed call; suspend the upstream when they repeat."""
        self.failures += 1
        if self.failures < FAILURES_TO_SUSPEND:
            return
        doublings = min(self.failures - FAILURES_TO_SUSPEND, 10)
        pause = FIRST_SUSPENSION_SECONDS * 2**doublings
        self.suspended_until = now + min(pause, LONGEST_SUSPENSION_SECONDS)

    def note_success(self) -> None:
        """Count a call that was answered."""
        self.failures = 0
