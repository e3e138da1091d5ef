"""The whole path on stand-ins: what callers and upstreams see."""

import unittest

from postspring.platform import names
from postspring.testing.fleet import fleet as fleet_module

EVENTS = b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in (1, 2, 3))


class FleetCase(unittest.TestCase):
    """Starts the parts; a test may ask for more of them."""

    vms = 1
    engines = 1
    tools = 1

    def setUp(self):
        self.fleet = fleet_module.Fleet(self.vms, self.engines, self.tools)
        self.addCleanup(self.fleet.close)


class PlainCallTest(FleetCase):
    """Calls of tools and plain services."""

    def test_passed_on_unchanged(self):
        answer = self.fleet.call(
            "POST", "/once/a%20b//c?q=%2F&r", "r1", b"x\r\n\r\nGET / HTTP/1.1"
        )
        run = self.fleet.tools[0].runs[0]
        self.assertEqual(200, answer.status)
        self.assertEqual("/once/a%20b//c?q=%2F&r", run.target)
        self.assertEqual(b"x\r\n\r\nGET / HTTP/1.1", run.body)
        self.assertEqual("r1", run.header(names.REQUEST_ID))
        self.assertEqual(fleet_module.HOST, run.header("Host"))

    def test_the_seal_and_the_body_come_back(self):
        answer = self.fleet.call("GET", "/safe/x", "r1")
        self.assertEqual(b"answer of t0", answer.body)
        seal = answer.headers[names.SERVER_SEAL.lower()]
        self.assertEqual("seal-t0", seal)

    def test_system_headers_of_the_caller_are_dropped(self):
        forged = {
            names.HOLD: "h",
            names.PIN_MS: "4000",
            names.KV_BACKUP: "10.0.0.1:1",
            names.KV_FROM: "10.0.0.1:1/x",
            names.KV_FETCH: "10.0.0.1:1",
            names.URGENCY: "0",
            names.EXPECTED_VERSION: "9",
            names.TARGET_INSTANCE: "i-other",
        }
        self.fleet.call("GET", "/safe/x", "r1", **forged)
        run = self.fleet.tools[0].runs[0]
        for name in forged:
            if name != names.TARGET_INSTANCE:
                self.assertEqual("", run.header(name), name)
        self.assertEqual("t0", run.header(names.TARGET_INSTANCE))

    def test_the_deadline_that_is_left_is_passed_on(self):
        self.fleet.call("GET", "/safe/x", "r1", deadline_ms=2500)
        run = self.fleet.tools[0].runs[0]
        self.assertLessEqual(int(run.header(names.DEADLINE_MS)), 2500)

    def test_no_more_than_the_routes_timeout_is_passed_on(self):
        self.fleet.call("GET", "/safe/x", "r1", deadline_ms=60000)
        run = self.fleet.tools[0].runs[0]
        self.assertLessEqual(int(run.header(names.DEADLINE_MS)), 3000)

    def test_no_route(self):
        answer = self.fleet.call("GET", "/nowhere/x", "r1")
        self.assertEqual(404, answer.status)

    def test_connections_are_reused(self):
        caller = self.fleet.caller()
        for number in range(5):
            self.fleet.call("GET", "/safe/x", f"r{number}", caller=caller)
        self.assertEqual(1, self.fleet.tools[0].connections)


