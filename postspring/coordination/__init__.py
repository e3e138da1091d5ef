"""Coordination: how a slot's owner schedules the calls of its programs."""

from postspring.coordination.effects import Append
from postspring.coordination.effects import CancelAttempt
from postspring.coordination.effects import Effect
from postspring.coordination.effects import ReleaseCache
from postspring.coordination.effects import ReplicateTurn
from postspring.coordination.effects import Reply
from postspring.coordination.effects import ReplyTo
from postspring.coordination.effects import RunAttempt
from postspring.coordination.limits import OwnerLimits
from postspring.coordination.messages import CallAnswered
from postspring.coordination.messages import CallProgram
from postspring.coordination.messages import CreateProgram
from postspring.coordination.messages import EndProgram
from postspring.coordination.messages import FinishAttempt
from postspring.coordination.messages import Grant
from postspring.coordination.messages import LoseAttempt
from postspring.coordination.messages import NotOwner
from postspring.coordination.messages import owner_messages
from postspring.coordination.messages import ProgramCreated
from postspring.coordination.messages import ProgramEnded
from postspring.coordination.messages import ProgramView
from postspring.coordination.messages import ReadProgram
from postspring.coordination.owner import Owner
from postspring.coordination.refusals import Ran
from postspring.coordination.refusals import RefusalReason
from postspring.coordination.refusals import Refused
from postspring.coordination.turns import answered_turn

__all__ = [
    "Append",
    "CallAnswered",
    "CallProgram",
    "CancelAttempt",
    "CreateProgram",
    "Effect",
    "EndProgram",
    "FinishAttempt",
    "Grant",
    "LoseAttempt",
    "NotOwner",
    "Owner",
    "OwnerLimits",
    "ProgramCreated",
    "ProgramEnded",
    "ProgramView",
    "Ran",
    "ReadProgram",
    "RefusalReason",
    "Refused",
    "ReleaseCache",
    "ReplicateTurn",
    "Reply",
    "ReplyTo",
    "RunAttempt",
    "answered_turn",
    "owner_messages",
]
