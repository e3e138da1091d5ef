"""Tests of the settings from flags and environment variables."""

import os
import unittest
from unittest import mock

from postspring import errors
from postspring import settings

FLAGS = {
    "vm": "rimac-1",
    "data_center": "rimac",
    "listen": "127.0.0.1:8080",
    "peer_listen": "127.0.0.1:8081",
    "platform": "127.0.0.1:9000",
}


class SettingsTest(unittest.TestCase):
    """Precedence, validation and secrecy of settings."""

    def test_flag_takes_precedence_over_variable(self):
        variables = {"POSTSPRING_SLOTS": "8", "POSTSPRING_VM": "other"}
        with mock.patch.dict(os.environ, variables):
            loaded = settings.load_settings(FLAGS)
        self.assertEqual((8, "rimac-1"), (loaded.slots, loaded.vm))

    def test_all_invalid_settings_are_named_together(self):
        invalid = FLAGS | {"slots": "0", "listen": "host:1", "colour": "red"}
        del invalid["vm"]
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load_settings(invalid)
        for name in ("slots", "listen", "colour", "vm"):
            self.assertIn(name, str(caught.exception))

    def test_secret_is_not_in_repr_or_messages(self):
        loaded = settings.load_settings(FLAGS | {"peer_key": "hush"})
        self.assertNotIn("hush", repr(loaded))
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load_settings(FLAGS | {"peer_key": "hush", "slots": "x"})
        self.assertNotIn("hush", str(caught.exception))

    def test_unknown_policy_is_rejected(self):
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load_settings(FLAGS | {"placement": "darts"})
        self.assertIn("placement", str(caught.exception))
