"""The platform's settings file."""

import copy
import json
import pathlib
import tempfile
import unittest

from postspring import errors
from postspring import platform
from postspring.platform import names
from postspring.platform import settings

RAW = {
    "node_name": "front-1",
    "zone": "rimac",
    "bootstrap": True,
    "listen": {
        "front": "10.1.0.38:8149",
        "ready": "10.1.0.38:8141",
        "control": "10.1.0.38:8144",
    },
    "seeds": ["10.1.0.38:8144", "10.2.0.40:8144"],
    "limits": {"memory_mb": 160, "max_fds": 8200},
    "bounds": {"drain_ms": 2000, "config_ms": 2000, "grace_s": 8},
    "platform": {
        "address": "10.200.1.7:8142",
        "parts": 24,
        "record_bytes": 262144,
    },
    "something_new": [1, 2],
}


class SettingsTest(unittest.TestCase):
    """Decoding, and errors that name the invalid field."""

    def load(self, text):
        """Load a settings file with the content ``text``."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot"
            path.write_text(text)
            return platform.load_settings({names.SETTINGS_VARIABLE: str(path)})

    def test_fields(self):
        loaded = self.load(json.dumps(RAW))
        self.assertEqual(("10.1.0.38", 8149), loaded.callers)
        self.assertEqual(("10.1.0.38", 8144), loaded.peers)
        self.assertEqual(("10.2.0.40", 8144), loaded.seeds[1])
        self.assertEqual(2.0, loaded.drain)
        self.assertTrue(loaded.first_start)
        self.assertEqual(8200, loaded.max_files)

    def test_missing_field_is_named_in_the_error(self):
        for path in (("zone",), ("listen", "ready"), ("platform", "parts")):
            raw = copy.deepcopy(RAW)
            holder = raw
            for key in path[:-1]:
                holder = holder[key]
            del holder[path[-1]]
            with self.assertRaisesRegex(errors.SettingsError, path[-1]):
                self.load(json.dumps(raw))

    def test_invalid_address(self):
        raw = copy.deepcopy(RAW)
        raw["listen"]["front"] = "nowhere"
        with self.assertRaisesRegex(errors.SettingsError, "nowhere"):
            self.load(json.dumps(raw))

    def test_values_out_of_range(self):
        """Guards against an exception of another type, as a reload meets."""
        for place, name, value in (
            ("limits", "memory_mb", float("inf")),
            ("limits", "max_fds", float("-inf")),
            ("platform", "parts", float("inf")),
            ("listen", "front", "10.1.0.38:70000"),
            ("listen", "control", "10.1.0.38:" + "9" * 5000),
        ):
            raw = copy.deepcopy(RAW)
            raw[place][name] = value
            with self.subTest(name), self.assertRaises(errors.SettingsError):
                self.load(json.dumps(raw))

    def test_deep_nesting(self):
        """Guards against an error that no caller of the decoder expects."""
        with self.assertRaises(errors.SettingsError):
            self.load("[" * 100_000)

    def test_invalid_json(self):
        with self.assertRaises(errors.SettingsError):
            self.load("{")

    def test_missing_variable_or_file(self):
        for environment in ({}, {names.SETTINGS_VARIABLE: "/nowhere/x"}):
            with self.assertRaises(errors.SettingsError):
                platform.load_settings(environment)

    def test_template_writes_all_fields_as_json(self):
        root = pathlib.Path(settings.__file__).parents[2]
        template = (root / "deploy" / "settings.json").read_text()
        self.assertEqual("{{.|json}}", template.strip())
