"""Known failures: tests of faults that are not mended yet.

``KNOWN-RED.txt`` at the root has one line for each: the test's id, the cause
and the open issue, separated by ``|``.  These tests run like all others; that
they fail does not make the run fail, and they are printed.  In place of a
test a line may name a day that is played outside (``played: `` and how), with
what was seen; it is printed, and no test may fail for it.
"""

import pathlib
import sys
import unittest

import hypothesis

__all__ = ["KnownRedResult", "main", "read_known_red", "split_played"]

FILE_NAME = "KNOWN-RED.txt"
# More than these would hide what is broken.
MOST_LINES = 3
# Issues whose tests have a line each, beyond the limit.
UNLIMITED_ISSUES = frozenset({"64", "67"})
PLAYED = "played: "


def read_known_red(path: pathlib.Path) -> dict[str, str]:
    """Return each known failure's line by the test's id.

    Raises
    ------
    ValueError
        If a line has not three parts, or there are too many of them.
    """
    line_by_test = {}
    limited = 0
    text = path.read_text() if path.exists() else ""
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"not 'test | cause | issue': {line}")
        line_by_test[parts[0]] = line
        limited += parts[2] not in UNLIMITED_ISSUES
    if limited > MOST_LINES:
        raise ValueError(f"{path.name} has more than {MOST_LINES} lines")
    return line_by_test


def split_played(
    line_by_test: dict[str, str],
) -> tuple[list[str], list[str]]:
    """Return the lines of days that are played, and those of tests."""
    lines = line_by_test.values()
    played = [line for line in lines if line.startswith(PLAYED)]
    return played, [line for line in lines if line not in played]


class KnownRedResult(unittest.TextTestResult):
    """Sets known failures apart from others."""

    line_by_test: dict[str, str] = {}

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.known_red: list[str] = []

    def addFailure(self, test, err):  # noqa: N802
        """Take a failure."""
        if not self._is_known(test):
            super().addFailure(test, err)

    def addError(self, test, err):  # noqa: N802
        """Take an error."""
        if not self._is_known(test):
            super().addError(test, err)

    def _is_known(self, test) -> bool:
        line = self.line_by_test.get(test.id())
        if line is None:
            return False
        self.known_red.append(line)
        return True


def _ignore_speed() -> None:
    """Let no property test fail for the time that its inputs take.

    On a busy machine one failed after a second in which two had been drawn.
    """
    hypothesis.settings.register_profile(
        "any_speed",
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    hypothesis.settings.load_profile("any_speed")


def main(arguments: list[str]) -> int:
    """Run unittest's discovery, or the tests that are named."""
    _ignore_speed()
    root = pathlib.Path.cwd()
    line_by_test = read_known_red(root / FILE_NAME)
    loader = unittest.TestLoader()
    if arguments:
        suite = loader.loadTestsFromNames(arguments)
    else:
        suite = loader.discover("postspring", "test_*.py", ".")
    KnownRedResult.line_by_test = line_by_test
    runner = unittest.TextTestRunner(resultclass=KnownRedResult)
    result = runner.run(suite)
    bad = len(result.failures) + len(result.errors)
    bad += len(result.unexpectedSuccesses)
    played, listed = split_played(line_by_test)
    for line in (
        result.known_red if arguments else [*result.known_red, *played]
    ):
        print(f"KNOWN RED: {line.partition('|')[0].strip()}")
    if not arguments and len(result.known_red) < len(listed):
        print(f"{FILE_NAME} lists tests that pass, or that there are not")
        bad += 1
    skipped = len(result.skipped)
    good = result.testsRun - bad - skipped - len(result.known_red)
    print(f"{good} passed, {bad} failed, {skipped} skipped")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
