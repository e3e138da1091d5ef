"""Callers and servers that exceed limits, and a VM between them."""

from postspring.testing.misbehaving.crowd import Crowd
from postspring.testing.misbehaving.crowd import Request
from postspring.testing.misbehaving.endless_relay import EndlessRelay
from postspring.testing.misbehaving.endless_upstream import EndlessUpstream
from postspring.testing.misbehaving.endless_upstream import Form
from postspring.testing.misbehaving.single_vm import SingleVm

__all__ = [
    "Crowd",
    "EndlessRelay",
    "EndlessUpstream",
    "Form",
    "Request",
    "SingleVm",
]
