"""Forwarding of callers' requests to upstreams, and of the answers."""

from postspring.forwarding.admission import Admission
from postspring.forwarding.certainty import Certainty
from postspring.forwarding.certainty import Doubt
from postspring.forwarding.certainty import find_doubts
from postspring.forwarding.certainty import loggable_age
from postspring.forwarding.collected_answer import AnswerMemory
from postspring.forwarding.delivery import Delivery
from postspring.forwarding.delivery_context import DeliveryContext
from postspring.forwarding.delivery_context import Receiver
from postspring.forwarding.event_splitter import EventSplitter
from postspring.forwarding.forwarder import Forwarder
from postspring.forwarding.limits import Limiter
from postspring.forwarding.limits import NoLimiter
from postspring.forwarding.limits import Verdict
from postspring.forwarding.ports import CallFacts
from postspring.forwarding.ports import EventFacts
from postspring.forwarding.ports import Finding
from postspring.forwarding.ports import HeaderGetter
from postspring.forwarding.ports import NoPeers
from postspring.forwarding.ports import Peers
from postspring.forwarding.ports import Question
from postspring.forwarding.ports import RELAYED_NAME
from postspring.forwarding.ports import ResponseFacts
from postspring.forwarding.ports import UpstreamExtra
from postspring.forwarding.ports import WireFormat
from postspring.forwarding.refusals import Refusal

__all__ = [
    "RELAYED_NAME",
    "Admission",
    "AnswerMemory",
    "ResponseFacts",
    "CallFacts",
    "Certainty",
    "Delivery",
    "DeliveryContext",
    "Doubt",
    "EventFacts",
    "EventSplitter",
    "Finding",
    "Forwarder",
    "HeaderGetter",
    "Limiter",
    "NoLimiter",
    "NoPeers",
    "Peers",
    "Question",
    "Receiver",
    "Refusal",
    "UpstreamExtra",
    "Verdict",
    "WireFormat",
    "find_doubts",
    "loggable_age",
]
