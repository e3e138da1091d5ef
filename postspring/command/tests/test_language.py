"""Tests of the query and command language."""

import pathlib
import unittest

import hypothesis
from hypothesis import strategies

from postspring import command
from postspring.entry import configuration_edits
from postspring import errors

FIELDS = ("id", "service", "spent", "parent")
ROWS = [
    {"id": "a", "service": "triage", "spent": 5, "parent": None},
    {"id": "b", "service": "triage", "spent": 9, "parent": "a"},
    {"id": "c", "service": "advisor", "spent": 2, "parent": None},
]


def query_rows(text, rows=ROWS):
    """Return the rows of a query's result."""
    return command.evaluate(command.parse(text), rows, FIELDS).rows


class QueryTest(unittest.TestCase):
    """Queries that filter, group, sort and limit."""

    def test_where_order_and_limit(self):
        text = (
            "show programs (id) where spent >= 2 order by spent desc limit 2"
        )
        self.assertEqual((("b",), ("a",)), query_rows(text))

    def test_comparisons(self):
        for condition, expected in (
            ('service = "triage"', "ab"),
            ("service != triage", "c"),
            ("service ~ adv", "c"),
            ("parent = null", "ac"),
            ("spent < 6 and service = triage", "a"),
            ("id > 3", ""),
        ):
            with self.subTest(condition=condition):
                rows = query_rows(f"show programs (id) where {condition}")
                self.assertEqual(expected, "".join(row[0] for row in rows))

    def test_aggregates(self):
        text = (
            "show programs (service, count, sum(spent), max(spent)) "
            "by service order by sum(spent)"
        )
        self.assertEqual(
            (("advisor", 1, 2, 2), ("triage", 2, 14, 9)), query_rows(text)
        )

    def test_aggregates_of_no_rows(self):
        text = "show programs (count, avg(spent))"
        self.assertEqual(((0, None),), query_rows(text, []))

    def test_invalid_queries(self):
        for text in (
            "show programs (colour)",
            "show programs where colour = 1",
            "show programs order by colour",
            "show programs (id, count)",
        ):
            with self.subTest(text=text):
                with self.assertRaises(errors.CommandError):
                    query_rows(text)


class GrammarTest(unittest.TestCase):
    """Syntax errors."""

    def test_syntax_error_marks_column(self):
        with self.assertRaises(errors.CommandError) as caught:
            command.parse("show programs wher spent > 3")
        message = str(caught.exception)
        self.assertIn("column 15", message)
        self.assertEqual(" " * 14 + "^", message.splitlines()[-1])

    @hypothesis.given(strategies.text(max_size=60))
    def test_any_text_parses_or_raises_command_error(self, text):
        try:
            parsed = command.parse(text)
        except errors.CommandError as error:
            self.assertTrue(str(error))
        else:
            self.assertIsInstance(parsed, command.Statement)


class FormatTest(unittest.TestCase):
    """Results as text tables, JSON and CSV."""

    TABLE = command.Table(("id", "n"), (("a", None), ("b,c", 2)), ("vm-3",))

    def test_unreachable_vms_are_listed(self):
        self.assertIn("vm-3", command.format_table(self.TABLE, "table"))
        self.assertIn("vm-3", command.format_table(self.TABLE, "json"))

    def test_csv_quotes_commas(self):
        text = command.format_table(self.TABLE, "csv")
        self.assertEqual('id,n\na,-\n"b,c",2', text)

    def test_unknown_format_is_rejected(self):
        with self.assertRaises(errors.ConfigurationError):
            command.format_table(self.TABLE, "yaml")


class EditTest(unittest.TestCase):
    """Statements applied as edits to the configuration document."""

    def edit(self, text, document=b'{"upstreams": {"e": {}}}'):
        """Return the document after the statement in ``text``."""
        return configuration_edits.edit(document, command.parse(text))

    def test_drain_and_return_upstream(self):
        drained = self.edit("drain upstream e")
        self.assertIn(b'"draining": true', drained)
        back = self.edit("return upstream e", drained)
        self.assertIn(b'"draining": false', back)

    def test_setting_field_creates_service(self):
        text = 'set service triage models = "m1,m2"'
        self.assertIn(b'{"models": ["m1", "m2"]}', self.edit(text))

    def test_unknown_upstream_is_rejected(self):
        for text in ("drain upstream x", "set upstream x concurrency = 1"):
            with self.assertRaises(errors.CommandError):
                self.edit(text)

    def test_declare_data_centre_lost_and_back(self):
        lost = self.edit("declare data_center rimac lost")
        self.assertIn(b'["rimac"]', lost)
        back = self.edit("declare data_center rimac back", lost)
        self.assertIn(b'"lost_data_centers": []', back)


class DocumentationTest(unittest.TestCase):
    """The examples in the documentation of the language."""

    def test_every_example_is_parsed(self):
        page = pathlib.Path(__file__).parents[3] / "docs" / "COMMANDS.md"
        block = page.read_text().split("```")[1]
        lines = [line for line in block.splitlines() if line.strip()]
        self.assertGreater(len(lines), 15)
        for line in lines:
            with self.subTest(line=line):
                self.assertIsInstance(command.parse(line), command.Statement)
