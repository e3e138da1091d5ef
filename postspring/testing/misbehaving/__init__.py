"""Callers that exceed the limits of the protocol, and a VM to serve them."""

from postspring.testing.misbehaving.crowd import Crowd
from postspring.testing.misbehaving.crowd import Request
from postspring.testing.misbehaving.endless_upstream import EndlessUpstream
from postspring.testing.misbehaving.endless_upstream import Form
from postspring.testing.misbehaving.single_vm import SingleVm

__all__ = ["Crowd", "EndlessUpstream", "Form", "Request", "SingleVm"]
