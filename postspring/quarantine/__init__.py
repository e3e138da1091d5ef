"""Quarantine of requests under which upstreams crash.

A request that crashes each upstream that runs it, and that is sent again each
time, would take a service down.  Such requests are recognized by their
content, as each attempt has an id of its own, and rejected after some crashes.
"""

from postspring.quarantine.crash_detector import CrashDetector
from postspring.quarantine.crash_registry import CrashRegistry
from postspring.quarantine.crash_registry import RequestCrashes
from postspring.quarantine.fingerprint import Fingerprint
from postspring.quarantine.fingerprint import fingerprint_of
from postspring.quarantine.policies import CrashQuarantine
from postspring.quarantine.policies import NoQuarantine
from postspring.quarantine.policies import Quarantine
from postspring.quarantine.policies import quarantine_by_name

__all__ = [
    "CrashDetector",
    "CrashQuarantine",
    "CrashRegistry",
    "Fingerprint",
    "NoQuarantine",
    "Quarantine",
    "RequestCrashes",
    "fingerprint_of",
    "quarantine_by_name",
]
