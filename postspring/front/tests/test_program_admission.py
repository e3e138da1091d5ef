"""A program that can't end in time is refused before anything of it runs."""

from postspring.platform import names
from postspring.testing.fleet import case

# Far above the calls that the engine runs at once.
HELD_CALLS = 28


class ProgramAdmissionCase(case.FleetCase):
    """VMs with admission control in front of one engine that can be filled."""

    vms = 0

    def setUp(self):
        super().setUp()
        for number in range(2):
            self.fleet.start_vm(f"vm{number}", admission="deadline")
        self.fleet.run_loop_until(
            lambda: all(len(n.members.others) == 1 for n in self.fleet.nodes)
        )
        self.engine = self.fleet.engines[0]

    def fill(self, vm=0):
        """Let one VM have many calls in flight, and know their duration."""
        self.engine.faults.hang = True
        arrivals = self.engine.arrivals
        for number in range(HELD_CALLS):
            headers = self.fleet.headers(
                f"held{number}",
                {"program_id": f"held{number}", "token_usage": "100,16"},
            )
            caller = self.fleet.caller(vm)
            caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.run_loop_until(
            lambda: self.engine.arrivals == arrivals + HELD_CALLS
        )
        upstream = self.upstream(vm)
        self.assertEqual(HELD_CALLS, upstream.in_flight)
        upstream.stream_seconds = 0.3

    def upstream(self, vm):
        """Return a VM's directory item of the engine."""
        return self.fleet.nodes[vm].directory.by_id[self.engine.id]

    def start_turn(self, request, vm=0, route="stream", **headers):
        """Send a turn of a program that has 0.6 s left."""
        fields = {
            "token_usage": "100,16",
            "token_budget": "1000",
            "program_deadline_ms": "600",
        } | headers
        caller = self.fleet.caller(vm)
        caller.send(
            "POST",
            f"/{route}/x",
            self.fleet.headers(request, fields),
            request.encode(),
        )
        return caller

    def runs_of(self, request):
        """Return how often the engine ran a turn."""
        return sum(
            run.body.endswith(request.encode()) for run in self.engine.runs
        )

    def appends(self):
        """Return the number of appends, except of the VMs' own entries.

        These are renewed every few seconds.
        """
        return sum(
            call.startswith(names.LOG_APPEND_PATH)
            and not call.endswith(f" {names.MEMBERS_TOPIC}")
            for call in self.fleet.store.calls
        )


class RefusedProgramTest(ProgramAdmissionCase):
    """Guards against work for programs that end too late anyway."""

    def refuse(self):
        """Return the answer to a first turn while the engine is full."""
        caller = self.start_turn("new", program_id="new")
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        return caller.answer

    def test_first_turn_is_refused_with_retry_after(self):
        self.fill()
        answer = self.refuse()
        self.assertEqual(503, answer.status)
        retry_after = float(answer.headers[names.RETRY_AFTER.lower()])
        self.assertGreater(retry_after, 0.0)
        # Callers ignore a longer one than a third of their deadline of 4 s.
        self.assertLess(retry_after, 4.0 / 3)
        counts = self.fleet.nodes[0].metrics.refusal_counts
        self.assertEqual(1, counts["program_not_admitted", "no"])

    def test_refused_turn_did_not_run(self):
        self.fill()
        arrivals, appends = self.engine.arrivals, self.appends()
        self.refuse()
        self.fleet.turn_for(0.3)
        self.assertEqual(arrivals, self.engine.arrivals)
        self.assertEqual(appends, self.appends())
        self.assertEqual(0, self.runs_of("new"))

    def test_log_line_has_the_figures_that_decided(self):
        self.fill()
        with self.assertLogs("postspring.calls", "INFO") as logs:
            self.refuse()
        line = logs.records[-1]
        self.assertEqual("program_not_admitted", line.reason)
        self.assertEqual(HELD_CALLS, line.calls_in_flight)
        self.assertEqual(self.upstream(0).concurrency, line.slots)
        self.assertGreater(line.forecast_wait, 0.3)
        self.assertGreater(line.forecast_duration, line.time_left)

    def test_first_turn_is_admitted_once_the_engine_has_room(self):
        self.fill()
        self.assertEqual(503, self.refuse().status)
        self.engine.faults.hang = False
        self.upstream(0).in_flight = 0
        caller = self.start_turn("again", program_id="new")
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertEqual(200, caller.answer.status)


class ProgramUnderWayTest(ProgramAdmissionCase):
    """Guards against refusing programs that have done part of their work."""

    def assert_runs(self, request, vm=0, **fields):
        """Assert that a turn reaches an engine that is full for others."""
        other = self.start_turn("other", vm, program_id="other")
        self.fleet.run_loop_until(lambda: other.answer.settled)
        self.assertEqual(503, other.answer.status)
        self.start_turn(request, vm, **fields)
        self.fleet.run_loop_until(lambda: self.runs_of(request))

    def test_later_turn_is_admitted(self):
        self.fleet.take_turn("first", program_id="old")
        self.fill()
        self.assert_runs("later", program_id="old", previous_turn="first")

    def test_later_turn_without_a_previous_one_is_admitted_elsewhere(self):
        # The caller carries the conversation; only the log tells the VM that
        # the program is under way.
        route = "carried-stream"
        self.fleet.take_turn("first", vm=0, route=route, program_id="old")
        self.fleet.run_loop_until(
            lambda: not self.fleet.nodes[0].journal.unrecorded
        )
        self.fill(vm=1)
        self.assert_runs("later", vm=1, route=route, program_id="old")

    def test_first_turn_elsewhere_is_refused(self):
        # The other VM learns the calls in flight from the exchanged loads.
        self.fill(vm=0)
        self.fleet.call("GET", "/safe/x", "r", vm=1)
        other = self.upstream(1)
        other.stream_seconds = 0.3
        now = self.fleet.nodes[1].timers.now
        self.fleet.run_loop_until(
            lambda: other.total_calls(now()) == HELD_CALLS
        )
        caller = self.start_turn("new", vm=1, program_id="new")
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertEqual(503, caller.answer.status)

    def test_first_turn_is_admitted_when_loads_are_outdated(self):
        self.fill(vm=0)
        self.fleet.call("GET", "/safe/x", "r", vm=1)
        other = self.upstream(1)
        other.stream_seconds = 0.3
        now = self.fleet.nodes[1].timers.now
        self.fleet.run_loop_until(
            lambda: other.total_calls(now()) == HELD_CALLS
        )
        # The other VM is gone, and with it its reports.
        self.fleet.stop_vm(self.fleet.nodes[0])
        self.fleet.run_loop_until(lambda: other.total_calls(now()) == 0)
        node = self.fleet.nodes[0]
        self.assertEqual("vm1", node.vm.vm)
        self.start_turn("new", vm=0, program_id="new")
        self.fleet.run_loop_until(lambda: self.runs_of("new"))