class RetryTest(FleetCase):
    """What is tried again, and what is not."""

    tools = 2

    def total_runs(self):
        """Return how often requests ran."""
        return sum(len(tool.runs) for tool in self.fleet.tools)

    def break_all(self, **faults):
        """Set faults of all tools."""
        for tool in self.fleet.tools:
            for name, value in faults.items():
                setattr(tool.faults, name, value)

    def test_a_call_that_may_repeat_is_tried_again(self):
        self.break_all(lose_answer=1)
        self.fleet.tools[1].faults.lose_answer = 0
        for number in range(4):
            answer = self.fleet.call("GET", "/safe/x", f"r{number}")
            self.assertEqual(200, answer.status)

    def test_a_call_that_may_not_is_not(self):
        self.break_all(lose_answer=9)
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(502, answer.status)
        self.assertEqual(1, self.total_runs())

    def test_a_call_that_was_shed_goes_elsewhere(self):
        self.fleet.tools[0].faults.shed = 9
        for number in range(6):
            answer = self.fleet.call("POST", "/once/x", f"r{number}", b"x")
            self.assertEqual(200, answer.status)
        self.assertEqual(6, self.total_runs())

    def test_all_shed_is_not_run(self):
        self.break_all(shed=99)
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(0, self.total_runs())

    def test_a_refusal_that_does_not_say_not_run_promises_nothing(self):
        self.break_all(busy_status=503)
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(502, answer.status)

    def test_the_address_of_another_upstream(self):
        self.fleet.tools[0].faults.wrong_instance = True
        for number in range(4):
            answer = self.fleet.call("POST", "/once/x", f"r{number}", b"x")
            self.assertEqual(200, answer.status)
        self.assertEqual(4, len(self.fleet.tools[1].runs))

    def test_an_answer_to_another_request_is_skipped(self):
        self.break_all(stale_answer=1)
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertIn(answer.body, (b"answer of t0", b"answer of t1"))
        self.assertEqual(1, self.total_runs())


class TimeoutTest(FleetCase):
    """A final answer at the route's time-out."""

    def test_a_call_that_hangs(self):
        self.fleet.tools[0].faults.hang = True
        answer = self.fleet.call(
            "POST", "/once/x", "r1", b"x", deadline_ms=300
        )
        self.assertEqual(504, answer.status)

    def test_a_caller_that_leaves_frees_the_upstream(self):
        self.fleet.tools[0].faults.hang = True
        caller = self.fleet.caller()
        caller.send("GET", "/safe/x", self.fleet.headers("r1"))
        self.fleet.turn_until(lambda: self.fleet.tools[0].runs)
        caller.close()
        self.fleet._callers.remove(caller)
        self.fleet.turn_until(lambda: self.fleet.tools[0].gone)


class TurnTest(FleetCase):
    """Turns: history, budget, streams."""

    vms = 2

    def test_the_stream_is_passed_on(self):
        answer = self.fleet.take_turn("a")
        self.assertTrue(answer.whole)
        self.assertEqual(EVENTS, answer.body)

    def test_the_history_is_put_together(self):
        self.fleet.take_turn("a")
        self.fleet.take_turn("b", previous_turn="a")
        run = self.fleet.engines[0].runs[1]
        self.assertEqual(b"<a>w1\nw2\nw3\n<b>", run.body)

    def test_another_vm_goes_on(self):
        self.fleet.take_turn("a")
        answer = self.fleet.take_turn("b", vm=1, previous_turn="a")
        self.assertTrue(answer.whole)
        run = self.fleet.engines[0].runs[1]
        self.assertEqual(b"<a>w1\nw2\nw3\n<b>", run.body)

    def test_all_vms_are_replaced(self):
        self.fleet.take_turn("a")
        for node in list(self.fleet.nodes):
            self.fleet.stop_vm(node)
        self.fleet.start_vm("new")
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)

    def test_no_such_turn(self):
        answer = self.fleet.take_turn("b", previous_turn="x")
        self.assertEqual(404, answer.status)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_the_budget_holds_over_vms(self):
        states = [
            self.fleet.take_turn(
                f"t{number}", vm=number % 2, token_budget="40"
            ).status
            for number in range(8)
        ]
        # 12 tokens a turn; 16 have to be free before one starts.
        self.assertEqual([200] * 3 + [402] * 5, states)

    def test_a_stream_that_breaks_does_not_look_complete(self):
        self.fleet.engines[0].faults.cut = 1
        answer = self.fleet.take_turn("a")
        self.assertFalse(answer.whole)
        self.assertEqual(b"id: 1\ndata: w1\n\n", answer.body)
        again = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(404, again.status)

    def test_tokens_of_a_broken_turn_are_charged(self):
        self.fleet.engines[0].faults.cut = 1
        self.fleet.take_turn("a", token_budget="19")
        answer = self.fleet.take_turn("b", token_budget="19")
        self.assertEqual(402, answer.status)

    def test_a_turn_that_was_shed_is_not_charged(self):
        self.fleet.engines[0].faults.shed = 99
        answer = self.fleet.take_turn("a", token_budget="16")
        self.assertEqual(503, answer.status)
        self.fleet.engines[0].faults.shed = 0
        answer = self.fleet.take_turn("b", token_budget="16")
        self.assertEqual(200, answer.status)


