"""Tests of the configuration document's validation."""

import json
import unittest

from postspring import configuration
from postspring import errors


def parse_fields(**document):
    """Parse a document that consists of the given fields."""
    return configuration.parse_configuration(json.dumps(document))


class SchemaTest(unittest.TestCase):
    """Invalid documents; error messages name the field's path."""

    def error_message(self, **document):
        """Return the message of the error that the document raises."""
        with self.assertRaises(errors.ConfigurationError) as caught:
            parse_fields(**document)
        return str(caught.exception)

    def test_unknown_key_is_rejected(self):
        message = self.error_message(services={"a": {"colour": "red"}})
        self.assertIn("services.a.colour", message)

    def test_each_invalid_field_is_named(self):
        message = self.error_message(
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
            self.assertIn(path, message)
        self.assertIn("upstreams.u.address", message)

    def test_undefined_model_of_service(self):
        message = self.error_message(services={"a": {"models": ["none"]}})
        self.assertIn("services.a.models: 'none' is not defined", message)

    def test_undefined_model_of_upstream(self):
        upstream = {
            "kind": "engine",
            "data_center": "surco",
            "address": "127.0.0.1:1",
            "serves": ["ghost"],
        }
        self.assertIn("ghost", self.error_message(upstreams={"u": upstream}))

    def test_malformed_and_oversized_documents(self):
        for document in ("{", " " * 300_000):
            with self.assertRaises(errors.ConfigurationError):
                configuration.parse_configuration(document)

    def test_other_schema_version_is_rejected(self):
        self.assertIn("schema_version", self.error_message(schema_version=2))

    def test_empty_document_is_valid(self):
        self.assertEqual({}, parse_fields().services)
