"""Log lines of calls that are sent to an upstream without an entry."""

from postspring.testing.fleet import case

LOGGER = "postspring.calls"


class WithoutEntryTest(case.FleetCase):
    """Entries lapsed during an outage that is over."""

    def call_log_record(self, request):
        """Return the log record of a call."""
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.fleet.call("GET", "/safe/x", request)
        return logs.records[-1]

    def test_log_line_counts_sends_without_an_entry(self):
        directory = self.fleet.nodes[0].directory
        self.assertFalse(hasattr(self.call_log_record("a"), "without_entry"))
        directory.tolerate_missing(directory._now() + 60.0)
        for tool in self.fleet.tools:
            directory.withdraw(tool.id)
        self.assertEqual(1, self.call_log_record("b").without_entry)
