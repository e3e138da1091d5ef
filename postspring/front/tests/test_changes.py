"""Configuration, leaving upstreams, shutdown."""

from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module


class ConfigurationTest(case.FleetCase):
    """A new configuration is in force at once, and never goes back."""

    def test_a_route_that_was_dropped(self):
        configuration = fleet_module.default_configuration(5)
        del configuration["routes"][0]
        self.fleet.configure(configuration)
        node = self.fleet.nodes[0]
        self.fleet.turn_until(lambda: node.configuration.version == 5)
        self.assertEqual(404, self.fleet.call("GET", "/safe/x", "r").status)

    def test_a_lower_version_changes_nothing(self):
        self.fleet.configure(fleet_module.default_configuration(5))
        node = self.fleet.nodes[0]
        self.fleet.turn_until(lambda: node.configuration.version == 5)
        self.fleet.configure(fleet_module.default_configuration(3))
        self.fleet.configure({"version": 9})
        self.fleet.turn_for(0.3)
        self.assertEqual(5, node.configuration.version)


class UnknownRouteTest(case.FleetCase):
    """That there is no such route is said only by who can know.

    Seen: hosts and routes that every configuration in force had were
    answered 404 while the store turned VMs away.  A VM that knew none took
    its own configuration, however old, for the newest.  The configuration
    has to be in force within 2 s here.
    """

    def ask(self, vm=0):
        """Ask for a route that this VM does not know."""
        return self.fleet.call("GET", "/new/x", "r", vm=vm)

    def test_while_the_log_answers(self):
        for _ in range(12):
            self.fleet.turn_for(0.3)
            self.assertEqual(404, self.ask().status)

    def test_when_the_log_has_been_away_for_longer_than_the_bound(self):
        self.fleet.store.refuse = 503
        # a read that waited since before is still answered, after 1.4 s
        self.fleet.turn_for(2.1 + 1.4)
        answer = self.ask()
        self.assertEqual(503, answer.status)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.fleet.store.refuse = 0
        self.fleet.turn_for(1.5)
        self.assertEqual(404, self.ask().status)

    def test_when_another_vm_told_the_configuration(self):
        self.fleet.store.refuse = 429
        self.fleet.start_vm("late")
        self.assertEqual(503, self.ask(vm=1).status)

    def test_when_the_newest_configuration_can_not_be_read(self):
        self.fleet.configure({"version": 9})
        self.fleet.turn_for(0.3)
        self.assertEqual(503, self.ask().status)
        self.fleet.configure(fleet_module.default_configuration(10))
        self.fleet.turn_for(0.3)
        self.assertEqual(404, self.ask().status)


class LeavingUpstreamTest(case.FleetCase):
    """Upstreams that leave get no more work."""

    tools = 2

    def test_draining(self):
        leaving = self.fleet.tools[0]
        self.fleet.announce(leaving, fleet_module.PLAIN_SERVICE, "draining")
        directory = self.fleet.nodes[0].directory
        self.fleet.turn_until(lambda: directory.by_id[leaving.id].leaving)
        for number in range(6):
            self.fleet.call("GET", "/safe/x", f"r{number}")
        self.assertEqual([], leaving.runs)

    def test_withdrawn(self):
        leaving = self.fleet.tools[0]
        self.fleet.call("GET", "/safe/x", "first")
        self.fleet.withdraw(leaving)
        directory = self.fleet.nodes[0].directory
        self.fleet.turn_until(lambda: leaving.id not in directory.by_id)
        self.fleet.turn_until(lambda: leaving.connections == 0)


class ShutdownTest(case.FleetCase):
    """SIGTERM cuts no request."""

    def test_a_request_under_way_is_answered(self):
        node = self.fleet.nodes[0]
        self.fleet.engines[0].event_seconds = 0.2
        caller = self.fleet.caller()
        fields = {"program_id": "p", "token_usage": "1,16"}
        headers = self.fleet.headers("a", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.turn_until(lambda: self.fleet.engines[0].runs)
        node.shutdown.begin()
        self.assertFalse(node.is_ready)
        self.fleet.turn_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.whole)

    def test_requests_that_still_come_are_served_and_closed(self):
        self.fleet.nodes[0].shutdown.begin()
        answer = self.fleet.call("GET", "/safe/x", "r")
        self.assertEqual(200, answer.status)
        self.assertEqual("close", answer.headers["connection"])

    def test_a_request_that_comes_late_is_sent_elsewhere(self):
        caller = self.fleet.caller()
        self.fleet.call("GET", "/safe/x", "r", caller=caller)
        node = self.fleet.nodes[0]
        node.shutdown.begin()
        node.shutdown._began_at -= 4.0
        fields = {"program_id": "p", "token_usage": "1,16"}
        headers = self.fleet.headers("a", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.turn_until(lambda: caller.answer.settled)
        self.assertEqual(503, caller.answer.status)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_it_ends(self):
        self.fleet.nodes[0].shutdown.begin()
        self.fleet.turn_until(lambda: self.fleet.stopped)
