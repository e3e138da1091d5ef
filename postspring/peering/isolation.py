"""Whether this VM is cut off from the log and from other data centres."""

from collections.abc import Callable
import logging
import math

from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import transport

__all__ = ["Isolation"]

LOG = logging.getLogger(__name__)

# How often VMs elsewhere are asked while the direct way to the log is lost,
# and how long an answer may take; VMs answer each other in a few ms.
CHECK_SECONDS = 0.1
ANSWER_SECONDS = 0.2
# Rounds in a row without an answer; a single one may meet VMs that restart.
SILENT_ROUNDS = 2
# Asked at the same time; one answer is enough.
ASKED_VMS = 4
# A VM that another one helps hears from the log within this time after the
# direct way was lost, in seconds.
SILENCE_SECONDS = 0.3
# The balancer asks once a second and needs two refusals; callers that come
# after this many seconds have no other way in.
SENT_AWAY_SECONDS = 3.0
# How long what waited behind a cut takes to be recorded, in seconds.
CATCH_UP_SECONDS = 10.0


class Isolation:
    """Tells when callers are better served by another data centre.

    Explanation
    ===========

    In a cut-off data centre neither records nor most upstreams can be
    reached, while every other one can go on with the same programs: their
    turns are in the log.  So the VM says that it is not ready, which makes
    the balancer send callers elsewhere, and asks those that still come to
    do so for as long as that takes.  Whoever comes later has no other way
    and is served with what there is.

    If the log is away for everybody, other VMs answer and nothing changes.

    Parameters
    ==========

    members : Members
        Whom to ask; those of other data centres if there are any.
    is_direct : callable
        Returns whether the direct way leads to the log.
    silence : callable
        Returns the seconds since the log answered, by any way.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        timers: transport.Timers,
        members: members_module.Members,
        is_direct: Callable[[], bool],
        silence: Callable[[], float],
    ):
        self._http = http
        self._timers = timers
        self._members = members
        self._is_direct = is_direct
        self._silence = silence
        self._began_at = math.inf
        self._ended_at = -math.inf
        self._is_asking = False
        self._silent_rounds = 0

    def start(self) -> None:
        """Begin to watch."""
        self._timers.call_every(CHECK_SECONDS, self._check)

    @property
    def is_isolated(self) -> bool:
        """Whether neither the log nor another data centre answers."""
        return self._began_at < math.inf

    @property
    def was_isolated(self) -> bool:
        """Whether this VM is, or was until shortly, cut off."""
        since = self._timers.now() - self._ended_at
        return self.is_isolated or since < CATCH_UP_SECONDS

    @property
    def sends_away(self) -> bool:
        """Whether callers should come back by way of the balancer."""
        if not self.is_isolated:
            return False
        return self._timers.now() - self._began_at < SENT_AWAY_SECONDS

    # -- own ------------------------------------------------------------------

    def _check(self) -> None:
        if self._is_direct():
            self._silent_rounds = 0
            self._end("log")
            return
        asked = self._whom_to_ask()
        if asked and not self._is_asking:
            self._is_asking = True
            _Round(self._http, asked, self._answered, self._nobody).start()

    def _whom_to_ask(self) -> list[members_module.Member]:
        """Return some VMs elsewhere, of as many data centres as there are."""
        others = self._members.others
        here = self._members.own.data_center
        far = [member for member in others if member.data_center != here]
        first_by_place = {member.data_center: member for member in far}
        first = list(first_by_place.values())
        rest = [member for member in far or others if member not in first]
        return (first + rest)[:ASKED_VMS]

    def _answered(self) -> None:
        self._is_asking = False
        self._silent_rounds = 0
        self._end("vm")

    def _nobody(self) -> None:
        self._is_asking = False
        self._silent_rounds += 1
        silence = self._silence()
        if self.is_isolated or self._is_direct() or silence < SILENCE_SECONDS:
            return
        if self._silent_rounds < SILENT_ROUNDS:
            return
        self._began_at = self._timers.now()
        LOG.warning("cut off", extra={"log_silent": round(silence, 2)})

    def _end(self, by: str) -> None:
        if not self.is_isolated:
            return
        seconds = self._timers.now() - self._began_at
        self._began_at = math.inf
        self._ended_at = self._timers.now()
        extra = {"answered": by, "seconds": round(seconds, 2)}
        LOG.info("not cut off any more", extra=extra)


class _Round:
    """Asks some VMs; tells if one answered, or that none did."""

    def __init__(
        self,
        http: transport.HttpClient,
        asked: list[members_module.Member],
        on_answer: Callable[[], None],
        on_nobody: Callable[[], None],
    ):
        self._http = http
        self._asked = asked
        self._on_answer = on_answer
        self._on_nobody = on_nobody
        self._failed = 0

    def start(self) -> None:
        """Ask all of them."""
        for member in self._asked:
            request = messages.request_to(
                member.peers, messages.PING_PATH, b"", ANSWER_SECONDS
            )
            collector = transport.AnswerCollector(
                lambda status, body: self._on_answer(),
                lambda error: self._count(),
            )
            self._http.send(request, collector)

    def _count(self) -> None:
        self._failed += 1
        if self._failed == len(self._asked):
            self._on_nobody()
