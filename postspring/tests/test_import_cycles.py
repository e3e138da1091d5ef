"""The check for import cycles between packages, which bin/lint runs."""

import importlib.machinery
import importlib.util
import pathlib
import tempfile
import unittest

PATH = pathlib.Path(__file__).resolve().parents[2] / "bin/check-import-circles"


def load_check():
    """Return the script as a module; its file name has no suffix."""
    loader = importlib.machinery.SourceFileLoader("check", str(PATH))
    spec = importlib.util.spec_from_loader("check", loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


class ImportCyclesTest(unittest.TestCase):
    """The import cycles that the check finds in a source tree."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        self.check = load_check()

    def write_module(self, name, source):
        path = self.root / "postspring" / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(source)

    def find_cycles(self):
        imports = self.check.imports_by_package(self.root)
        return self.check.circles(imports)

    def test_no_cycle(self):
        self.write_module("a/one.py", "from postspring import b\nimport os\n")
        self.write_module("b/two.py", "from postspring.b import three\n")
        self.write_module("b/three.py", "from postspring import errors\n")
        self.write_module("errors.py", "import postspring\n")
        self.assertEqual([], self.find_cycles())

    def test_cycle_of_two_packages(self):
        self.write_module("a/one.py", "from postspring.b import two\n")
        self.write_module("b/three.py", "import postspring.a.four\n")
        self.assertEqual([["a", "b", "a"]], self.find_cycles())

    def test_cycle_of_three_packages(self):
        self.write_module("a/one.py", "from postspring import b\n")
        self.write_module("b/one.py", "from postspring.c import one\n")
        self.write_module("c/one.py", "from postspring import a\n")
        self.assertEqual([["a", "b", "c", "a"]], self.find_cycles())

    def test_package_that_imports_a_cycle_is_not_part_of_it(self):
        self.write_module("a/one.py", "from postspring import b\n")
        self.write_module("b/one.py", "from postspring import c\n")
        self.write_module("c/one.py", "from postspring import b\n")
        self.assertEqual([["b", "c", "b"]], self.find_cycles())

    def test_two_cycles(self):
        self.write_module("a/one.py", "from postspring import b, c\n")
        self.write_module("b/one.py", "from postspring import a\n")
        self.write_module("c/one.py", "from postspring import a\n")
        expected = [["a", "b", "a"], ["a", "c", "a"]]
        self.assertEqual(expected, self.find_cycles())

    def test_late_and_type_checking_imports_count(self):
        late = "def call():\n    from postspring import b\n"
        self.write_module("a/one.py", late)
        typed = "if typing.TYPE_CHECKING:\n    from postspring import a\n"
        self.write_module("b/one.py", typed)
        self.assertEqual([["a", "b", "a"]], self.find_cycles())

    def test_relative_imports(self):
        self.write_module("a/one.py", "from .. import b\nfrom . import two\n")
        self.write_module("b/__init__.py", "from ..a.two import name\n")
        self.assertEqual([["a", "b", "a"]], self.find_cycles())

    def test_top_level_module_counts_as_a_package(self):
        self.write_module("errors.py", "from postspring.a import one\n")
        self.write_module("a/one.py", "from postspring import errors\n")
        self.assertEqual([["a", "errors", "a"]], self.find_cycles())

    def test_tests_do_not_count(self):
        self.write_module("a/one.py", "from postspring import b\n")
        self.write_module("b/tests/test_one.py", "from postspring import a\n")
        self.assertEqual([], self.find_cycles())

    def test_importing_file_is_reported(self):
        self.write_module("a/one.py", "from postspring import b\n")
        imports = self.check.imports_by_package(self.root)
        self.assertEqual({"a": {"b": "postspring/a/one.py"}}, imports)


class ProjectTest(unittest.TestCase):
    """The imports of postspring itself."""

    def test_no_import_cycle(self):
        check = load_check()
        imports = check.imports_by_package(check.ROOT)
        self.assertIn("transport", imports["front"])
        self.assertEqual([], check.circles(imports))
