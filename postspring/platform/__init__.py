"""Platform: the names, formats and calls of the users' platform.

Nothing in this package decides, and nothing outside it knows the platform's
names.  It decodes what comes into the project's own types, once, and
encodes what goes out.
"""

from postspring.platform.documents import CONFIGURATION_KEY
from postspring.platform.documents import decode_announcement
from postspring.platform.documents import decode_snapshot
from postspring.platform.headers import PlatformWireFormat
from postspring.platform.settings import load_settings
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
]
