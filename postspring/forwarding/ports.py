"""Data of calls and answers, and the interfaces that forwarding needs.

The adapter of the users' platform and the stand-ins of the tests implement
:class:`WireFormat`; :mod:`postspring.peering` implements :class:`Peers`.
"""

import abc
from collections.abc import Callable
import dataclasses
import enum

from postspring.forwarding import certainty
from postspring import histories
from postspring import quarantine
from postspring import upstreams
from postspring import workspaces

__all__ = [
    "ResponseFacts",
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

# Header field of a request that another VM has relayed.
RELAYED_NAME = "X-Relayed-By"
# Returns the value of a header field, or an empty string.
HeaderGetter = Callable[[str], str]
Fields = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallFacts:
    """Data in a call's header fields; times in seconds.

    Parameters
    ==========

    request : str
        Id of this attempt of the caller.
    deadline : float or None
        Time for which the caller waits.
    prompt_tokens, ceiling : int
        Tokens of the prompt; maximum number of tokens to generate.
    prompt_parts : tuple of (str, int)
        Id and tokens of each part of the prompt, in order.
    line : str
        Id of the sequence of turns that share a growing prompt.
    program_deadline : float or None
        Time left until the program should end.
    budget : int or None
        Tokens that all turns of the program may generate.
    previous : TurnId or None
        The turn that this turn continues.
    workspace : str
        The workspace of the caller; empty where callers need no key.
    turn : TurnId
        Id of the call as a turn; empty if it is none.
    rank, ranks : int, tuple of int
        Priority of the workspace or else of the route, and all priorities
        that the configuration contains, in order; 0 comes first.
    is_under_way : bool
        A turn of the program has run before.
    fingerprint : Fingerprint
        Identity of the request over all its attempts, or empty.
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
    ranks: tuple[int, ...] = ()
    is_under_way: bool = False
    fingerprint: quarantine.Fingerprint = quarantine.Fingerprint("")

    def within(self, workspace: str) -> "CallFacts":
        """Return the facts with all ids scoped to a workspace.

        Examples
        --------
        >>> facts = CallFacts("r", program="p", previous="q", turn="r")
        >>> facts.within("acme").program, facts.within("acme").previous
        ('acme/p', 'acme/q')
        """

        def scope_name(name: str) -> str:
            return workspaces.scoped(workspace, name) if name else name

        return dataclasses.replace(
            self,
            workspace=workspace,
            program=histories.ProgramId(scope_name(self.program)),
            previous=self.previous
            and histories.TurnId(scope_name(self.previous)),
            turn=histories.TurnId(scope_name(self.turn)),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFacts:
    """Data in the header fields of an upstream's answer.

    Parameters
    ==========

    request : str
        Id of the request to which it belongs, or empty.
    not_run : bool
        The upstream states that it did not run the request.
    wrong_upstream : bool
        The address belongs to another upstream now.
    sealed, is_encoded : bool
        It bears the upstream's signature; its body has an encoding.
    upstream, weights : str
        Id of the upstream and version of its model weights, or empty.
    """

    request: str = ""
    not_run: bool = False
    wrong_upstream: bool = False
    sealed: bool = False
    is_encoded: bool = False
    upstream: str = ""
    weights: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EventFacts:
    """Data in one event of a stream.

    Parameters
    ==========

    number : int or None
        Id of the event; ids increase within a stream.
    weights : str
        New version of the model weights, if it changes at this event.
    """

    number: int | None = None
    weights: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamExtra:
    """Values that forwarding adds to a call's header fields.

    Parameters
    ==========

    remaining : float or None
        Seconds that the upstream has to answer.
    upstream : str
        Id of the only upstream that may run the call.
    urgency : int or None
        Priority among the calls of the upstream; 0 comes first.
    last_event : int or None
        Id of the last event that the caller received; the stream resumes
        after it.
    weights : str
        The only version of the model weights that may resume the stream.
    workspace : str
        The workspace of the caller, or empty.
    """

    remaining: float | None = None
    upstream: str = ""
    urgency: int | None = None
    last_event: int | None = None
    weights: str = ""
    workspace: str = ""


# An offline account may be opened despite these doubts: the list of VMs can't
# be read while the log is unavailable, and a VM asks all others before it
# opens one.
_DOUBTS_IGNORED_OFFLINE = {certainty.Doubt.OLD_LIST}


class Question(enum.Enum):
    """The purpose of a query to the other VMs.

    ``TAKER``: find a VM that can run the turn.  ``TURN``: find out whether
    the turn exists; the list of VMs is read first, as a VM may have joined.
    ``OFFLINE``: find out whether an offline account of the program may be
    opened here while the log is unavailable.  ``UNSETTLED``: find the tokens
    that other VMs spent and the log does not charge yet.
    """

    TAKER = "taker"
    TURN = "turn"
    OFFLINE = "home"
    UNSETTLED = "unsettled"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The combined answers of other VMs about a program.

    Parameters
    ==========

    taker : Upstream or None
        A VM that can run the turn.
    chain_holder : Upstream or None
        A VM that has the complete chain that the turn continues.
    is_answered : bool
        Whether the answers may be acted on: a VM answered, and the budget
        for messages allowed the query.
    is_refused : bool
        This VM's budget for messages did not suffice to ask all VMs.
    doubts : tuple of Doubt
        Reasons why a VM may hold a turn that no answer contains.
    has_gone_on : bool
        Another VM has asked before whether it may open an offline account of
        the program.
    is_known : bool
        A VM has turns of the program.
    is_certain : bool
        All VMs of this data centre have answered, and neither this VM nor
        any that answered was started too recently.
    is_deferred : bool
        Another VM may open an offline account of the program first.
    is_known_turn : bool
        A VM has the turn that this one continues.
    charged : int
        Tokens that the records read by these VMs charge to the program.
    offline_tokens : int
        Tokens in offline accounts of the program at other VMs, including
        spent ones that the log does not charge yet.
    unsettled : dict
        Tokens of turns that ran on offline accounts, by turn; the log may
        not charge them yet.
    offline_tokens_left : int
        Tokens that offline accounts may still spend.
    is_cut_off : bool
        There are VMs of other data centres, and none of them answered.
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
    offline_tokens: int = 0
    unsettled: dict[histories.TurnId, int] = dataclasses.field(
        default_factory=dict
    )
    offline_tokens_left: int = 0
    is_cut_off: bool = False

    @property
    def facts(self) -> list[str]:
        """Names of the properties that hold, for the log line."""
        names = [
            name
            for name in (
                "is_answered",
                "is_refused",
                "has_gone_on",
                "is_known",
                "is_certain",
                "is_deferred",
                "is_known_turn",
                "is_cut_off",
            )
            if getattr(self, name)
        ]
        if self.taker is not None:
            names.append("taker")
        if self.chain_holder is not None:
            names.append("chain_holder")
        return [*names, *(doubt.value for doubt in self.doubts)]

    @property
    def covers_all_spending(self) -> bool:
        """Whether the answers cover all tokens that VMs may have spent."""
        return not set(self.doubts) - _DOUBTS_IGNORED_OFFLINE


class Peers(abc.ABC):
    """Queries to the other VMs, and relaying of requests."""

    # Whether callers should connect to another data centre for now.
    callers_should_retry: bool = False

    def can_retry_elsewhere(self, accepted_at: float) -> bool:
        """Return whether VMs elsewhere may serve a caller of this VM.

        Parameters
        ----------
        accepted_at : float
            Monotonic time at which this VM accepted the call, in seconds.
        """
        return False

    def call_when_isolated(
        self, function: Callable[[], None]
    ) -> Callable[[], None]:
        """Call a function once if this VM is found to be isolated.

        Returns a function that withdraws the call.
        """
        return lambda: None

    @abc.abstractmethod
    def find(
        self,
        facts: CallFacts,
        on_done: Callable[[Finding], None],
        question: Question = Question.TAKER,
    ) -> None:
        """Query the other VMs about a turn's program and its chain."""

    def may_have_uncharged_turns(self, program: histories.ProgramId) -> bool:
        """Return whether other VMs may have spent tokens not yet charged."""
        return False

    def relayed_field(self, taker: upstreams.Upstream) -> tuple[str, str]:
        """Return the header field that marks a relayed request."""
        return (RELAYED_NAME, taker.id)

    def is_relayed(self, header: HeaderGetter) -> bool:
        """Return whether another VM has relayed a request.

        Callers must not be able to forge this, as the key of a relayed
        request is not checked again.
        """
        return False


class NoPeers(Peers):
    """No other VMs."""

    def find(self, facts, on_done, question=Question.TAKER) -> None:
        """Report an empty finding."""
        on_done(Finding(doubts=()))


class WireFormat(abc.ABC):
    """Decodes and encodes header fields of calls and answers."""

    @abc.abstractmethod
    def decode_call(self, header: HeaderGetter) -> CallFacts:
        """Return the data in a call's header fields."""

    def decode_key(self, fields: Fields) -> str:
        """Return the API key in a call's header fields, or an empty string."""
        return ""

    def decode_workspace(self, header: HeaderGetter) -> str:
        """Return the workspace that the relaying VM has found."""
        return ""

    @abc.abstractmethod
    def upstream_fields(self, fields: Fields, extra: UpstreamExtra) -> Fields:
        """Return the header fields to send to an upstream."""

    @abc.abstractmethod
    def decode_response(
        self, status: int, headers: dict[str, str]
    ) -> ResponseFacts:
        """Return the data of an answer; header names are in lower case."""

    @abc.abstractmethod
    def decode_event(self, event: bytes) -> EventFacts:
        """Return the data of a complete event of a stream."""

    @abc.abstractmethod
    def caller_fields(self, fields: Fields, sealed: bool) -> Fields:
        """Return the header fields of an upstream's answer to relay."""

    @abc.abstractmethod
    def own_fields(self, request: str, retry_after: float | None) -> Fields:
        """Return the header fields of an answer that this VM generates."""
