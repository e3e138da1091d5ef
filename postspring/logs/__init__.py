"""Logs: one JSON object per line, on standard error or standard output."""

from postspring.logs.bounded import BoundedHandler
from postspring.logs.bounded import set_up_front_logs
from postspring.logs.json_lines import install
from postspring.logs.json_lines import set_up_logs

__all__ = ["BoundedHandler", "install", "set_up_front_logs", "set_up_logs"]