class StoreOutageTest(FleetCase):
    """The store does not answer."""

    def test_plain_calls_go_on(self):
        self.fleet.store.refuse = 503
        answer = self.fleet.call("GET", "/safe/x", "r1")
        self.assertEqual(200, answer.status)

    def test_a_new_program_is_refused_as_not_run(self):
        self.fleet.store.refuse = 503
        answer = self.fleet.take_turn("a")
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_it_goes_on_afterwards(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        self.fleet.store.refuse = 0
        answer = self.fleet.take_turn("b")
        self.assertTrue(answer.whole)

    def test_lost_answers_of_appends(self):
        self.fleet.store.lose_answers = 2
        answer = self.fleet.take_turn("a")
        self.assertTrue(answer.whole)

    def test_a_vm_that_knows_nothing_is_not_ready(self):
        self.fleet.store.refuse = 503
        alone = self.fleet.nodes.pop()
        with self.assertRaises(AssertionError):
            self.fleet.start_vm("late")
        self.fleet.nodes.insert(0, alone)
        answer = self.fleet.call("GET", "/safe/x", "r", vm=1)
        self.assertEqual(503, answer.status)


class HeldTurnTest(FleetCase):
    """The store is away; two VMs can reach each other."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: node.members.others)

    def test_a_new_program_begins(self):
        self.fleet.store.refuse = 503
        answer = self.fleet.take_turn("a")
        self.assertTrue(answer.whole)
        self.assertEqual(EVENTS, answer.body)

    def test_it_goes_on_at_the_same_vm(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)
        run = self.fleet.engines[0].runs[-1]
        self.assertEqual(b"<a>w1\nw2\nw3\n<b>", run.body)

    def test_another_vm_passes_it_on(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        answer = self.fleet.take_turn("b", vm=1, previous_turn="a")
        self.assertTrue(answer.whole)
        run = self.fleet.engines[0].runs[-1]
        self.assertEqual(b"<a>w1\nw2\nw3\n<b>", run.body)

    def test_a_turn_that_nobody_knows_is_not_said_not_to_exist(self):
        self.fleet.store.refuse = 503
        answer = self.fleet.take_turn("b", previous_turn="x")
        self.assertEqual(503, answer.status)

    def test_the_budget_holds(self):
        self.fleet.store.refuse = 503
        states = [
            self.fleet.take_turn(
                f"t{number}", vm=number % 2, token_budget="40"
            ).status
            for number in range(6)
        ]
        self.assertEqual(3, states.count(200))

    def test_the_budget_holds_when_the_store_is_back(self):
        self.fleet.store.refuse = 503
        for number in range(3):
            self.fleet.take_turn(f"t{number}", token_budget="40")
        self.fleet.store.refuse = 0
        journals = [node.journal for node in self.fleet.nodes]
        self.fleet.turn_until(lambda: not any(j.held for j in journals))
        answer = self.fleet.take_turn("u", vm=1, token_budget="40")
        self.assertEqual(402, answer.status)

    def test_a_held_turn_is_recorded_when_the_store_is_back(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        self.fleet.store.refuse = 0
        journals = [node.journal for node in self.fleet.nodes]
        self.fleet.turn_until(lambda: not any(j.held for j in journals))
        for node in list(self.fleet.nodes):
            self.fleet.stop_vm(node)
        self.fleet.start_vm("new")
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)

    def test_a_held_turn_survives_the_vm_that_answered_it(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        self.fleet.stop_vm(self.fleet.nodes[0])
        self.fleet.store.refuse = 0
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)

    def test_a_program_under_way_goes_on(self):
        self.fleet.take_turn("a")
        self.fleet.store.refuse = 503
        for number in range(3):
            answer = self.fleet.take_turn(f"b{number}", previous_turn="a")
            self.assertTrue(answer.whole)

    def test_a_silent_store(self):
        self.fleet.take_turn("a")
        self.fleet.store.silent = True
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)
        self.fleet.store.silent = False
        journals = [node.journal for node in self.fleet.nodes]
        self.fleet.turn_until(lambda: not any(j.held for j in journals))


class LateStartTest(FleetCase):
    """A VM starts while the store is away."""

    def test_it_serves_by_what_another_vm_knows(self):
        self.fleet.take_turn("a")
        self.fleet.store.refuse = 503
        self.fleet.start_vm("late")
        self.assertEqual(
            200, self.fleet.call("GET", "/safe/x", "r", vm=1).status
        )
        answer = self.fleet.take_turn("b", vm=1, previous_turn="a")
        self.assertTrue(answer.whole)

    def test_it_follows_the_store_afterwards(self):
        self.fleet.store.refuse = 503
        late = self.fleet.start_vm("late")
        self.fleet.store.refuse = 0
        self.fleet.configure(fleet_module.default_configuration(5))
        self.fleet.turn_until(lambda: late.configuration.version == 5)


class HelpedVmTest(FleetCase):
    """One VM can't reach the store; another one can."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: node.members.others)
        self.cut = self.fleet.nodes[0]
        self.cut.store._address = ("127.0.0.1", 1)

    def test_turns_are_recorded_by_way_of_the_other(self):
        self.assertTrue(self.fleet.take_turn("a").whole)
        self.fleet.turn_until(lambda: not self.cut.log.is_direct)
        answer = self.fleet.take_turn("b", vm=1, previous_turn="a")
        self.assertTrue(answer.whole)

    def test_the_configuration_is_followed(self):
        self.fleet.take_turn("a")
        self.fleet.configure(fleet_module.default_configuration(5))
        self.fleet.turn_until(lambda: self.cut.configuration.version == 5)

    def test_the_direct_way_is_taken_again(self):
        self.fleet.take_turn("a")
        self.cut.store._address = self.fleet.store.address
        self.fleet.turn_until(lambda: self.cut.log.is_direct)


class ReserveTest(FleetCase):
    """A VM reserves ahead, so that most turns cost one record less."""

    vms = 2

    def appends(self):
        """Return the appends to programs' records so far."""
        prefix = f"{names.LOG_APPEND_PATH} {names.PROGRAMS_TOPIC[:14]}"
        return sum(call.startswith(prefix) for call in self.fleet.store.calls)

    def test_the_next_turn_needs_no_record_before_it(self):
        self.fleet.take_turn("a")
        before = self.appends()
        self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(1, self.appends() - before)

    def test_others_may_go_on(self):
        budget = "200"
        statuses = [
            self.fleet.take_turn(
                f"t{number}", vm=number % 2, token_budget=budget
            ).status
            for number in range(10)
        ]
        self.assertEqual([200] * 10, statuses)


class ConfigurationTest(FleetCase):
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


class LeavingUpstreamTest(FleetCase):
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


class ShutdownTest(FleetCase):
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
        node.shutdown._began -= 4.0
        fields = {"program_id": "p", "token_usage": "1,16"}
        headers = self.fleet.headers("a", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.turn_until(lambda: caller.answer.settled)
        self.assertEqual(503, caller.answer.status)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_it_ends(self):
        self.fleet.nodes[0].shutdown.begin()
        self.fleet.turn_until(lambda: self.fleet.stopped)


class BadInputTest(FleetCase):
    """Requests that can't be read."""

    def raw(self, data):
        """Send bytes; return the answer."""
        caller = self.fleet.caller()
        caller.send("GET", "/safe/x", self.fleet.headers("r"))
        self.fleet.turn_until(lambda: caller.answer.settled)
        raw = self.fleet.caller()
        raw._http.send(
            fleet_module.caller_module.h11.Request(
                method="GET", target="/", headers=[("Host", "h")]
            )
        )
        raw.send_raw(data)
        self.fleet.turn_until(lambda: raw.answer.settled)
        return raw.answer

    def test_not_http(self):
        self.assertEqual(400, self.raw(b"hello\r\n\r\n").status)

    def test_headers_that_are_too_large(self):
        data = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 70000
        self.assertEqual(431, self.raw(data).status)

    def test_a_body_that_is_too_large(self):
        data = (
            b"POST /safe/x HTTP/1.1\r\nHost: h\r\n"
            b"Content-Length: 5000000\r\n\r\n" + b"x" * 1_200_000
        )
        self.assertEqual(413, self.raw(data).status)

    def test_two_lengths(self):
        data = (
            b"POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nxx"
        )
        self.assertEqual(400, self.raw(data).status)
        self.assertEqual(1, len(self.fleet.tools[0].runs))
