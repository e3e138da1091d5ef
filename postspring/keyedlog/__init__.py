"""Keyed log: its interface, and a follower that reads a partition."""

from postspring.keyedlog.errors import KeyedLogError
from postspring.keyedlog.errors import LogBusy
from postspring.keyedlog.errors import LogDown
from postspring.keyedlog.errors import LogExpired
from postspring.keyedlog.errors import LogUnavailable
from postspring.keyedlog.follower import AskOthers
from postspring.keyedlog.follower import Follower
from postspring.keyedlog.follower import Outage
from postspring.keyedlog.ports import is_bounded
from postspring.keyedlog.ports import KeyedLog
from postspring.keyedlog.ports import LogEntry
from postspring.keyedlog.ports import LogPage
from postspring.keyedlog.ports import LogPlace
from postspring.keyedlog.ports import Subject
from postspring.keyedlog.usual_time import UsualTime

__all__ = [
    "AskOthers",
    "Follower",
    "KeyedLog",
    "KeyedLogError",
    "LogEntry",
    "LogBusy",
    "LogDown",
    "LogExpired",
    "LogPage",
    "LogPlace",
    "LogUnavailable",
    "Outage",
    "Subject",
    "UsualTime",
    "is_bounded",
]
