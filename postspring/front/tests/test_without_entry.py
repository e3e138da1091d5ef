"""What is told of a send to an upstream whose entry has lapsed."""

from postspring.testing.fleet import case

LOGGER = "postspring.calls"


class WithoutEntryTest(case.FleetCase):
    """An entry lapsed while the log was away; the log is back."""

    def line(self, request):
        """Return the log line of a call."""
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.fleet.call("GET", "/safe/x", request)
        return logs.records[-1]

    def test_the_line_says_so(self):
        directory = self.fleet.nodes[0].directory
        self.assertFalse(hasattr(self.line("a"), "without_entry"))
        directory.tolerate_missing(directory._now() + 60.0)
        for tool in self.fleet.tools:
            directory.withdraw(tool.id)
        self.assertEqual(1, self.line("b").without_entry)
