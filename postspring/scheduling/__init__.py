"""Scheduling policies: placement, admission, order, urgency and retries."""

from postspring.scheduling.admission import Admission
from postspring.scheduling.admission import admission_by_name
from postspring.scheduling.admission import AdmissionDecision
from postspring.scheduling.admission import FirstTurn
from postspring.scheduling.expected_wait import ExpectedWait
from postspring.scheduling.order import Order
from postspring.scheduling.order import order_by_name
from postspring.scheduling.placement import Placement
from postspring.scheduling.placement import placement_by_name
from postspring.scheduling.pool import Assignment
from postspring.scheduling.pool import UpstreamPool
from postspring.scheduling.pool import WaitingCall
from postspring.scheduling.retry_budget import RetryBudget
from postspring.scheduling.shared_load import SharedAffinity
from postspring.scheduling.urgency import CallStanding
from postspring.scheduling.urgency import Urgency
from postspring.scheduling.urgency import urgency_by_name

__all__ = [
    "Admission",
    "AdmissionDecision",
    "CallStanding",
    "FirstTurn",
    "admission_by_name",
    "Urgency",
    "urgency_by_name",
    "Assignment",
    "ExpectedWait",
    "Order",
    "Placement",
    "RetryBudget",
    "SharedAffinity",
    "WaitingCall",
    "UpstreamPool",
    "order_by_name",
    "placement_by_name",
]
