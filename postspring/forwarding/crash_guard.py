"""A call's standing in the quarantine of requests that crash upstreams."""

from collections.abc import Callable

from postspring.forwarding import outbound_call
from postspring import quarantine
from postspring import upstreams

__all__ = ["CrashGuard"]


class CrashGuard:
    """Reports to the quarantine what becomes of a call at upstreams.

    A call that is relayed to another VM is reported by that VM.
    """

    def __init__(
        self,
        policy: quarantine.Quarantine,
        outbound: outbound_call.OutboundCall,
    ):
        self._policy = policy
        self._fingerprint = outbound.facts.fingerprint
        self._is_relayed = outbound.only is not None

    @property
    def allows_retry(self) -> bool:
        """Whether a call that broke may be sent once more."""
        return self._policy.allows_retry(self._fingerprint)

    def note_broken(
        self,
        upstream: upstreams.Upstream,
        may_have_crashed: bool,
        on_result: Callable[[], None],
    ) -> None:
        """Note that a call broke; call back when it can be decided on."""
        if self._is_relayed or not may_have_crashed:
            on_result()
        else:
            self._policy.note_broken(self._fingerprint, upstream, on_result)

    def note_completed(self) -> None:
        """Note that an upstream has run the call to its end."""
        if not self._is_relayed:
            self._policy.note_completed(self._fingerprint)
