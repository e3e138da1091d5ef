"""Keyed log: its interface, and a follower that reads a partition."""

from postspring.keyedlog.average_duration import AverageDuration
from postspring.keyedlog.errors import KeyedLogError
from postspring.keyedlog.errors import LogBusy
from postspring.keyedlog.errors import LogDown
from postspring.keyedlog.errors import LogExpired
from postspring.keyedlog.errors import LogLate
from postspring.keyedlog.errors import LogOverloaded
from postspring.keyedlog.errors import LogUnavailable
from postspring.keyedlog.follower import Follower
from postspring.keyedlog.follower import Outage
from postspring.keyedlog.follower import RequestView
from postspring.keyedlog.ports import has_age_bound
from postspring.keyedlog.ports import KeyedLog
from postspring.keyedlog.ports import LogEntry
from postspring.keyedlog.ports import LogPage
from postspring.keyedlog.ports import LogPlace
from postspring.keyedlog.ports import Subject

__all__ = [
    "RequestView",
    "Follower",
    "KeyedLog",
    "KeyedLogError",
    "LogEntry",
    "LogBusy",
    "LogDown",
    "LogExpired",
    "LogLate",
    "LogOverloaded",
    "LogPage",
    "LogPlace",
    "LogUnavailable",
    "Outage",
    "Subject",
    "AverageDuration",
    "has_age_bound",
]
