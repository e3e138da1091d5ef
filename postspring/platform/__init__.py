"""Adapter of the users' platform: its names, formats and calls.

This package makes no decisions.  It decodes incoming data into the project's
own types, once, and encodes outgoing data.  The names on the platform's wire
are used in no other package.
"""

from postspring.platform.documents import CONFIGURATION_KEY
from postspring.platform.documents import decode_announcement
from postspring.platform.documents import decode_snapshot
from postspring.platform.headers import PlatformWireFormat
from postspring.platform.settings import load_settings
from postspring.platform.settings import settings_path
from postspring.platform.settings import VmSettings
from postspring.platform.store import Store

__all__ = [
    "CONFIGURATION_KEY",
    "PlatformWireFormat",
    "Store",
    "VmSettings",
    "decode_announcement",
    "decode_snapshot",
    "load_settings",
    "settings_path",
]
