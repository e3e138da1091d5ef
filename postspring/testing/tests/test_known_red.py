"""Known failures are passed over, and nothing else is."""

import io
import pathlib
import tempfile
import unittest

from postspring.testing import known_red


class _Sample(unittest.TestCase):
    def fails(self):
        """Fail."""
        self.fail("as known")

    def breaks(self):
        """Raise."""
        raise RuntimeError("as known")


class ResultTest(unittest.TestCase):
    """A test that fails, listed or not."""

    def run_with(self, method, listed):
        """Run a sample test; return the result."""
        test = _Sample(method)
        lines = {test.id(): "line"} if listed else {}
        stream = unittest.runner._WritelnDecorator(io.StringIO())
        result = known_red.KnownRedResult(stream, True, 0)
        result.line_by_test = lines
        test.run(result)
        return result

    def test_a_listed_one_is_passed_over_and_told(self):
        for method in ("fails", "breaks"):
            result = self.run_with(method, listed=True)
            self.assertTrue(result.wasSuccessful())
            self.assertEqual(["line"], result.known_red)

    def test_any_other_one_is_a_failure(self):
        for method in ("fails", "breaks"):
            result = self.run_with(method, listed=False)
            self.assertFalse(result.wasSuccessful())
            self.assertEqual([], result.known_red)


class FileTest(unittest.TestCase):
    """The list."""

    def read(self, text):
        """Return what a file with this text lists."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "list"
            path.write_text(text)
            return known_red.read_known_red(path)

    def test_lines(self):
        self.assertEqual({"a": "a | b | c"}, self.read("a | b | c\n\n"))
        self.assertEqual({}, known_red.read_known_red(pathlib.Path("/none")))

    def test_days_that_are_played_are_no_tests(self):
        lines = self.read("a | b | c\nplayed: site day --seed 1 | e | f\n")
        played, listed = known_red.split_played(lines)
        self.assertEqual(["played: site day --seed 1 | e | f"], played)
        self.assertEqual(["a | b | c"], listed)

    def test_a_line_without_cause_or_issue(self):
        for text in ("a", "a | b", "a | | c"):
            with self.assertRaises(ValueError):
                self.read(text)

    def test_too_many(self):
        lines = "".join(f"t{number} | b | c\n" for number in range(4))
        with self.assertRaises(ValueError):
            self.read(lines)

    def test_issue_whose_tests_have_a_line_each(self):
        limited = "".join(f"t{number} | b | 5\n" for number in range(3))
        lines = "".join(f"u{number} | b | 64\n" for number in range(9))
        self.assertEqual(12, len(self.read(limited + lines)))
        with self.assertRaises(ValueError):
            self.read(limited + lines + "t4 | b | 5, 64\n")
