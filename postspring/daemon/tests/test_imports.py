"""What a front VM imports at its start.

The smallest VM has half a core.  After a power loss, each module that is
imported without need delays the first turn of all VMs.  The tests count
modules, as times depend on the machine.
"""

import json
import subprocess
import sys
import unittest

from postspring import metrics

# Starts of a front VM without a metrics page: its imports and its metrics.
IMPORT = """
import json
import sys
from postspring.daemon import front_daemon
from postspring import metrics
metrics.Metrics(is_scraped=False).refused("reason", "no")
"""
# Packages that a front VM without a metrics page has no use for.
UNUSED = {
    "_ssl",
    "asyncio",
    "multiprocessing",
    "opentelemetry",
    "prometheus_client",
    "pydantic",
    "pydantic_settings",
    "ssl",
    "subprocess",
    "tempfile",
    "websockets",
}
# Modules of the standard library and of dependencies; 186 on Python 3.11, 284
# before.
MAX_FOREIGN_MODULES = 190
SECONDS = 60


def run_python(program: str) -> object:
    """Return what the program, run by a new interpreter, prints as JSON."""
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        check=True,
        timeout=SECONDS,
    )
    return json.loads(done.stdout)


class FrontImportsTest(unittest.TestCase):
    """A front VM imports only what it uses."""

    def test_modules_without_metrics_port(self):
        """Guards against imports that make all starts slower again."""
        loaded = run_python(IMPORT + "print(json.dumps(sorted(sys.modules)))")
        packages = {name.partition(".")[0] for name in loaded}
        self.assertEqual(packages & UNUSED, set())
        foreign = [n for n in loaded if n.partition(".")[0] != "postspring"]
        self.assertLessEqual(len(foreign), MAX_FOREIGN_MODULES, foreign)

    def test_placeholders_are_removed(self):
        """Guards against a placeholder in place of a module used later."""
        real = run_python(
            IMPORT + "import multiprocessing, ssl\n"
            "from circuits.core import bridge, workers\n"
            "print(json.dumps([bool(multiprocessing.Pool),"
            " issubclass(ssl.SSLError, OSError),"
            " bool(bridge.Bridge), bool(workers.Worker)]))"
        )
        self.assertEqual(real, [True] * 4)

    def test_collector_runs_after_imports(self):
        """Guards against a collector that stays off, which leaks memory."""
        enabled = run_python(
            IMPORT + "import gc\nprint(json.dumps(gc.isenabled()))"
        )
        self.assertTrue(enabled)


class MetricsWithPortTest(unittest.TestCase):
    """With a metrics page, the lazy imports lose no metric."""

    def test_all_metrics_are_on_the_page(self):
        """Guards against a counter, histogram or gauge that is dropped."""
        page = metrics.Metrics()
        self.addCleanup(page.close)
        counters = [
            name
            for name, item in vars(page).items()
            if hasattr(item, "add") and not name.startswith("_")
        ]
        for name in counters:
            getattr(page, name).add(1)
        page.call_seconds.record(0.5)
        page.add_gauge("gauge", "A gauge", lambda: 7)
        text = page.scrape().decode()
        lines = [i for i in text.splitlines() if i.startswith("postspring_")]
        totals = {i.partition("_total")[0] for i in lines if "_total" in i}
        self.assertEqual(len(counters), 19)
        self.assertEqual(len(totals), len(counters), text)
        self.assertIn("postspring_call_seconds_sum", text)
        self.assertTrue(any("postspring_gauge" in i for i in lines), text)


if __name__ == "__main__":
    unittest.main()
