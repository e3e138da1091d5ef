"""Settings from flags and variables."""

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
    """What is taken and what is refused."""

    def test_variables_and_flags_which_go_first(self):
        variables = {"POSTSPRING_SLOTS": "8", "POSTSPRING_VM": "other"}
        with mock.patch.dict(os.environ, variables):
            checked = settings.load_settings(FLAGS)
        self.assertEqual((8, "rimac-1"), (checked.slots, checked.vm))

    def test_every_fault_is_named_at_once(self):
        wrong = FLAGS | {"slots": "0", "listen": "host:1", "colour": "red"}
        del wrong["vm"]
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load_settings(wrong)
        for name in ("slots", "listen", "colour", "vm"):
            self.assertIn(name, str(caught.exception))

    def test_secrets_are_not_shown(self):
        checked = settings.load_settings(FLAGS | {"peer_key": "hush"})
        self.assertNotIn("hush", repr(checked))
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load_settings(FLAGS | {"peer_key": "hush", "slots": "x"})
        self.assertNotIn("hush", str(caught.exception))

    def test_unknown_policies_are_refused(self):
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load_settings(FLAGS | {"placement": "darts"})
        self.assertIn("placement", str(caught.exception))
