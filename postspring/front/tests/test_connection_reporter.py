"""Reports of connections that close before their answer is delivered."""

from postspring import metrics
from postspring.testing.fleet import case


class ConnectionReporterTest(case.FleetCase):
    """Such a connection has a log line with the request's id, and a count."""

    def test_caller_that_leaves_with_an_open_request(self):
        self.fleet.tools[0].faults.hang = True
        node = self.fleet.nodes[0]
        counted = []
        node.metrics.interrupted_responses.add = lambda n, labels: (
            counted.append(labels)
        )
        caller = self.fleet.caller()
        headers = self.fleet.headers("request-1")
        caller.send("GET", "/safe/x", headers)
        self.fleet.run_loop_until(lambda: self.fleet.tools[0].runs)
        with self.assertLogs("postspring.front", "INFO") as lines:
            caller.close()
            self.fleet.run_loop_until(lambda: lines.records)
        record = lines.records[0]
        self.assertEqual(
            "connection closed before its answer was delivered",
            record.getMessage(),
        )
        self.assertEqual("request-1", record.request)
        self.assertEqual("caller", record.ended_by)
        self.assertEqual(0, record.unsent)
        self.assertEqual([{"ended_by": "caller"}], counted)

    def test_count_is_on_the_metrics_page(self):
        page = metrics.Metrics()
        self.addCleanup(page.close)
        page.interrupted_responses.add(1, {"ended_by": "vm"})
        self.assertIn(
            b'postspring_connections_cut_total{ended_by="vm"', page.scrape()
        )
