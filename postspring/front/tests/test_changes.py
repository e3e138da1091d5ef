"""Changes of the configuration, leaving upstreams, and shutdown."""

from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module


class ConfigurationTest(case.FleetCase):
    """New configurations take effect at once; versions never decrease."""

    def test_removed_route_is_not_found(self):
        configuration = fleet_module.default_configuration(5)
        del configuration["routes"][0]
        self.fleet.configure(configuration)
        node = self.fleet.nodes[0]
        self.fleet.run_loop_until(lambda: node.configuration.version == 5)
        self.assertEqual(404, self.fleet.call("GET", "/safe/x", "r").status)

    def test_lower_version_is_ignored(self):
        self.fleet.configure(fleet_module.default_configuration(5))
        node = self.fleet.nodes[0]
        self.fleet.run_loop_until(lambda: node.configuration.version == 5)
        self.fleet.configure(fleet_module.default_configuration(3))
        self.fleet.configure({"version": 9})
        self.fleet.turn_for(0.3)
        self.assertEqual(5, node.configuration.version)


class UnknownRouteTest(case.FleetCase):
    """A VM answers 404 only if its configuration is certainly the newest.

    While the store refused VMs, they answered 404 for hosts and routes that
    every configuration in force had, because a VM took its configuration for
    the newest however old it was.  Here a configuration has to be in force
    within 2 s.
    """

    def call_new_route(self, vm=0):
        """Send a call to a route that the configuration lacks."""
        return self.fleet.call("GET", "/new/x", "r", vm=vm)

    def test_not_found_while_the_log_answers(self):
        for _ in range(12):
            self.fleet.turn_for(0.3)
            self.assertEqual(404, self.call_new_route().status)

    def test_unavailable_when_the_outage_exceeds_the_bound(self):
        self.fleet.store.refuse = 503
        # A long poll from before the outage is answered after up to 1.4 s.
        self.fleet.turn_for(2.1 + 1.4)
        answer = self.call_new_route()
        self.assertEqual(503, answer.status)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.fleet.store.refuse = 0
        self.fleet.turn_for(1.5)
        self.assertEqual(404, self.call_new_route().status)

    def test_unavailable_when_the_configuration_came_from_another_vm(self):
        self.fleet.store.refuse = 429
        self.fleet.start_vm("late")
        self.assertEqual(503, self.call_new_route(vm=1).status)

    def test_unavailable_when_the_newest_configuration_is_invalid(self):
        self.fleet.configure({"version": 9})
        self.fleet.turn_for(0.3)
        self.assertEqual(503, self.call_new_route().status)
        self.fleet.configure(fleet_module.default_configuration(10))
        self.fleet.turn_for(0.3)
        self.assertEqual(404, self.call_new_route().status)


class LeavingUpstreamTest(case.FleetCase):
    """Leaving upstreams get no more work."""

    tools = 2

    def test_draining_upstream_gets_no_calls(self):
        leaving = self.fleet.tools[0]
        self.fleet.announce(leaving, fleet_module.PLAIN_SERVICE, "draining")
        directory = self.fleet.nodes[0].directory
        self.fleet.run_loop_until(lambda: directory.by_id[leaving.id].leaving)
        for number in range(6):
            self.fleet.call("GET", "/safe/x", f"r{number}")
        self.assertEqual([], leaving.runs)

    def test_connections_to_a_withdrawn_upstream_are_closed(self):
        leaving = self.fleet.tools[0]
        self.fleet.call("GET", "/safe/x", "first")
        self.fleet.withdraw(leaving)
        directory = self.fleet.nodes[0].directory
        self.fleet.run_loop_until(lambda: leaving.id not in directory.by_id)
        self.fleet.run_loop_until(lambda: leaving.connections == 0)


class ShutdownTest(case.FleetCase):
    """A shutdown breaks off no request."""

    def test_request_in_progress_is_answered(self):
        node = self.fleet.nodes[0]
        self.fleet.engines[0].event_seconds = 0.2
        caller = self.fleet.caller()
        fields = {"program_id": "p", "token_usage": "1,16"}
        headers = self.fleet.headers("a", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: self.fleet.engines[0].runs)
        node.shutdown.begin()
        self.assertFalse(node.is_ready)
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.complete)

    def test_new_requests_are_served_and_their_connections_closed(self):
        self.fleet.nodes[0].shutdown.begin()
        answer = self.fleet.call("GET", "/safe/x", "r")
        self.assertEqual(200, answer.status)
        self.assertEqual("close", answer.headers["connection"])

    def test_request_after_the_rotation_period_is_refused(self):
        caller = self.fleet.caller()
        self.fleet.call("GET", "/safe/x", "r", caller=caller)
        node = self.fleet.nodes[0]
        node.shutdown.begin()
        node.shutdown._began_at -= 4.0
        fields = {"program_id": "p", "token_usage": "1,16"}
        headers = self.fleet.headers("a", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertEqual(503, caller.answer.status)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_shutdown_completes(self):
        self.fleet.nodes[0].shutdown.begin()
        self.fleet.run_loop_until(lambda: self.fleet.stopped)
