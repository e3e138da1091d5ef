"""The metrics page of a whole front VM.

OpenTelemetry is imported only where a metrics port is set.  The tests guard
against a metric that is lost by that, and against a VM without the port that
fails where it counts something.
"""

from postspring.testing.fleet import caller as caller_module
from postspring.testing.fleet import case
from postspring.testing import processes

# Everything that a VM shows after a turn, without the parts of a histogram.
NAMES = {
    "blocked_requests",
    "call_seconds",
    "caller_memory_bytes",
    "calls",
    "collected_answer_bytes",
    "configuration_age_seconds",
    "connections_without_room",
    "follower_failures",
    "held_turns",
    "paused_seconds",
    "pauses",
    "peer_memory_bytes",
    "processor_seconds",
    "resident_peak_bytes",
    "store_calls",
    "timer_wake_ups",
    "unread_responses_discarded",
    "unsent_request_bytes",
    "unsent_response_bytes",
    "upstream_connections_opened",
    "upstreams_age_seconds",
}
PREFIX = "# TYPE postspring_"


class MetricsPageTest(case.FleetCase):
    """A VM with a metrics port, and one without."""

    def test_page_with_port(self):
        """Guards against metrics that are missing on the page."""
        port = processes.free_port()
        self.fleet.start_vm("vm-with-page", metrics_port=port)
        self.assertTrue(self.fleet.take_turn("a", vm=1).complete)
        caller = caller_module.Caller(("127.0.0.1", port))
        self.fleet._callers.append(caller)
        caller.send("GET", "/metrics", {"Host": "a"})
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        lines = caller.answer.body.decode().splitlines()
        shown = {
            line.removeprefix(PREFIX).split()[0].removesuffix("_total")
            for line in lines
            if line.startswith(PREFIX)
        }
        self.assertEqual(NAMES, shown)

    def test_no_page_without_port(self):
        """Guards against a VM that fails to count without OpenTelemetry."""
        self.assertTrue(self.fleet.take_turn("a").complete)
        node = self.fleet.nodes[0]
        self.assertEqual(b"", node.metrics.scrape())
        node.metrics.close()
