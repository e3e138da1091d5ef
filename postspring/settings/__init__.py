"""The daemon's settings, validated before any component starts."""

from postspring.settings.entry_settings import EntrySettings
from postspring.settings.entry_settings import load_settings
from postspring.settings.entry_settings import parse_address

__all__ = ["EntrySettings", "load_settings", "parse_address"]
