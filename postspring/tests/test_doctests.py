"""Runs the doctests of all modules in the package."""

import doctest
import importlib
import pkgutil

import postspring

EXCLUDED_SUFFIXES = ("__main__",)


def _modules():
    for found in pkgutil.walk_packages(postspring.__path__, "postspring."):
        if found.name.endswith(EXCLUDED_SUFFIXES) or ".tests" in found.name:
            continue
        yield importlib.import_module(found.name)


def load_tests(loader, tests, pattern):
    """Add the doctests to the suite."""
    for module in _modules():
        tests.addTests(doctest.DocTestSuite(module))
    return tests
