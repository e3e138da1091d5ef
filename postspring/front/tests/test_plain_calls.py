"""Plain calls, retries, time-outs and invalid requests."""

from postspring.platform import names
from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module


class PlainCallTest(case.FleetCase):
    """Calls to tools and plain services."""

    def test_request_is_forwarded_unchanged(self):
        answer = self.fleet.call(
            "POST", "/once/a%20b//c?q=%2F&r", "r1", b"x\r\n\r\nGET / HTTP/1.1"
        )
        run = self.fleet.tools[0].runs[0]
        self.assertEqual(200, answer.status)
        self.assertEqual("/once/a%20b//c?q=%2F&r", run.target)
        self.assertEqual(b"x\r\n\r\nGET / HTTP/1.1", run.body)
        self.assertEqual("r1", run.header(names.REQUEST_ID))
        self.assertEqual(fleet_module.HOST, run.header("Host"))

    def test_seal_and_body_are_returned(self):
        answer = self.fleet.call("GET", "/safe/x", "r1")
        self.assertEqual(b"answer of t0", answer.body)
        seal = answer.headers[names.SERVER_SEAL.lower()]
        self.assertEqual("seal-t0", seal)

    def test_system_headers_from_the_caller_are_dropped(self):
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

    def test_field_bytes_above_127_are_forwarded(self):
        odd = "caf\xe9"
        answer = self.fleet.call("GET", "/safe/x", "r1", **{"X-Name": odd})
        self.assertEqual(200, answer.status)
        run = self.fleet.tools[0].runs[0]
        self.assertEqual(odd, run.header("X-Name"))

    def test_remaining_deadline_is_forwarded(self):
        self.fleet.call("GET", "/safe/x", "r1", deadline_ms=2500)
        run = self.fleet.tools[0].runs[0]
        self.assertLessEqual(int(run.header(names.DEADLINE_MS)), 2500)

    def test_forwarded_deadline_is_at_most_the_routes_timeout(self):
        self.fleet.call("GET", "/safe/x", "r1", deadline_ms=60000)
        run = self.fleet.tools[0].runs[0]
        self.assertLessEqual(int(run.header(names.DEADLINE_MS)), 3000)

    def test_unknown_route_is_not_found(self):
        answer = self.fleet.call("GET", "/nowhere/x", "r1")
        self.assertEqual(404, answer.status)

    def test_connections_are_reused(self):
        caller = self.fleet.caller()
        for number in range(5):
            self.fleet.call("GET", "/safe/x", f"r{number}", caller=caller)
        self.assertEqual(1, self.fleet.tools[0].connections)


class RetryTest(case.FleetCase):
    """Which calls are retried and which are not."""

    tools = 2

    def total_runs(self):
        """Return how many requests ran at all tools."""
        return sum(len(tool.runs) for tool in self.fleet.tools)

    def set_faults(self, **faults):
        """Set faults on all tools."""
        for tool in self.fleet.tools:
            for name, value in faults.items():
                setattr(tool.faults, name, value)

    def test_idempotent_call_is_retried(self):
        self.set_faults(lose_answer=1)
        self.fleet.tools[1].faults.lose_answer = 0
        for number in range(4):
            answer = self.fleet.call("GET", "/safe/x", f"r{number}")
            self.assertEqual(200, answer.status)

    def test_hanging_idempotent_call_is_retried_elsewhere(self):
        # Without a retry, look-ups waited for an upstream that had lost
        # their answers until their callers left.
        self.fleet.tools[0].faults.hang = True
        for number in range(4):
            answer = self.fleet.call("GET", "/safe/x", f"r{number}")
            self.assertEqual(200, answer.status)

    def test_hanging_unsafe_call_is_not_retried(self):
        self.set_faults(hang=True)
        answer = self.fleet.call(
            "POST", "/once/x", "r1", b"x", deadline_ms=500
        )
        self.assertEqual(504, answer.status)
        self.assertEqual(1, self.total_runs())

    def test_unsafe_call_is_not_retried(self):
        self.set_faults(lose_answer=9)
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(502, answer.status)
        self.assertEqual(1, self.total_runs())

    def test_shed_call_is_retried_elsewhere(self):
        self.fleet.tools[0].faults.shed = 9
        for number in range(6):
            answer = self.fleet.call("POST", "/once/x", f"r{number}", b"x")
            self.assertEqual(200, answer.status)
        self.assertEqual(6, self.total_runs())

    def test_call_that_all_upstreams_shed_is_refused(self):
        self.set_faults(shed=99)
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(0, self.total_runs())

    def test_refusal_that_may_have_run_gets_bad_gateway(self):
        self.set_faults(busy_status=503)
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(502, answer.status)

    def test_address_that_another_upstream_has_now(self):
        self.fleet.tools[0].faults.wrong_instance = True
        for number in range(4):
            answer = self.fleet.call("POST", "/once/x", f"r{number}", b"x")
            self.assertEqual(200, answer.status)
        self.assertEqual(4, len(self.fleet.tools[1].runs))

    def test_answer_to_another_request_is_skipped(self):
        self.set_faults(stale_answer=1)
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertIn(answer.body, (b"answer of t0", b"answer of t1"))
        self.assertEqual(1, self.total_runs())


class TimeoutTest(case.FleetCase):
    """Calls that hang get a final answer, or end with their caller."""

    def test_hanging_call_times_out(self):
        self.fleet.tools[0].faults.hang = True
        answer = self.fleet.call(
            "POST", "/once/x", "r1", b"x", deadline_ms=300
        )
        self.assertEqual(504, answer.status)

    def test_leaving_caller_frees_the_upstream(self):
        self.fleet.tools[0].faults.hang = True
        caller = self.fleet.caller()
        caller.send("GET", "/safe/x", self.fleet.headers("r1"))
        self.fleet.run_loop_until(lambda: self.fleet.tools[0].runs)
        caller.close()
        self.fleet._callers.remove(caller)
        self.fleet.run_loop_until(lambda: self.fleet.tools[0].gone)


class BadInputTest(case.FleetCase):
    """Requests that can't be parsed."""

    def raw(self, data):
        """Send raw bytes; return the answer."""
        caller = self.fleet.caller()
        caller.send("GET", "/safe/x", self.fleet.headers("r"))
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        raw = self.fleet.caller()
        raw._http.send(
            fleet_module.caller_module.h11.Request(
                method="GET", target="/", headers=[("Host", "h")]
            )
        )
        raw.send_raw(data)
        self.fleet.run_loop_until(lambda: raw.answer.settled)
        return raw.answer

    def test_malformed_request(self):
        self.assertEqual(400, self.raw(b"hello\r\n\r\n").status)

    def test_oversized_headers(self):
        data = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 70000
        self.assertEqual(431, self.raw(data).status)

    def test_oversized_body(self):
        data = (
            b"POST /safe/x HTTP/1.1\r\nHost: h\r\n"
            b"Content-Length: 5000000\r\n\r\n" + b"x" * 1_200_000
        )
        self.assertEqual(413, self.raw(data).status)

    def test_two_content_lengths(self):
        data = (
            b"POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nxx"
        )
        self.assertEqual(400, self.raw(data).status)
        self.assertEqual(1, len(self.fleet.tools[0].runs))
