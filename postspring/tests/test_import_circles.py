"""The check of imports between packages, as bin/lint runs it."""

import importlib.machinery
import importlib.util
import pathlib
import tempfile
import unittest

PATH = pathlib.Path(__file__).resolve().parents[2] / "bin/check-import-circles"


def load_check():
    """Return the script as a module; its name has no ending."""
    loader = importlib.machinery.SourceFileLoader("check", str(PATH))
    spec = importlib.util.spec_from_loader("check", loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


class ImportCirclesTest(unittest.TestCase):
    """A tree of files, and the circles that are found in it."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        self.check = load_check()

    def write(self, name, source):
        path = self.root / "postspring" / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(source)

    def found(self):
        imports = self.check.imports_by_package(self.root)
        return self.check.circles(imports)

    def test_none(self):
        self.write("a/one.py", "from postspring import b\nimport os\n")
        self.write("b/two.py", "from postspring.b import three\n")
        self.write("b/three.py", "from postspring import errors\n")
        self.write("errors.py", "import postspring\n")
        self.assertEqual([], self.found())

    def test_two_packages(self):
        self.write("a/one.py", "from postspring.b import two\n")
        self.write("b/three.py", "import postspring.a.four\n")
        self.assertEqual([["a", "b", "a"]], self.found())

    def test_a_way_round(self):
        self.write("a/one.py", "from postspring import b\n")
        self.write("b/one.py", "from postspring.c import one\n")
        self.write("c/one.py", "from postspring import a\n")
        self.assertEqual([["a", "b", "c", "a"]], self.found())

    def test_one_that_leads_to_a_circle_is_not_part_of_it(self):
        self.write("a/one.py", "from postspring import b\n")
        self.write("b/one.py", "from postspring import c\n")
        self.write("c/one.py", "from postspring import b\n")
        self.assertEqual([["b", "c", "b"]], self.found())

    def test_two_circles(self):
        self.write("a/one.py", "from postspring import b, c\n")
        self.write("b/one.py", "from postspring import a\n")
        self.write("c/one.py", "from postspring import a\n")
        expected = [["a", "b", "a"], ["a", "c", "a"]]
        self.assertEqual(expected, self.found())

    def test_imports_that_are_late_or_for_types_only(self):
        late = "def call():\n    from postspring import b\n"
        self.write("a/one.py", late)
        typed = "if typing.TYPE_CHECKING:\n    from postspring import a\n"
        self.write("b/one.py", typed)
        self.assertEqual([["a", "b", "a"]], self.found())

    def test_relative_imports(self):
        self.write("a/one.py", "from .. import b\nfrom . import two\n")
        self.write("b/__init__.py", "from ..a.two import name\n")
        self.assertEqual([["a", "b", "a"]], self.found())

    def test_a_module_at_the_top(self):
        self.write("errors.py", "from postspring.a import one\n")
        self.write("a/one.py", "from postspring import errors\n")
        self.assertEqual([["a", "errors", "a"]], self.found())

    def test_tests_do_not_count(self):
        self.write("a/one.py", "from postspring import b\n")
        self.write("b/tests/test_one.py", "from postspring import a\n")
        self.assertEqual([], self.found())

    def test_the_file_that_imports_is_named(self):
        self.write("a/one.py", "from postspring import b\n")
        imports = self.check.imports_by_package(self.root)
        self.assertEqual({"a": {"b": "postspring/a/one.py"}}, imports)


class ProjectTest(unittest.TestCase):
    """The project itself."""

    def test_there_is_no_circle(self):
        check = load_check()
        imports = check.imports_by_package(check.ROOT)
        self.assertIn("transport", imports["front"])
        self.assertEqual([], check.circles(imports))
