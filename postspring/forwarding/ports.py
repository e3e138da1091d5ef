"""What forwarding needs to know of calls and answers, and of their format.

The adapter of the users' platform and the stand-ins implement
:class:`WireFormat`.
"""

import abc
from collections.abc import Callable
import dataclasses
import enum

from postspring.forwarding import certainty
from postspring import histories
from postspring import upstreams
from postspring import workspaces

__all__ = [
    "AnswerFacts",
    "CallFacts",
    "EventFacts",
    "Finding",
    "HeaderGetter",
    "NoPeers",
    "Peers",
    "RELAYED_NAME",
    "Question",
    "UpstreamExtra",
    "WireFormat",
]

# Header field of a request that another VM has passed on.
RELAYED_NAME = "X-Relayed-By"
# Returns the value of a header field, or an empty text.
HeaderGetter = Callable[[str], str]
Fields = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallFacts:
    """What a call says of itself; times in seconds.

    Parameters
    ==========

    request : str
        Id of this attempt of the caller.
    deadline : float or None
        How long the caller will wait.
    prompt_tokens, ceiling : int
        Tokens of the prompt; most tokens that may be generated.
    prompt_parts : tuple of (str, int)
        Id and tokens of each part of the prompt, in order.
    line : str
        The line of turns that a turn belongs to.
    program_deadline : float or None
        Time left until the program should be finished.
    budget : int or None
        Tokens that all turns of the program may generate.
    previous : TurnId or None
        The turn that this one continues.
    workspace : str
        Whose call it is; empty where callers need no key.
    turn : TurnId
        Its id, if it is a turn.
    rank : int
        Of its workspace, else of its route; 0 first.
    """

    request: str
    deadline: float | None = None
    prompt_tokens: int = 0
    ceiling: int = 0
    prompt_parts: tuple[tuple[str, int], ...] = ()
    affinity_key: str = ""
    program: histories.ProgramId = histories.ProgramId("")
    line: str = ""
    program_deadline: float | None = None
    budget: int | None = None
    previous: histories.TurnId | None = None
    workspace: str = ""
    turn: histories.TurnId = histories.TurnId("")
    rank: int = 0

    def within(self, workspace: str) -> "CallFacts":
        """Return the facts of a workspace's call: its names are its own.

        Examples
        --------
        >>> facts = CallFacts("r", program="p", previous="q", turn="r")
        >>> facts.within("acme").program, facts.within("acme").previous
        ('acme/p', 'acme/q')
        """

        def own(name: str) -> str:
            return workspaces.scoped(workspace, name) if name else name

        return dataclasses.replace(
            self,
            workspace=workspace,
            program=histories.ProgramId(own(self.program)),
            previous=self.previous and histories.TurnId(own(self.previous)),
            turn=histories.TurnId(own(self.turn)),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What an upstream's answer says.

    Parameters
    ==========

    request : str
        Id of the request that it answers, or empty.
    not_run : bool
        The upstream states that it did not run the request.
    wrong_upstream : bool
        Another upstream has the address now.
    sealed : bool
        The answer bears the upstream's signature.
    upstream : str
        Id of the upstream that answered, where it says so.
    weights : str
        Version of the weights with which it answers, or empty.
    """

    request: str = ""
    not_run: bool = False
    wrong_upstream: bool = False
    sealed: bool = False
    upstream: str = ""
    weights: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EventFacts:
    """What one event of a stream says of itself.

    Parameters
    ==========

    number : int or None
        Its id; ids increase within a stream.
    weights : str
        Version of the weights, if it changes at this event.
    """

    number: int | None = None
    weights: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamExtra:
    """What the system adds to a call.

    Parameters
    ==========

    remaining : float or None
        Seconds that the upstream has.
    upstream : str
        Id of the only upstream that may run the call.
    urgency : int or None
        Rank among other calls there, 0 first.
    last_event : int or None
        Id of the last event that the caller has; the stream goes on behind
        it.
    weights : str
        The only version of the weights that may go on.
    workspace : str
        Whose call it is, or empty.
    """

    remaining: float | None = None
    upstream: str = ""
    urgency: int | None = None
    last_event: int | None = None
    weights: str = ""
    workspace: str = ""


# Of these a program's home may make light: the list can't be read while the
# log is away, and who begins a home tells all others.
_LIGHT_DOUBTS = {certainty.Doubt.OLD_LIST}


class Question(enum.Enum):
    """What the other VMs are asked for.

    ``TAKER``: one that can run the turn.  ``TURN``: whether there is such a
    turn; the list of VMs is read first, for one may have joined since.
    ``HOME``: whether the program may go on here while the log is away.
    ``UNSETTLED``: what it used at other VMs that the log does not charge.
    """

    TAKER = "taker"
    TURN = "turn"
    HOME = "home"
    UNSETTLED = "unsettled"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What other VMs know of a program.

    Parameters
    ==========

    taker : Upstream or None
        A VM that can run the turn.
    chain_holder : Upstream or None
        A VM that has the whole chain that is to be continued.
    is_answered : bool
        Some VM answered.
    is_refused : bool
        This VM asks too much already; nobody was asked, or not everybody.
    doubts : tuple of Doubt
        Why a turn that nobody knows might be kept by a VM all the same.
    has_gone_on : bool
        Another VM has asked before whether the program may go on there.
    is_known : bool
        Some VM knows the program.
    is_certain : bool
        No VM that a program of this data centre could have begun at was
        left out.
    is_deferred : bool
        Another VM is about to run a turn of the program.
    is_known_turn : bool
        Some VM knows the turn that is to be continued.
    charged : int
        Tokens that records charge the program with, as far as they know.
    home_tokens : int
        Tokens that it may spend at other VMs while the log is away.
    unsettled : dict
        Turns that ran at homes, and the tokens that the log may not charge.
    home_left : int
        Tokens that it may still spend at VMs that don't reach the log.
    """

    taker: upstreams.Upstream | None = None
    chain_holder: upstreams.Upstream | None = None
    is_answered: bool = False
    is_refused: bool = False
    doubts: tuple[certainty.Doubt, ...] = (certainty.Doubt.VM_UNHEARD,)
    has_gone_on: bool = False
    is_known: bool = False
    is_certain: bool = False
    is_deferred: bool = False
    is_known_turn: bool = False
    charged: int = 0
    home_tokens: int = 0
    unsettled: dict[histories.TurnId, int] = dataclasses.field(
        default_factory=dict
    )
    home_left: int = 0

    @property
    def facts(self) -> list[str]:
        """What decides, by name, for the log."""
        told = [
            name
            for name in (
                "is_answered",
                "is_refused",
                "has_gone_on",
                "is_known",
                "is_certain",
                "is_deferred",
                "is_known_turn",
            )
            if getattr(self, name)
        ]
        if self.taker is not None:
            told.append("taker")
        if self.chain_holder is not None:
            told.append("chain_holder")
        return [*told, *(doubt.value for doubt in self.doubts)]

    @property
    def knows_all(self) -> bool:
        """Whether nobody can have spent what nobody tells of."""
        return not set(self.doubts) - _LIGHT_DOUBTS


class Peers(abc.ABC):
    """The other VMs, as far as callers' requests need them."""

    # Whether callers are better served by other data centres just now.
    send_away: bool = False

    @abc.abstractmethod
    def find(
        self,
        facts: CallFacts,
        on_done: Callable[[Finding], None],
        question: Question = Question.TAKER,
    ) -> None:
        """Ask the other VMs about a turn's program and its chain."""

    def may_owe(self, program: histories.ProgramId) -> bool:
        """Return whether other VMs may have turns that are not charged."""
        return False

    def relayed_field(self, taker: upstreams.Upstream) -> tuple[str, str]:
        """Return what tells a VM that another one has passed a request on."""
        return (RELAYED_NAME, taker.id)

    def is_relayed(self, header: HeaderGetter) -> bool:
        """Return whether another VM has passed a request on.

        Callers can't make one believe so: such a request is not asked for
        its key again.
        """
        return False


class NoPeers(Peers):
    """A VM alone."""

    def find(self, facts, on_done, question=Question.TAKER) -> None:
        """Report that there is nobody."""
        on_done(Finding(doubts=()))


class WireFormat(abc.ABC):
    """Header fields of calls and answers."""

    @abc.abstractmethod
    def decode_call(self, header: HeaderGetter) -> CallFacts:
        """Return what a call's header fields say."""

    def decode_key(self, fields: Fields) -> str:
        """Return the API key among a call's fields, or an empty text."""
        return ""

    def decode_workspace(self, header: HeaderGetter) -> str:
        """Return the workspace that another VM has found out."""
        return ""

    @abc.abstractmethod
    def upstream_fields(self, fields: Fields, extra: UpstreamExtra) -> Fields:
        """Return the header fields to send to an upstream."""

    @abc.abstractmethod
    def decode_answer(
        self, status: int, headers: dict[str, str]
    ) -> AnswerFacts:
        """Return what an answer says; header names are in lower case."""

    @abc.abstractmethod
    def decode_event(self, event: bytes) -> EventFacts:
        """Return what a whole event of a stream says."""

    @abc.abstractmethod
    def caller_fields(self, fields: Fields, sealed: bool) -> Fields:
        """Return the header fields of an upstream's answer to pass on."""

    @abc.abstractmethod
    def own_fields(self, request: str, retry_after: float | None) -> Fields:
        """Return the header fields of an answer of our own."""
