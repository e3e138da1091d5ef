"""The configuration document's checks."""

import json
import unittest

from postspring import configuration
from postspring import errors


def check(**document):
    """Check a document given as fields."""
    return configuration.parse_configuration(json.dumps(document))


class SchemaTest(unittest.TestCase):
    """What is refused, with its path."""

    def faults(self, **document):
        """Return the text of the refusal."""
        with self.assertRaises(errors.ConfigurationError) as caught:
            check(**document)
        return str(caught.exception)

    def test_unknown_keys(self):
        text = self.faults(services={"a": {"colour": "red"}})
        self.assertIn("services.a.colour", text)

    def test_every_fault_is_named(self):
        text = self.faults(
            models={"m": {"prompt_price": -1}},
            upstreams={
                "u": {
                    "kind": "kettle",
                    "data_center": "surco",
                    "address": "host:1",
                    "serves": [],
                }
            },
        )
        for path in ("models.m.prompt_price", "upstreams.u.kind"):
            self.assertIn(path, text)
        self.assertIn("upstreams.u.address", text)

    def test_names_that_nothing_defines(self):
        text = self.faults(services={"a": {"models": ["none"]}})
        self.assertIn("services.a.models: 'none' is not defined", text)

    def test_upstream_that_serves_an_undefined_model(self):
        upstream = {
            "kind": "engine",
            "data_center": "surco",
            "address": "127.0.0.1:1",
            "serves": ["ghost"],
        }
        self.assertIn("ghost", self.faults(upstreams={"u": upstream}))

    def test_not_json_and_too_large(self):
        for document in ("{", " " * 300_000):
            with self.assertRaises(errors.ConfigurationError):
                configuration.parse_configuration(document)

    def test_other_schema_versions(self):
        self.assertIn("schema_version", self.faults(schema_version=2))

    def test_an_empty_document_is_fine(self):
        self.assertEqual({}, check().services)
