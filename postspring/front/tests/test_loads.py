"""VMs exchange the numbers of calls that they have in flight."""

from postspring.testing.fleet import case


class LoadsTest(case.FleetCase):
    """Three VMs, two of them in one data centre."""

    vms = 2
    engines = 2

    def setUp(self):
        super().setUp()
        self.fleet.start_vm("far", "z2")
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(
                lambda node=node: len(node.members.others) == 2
            )

    def calls_of_others(self, node):
        """Return how many calls of other VMs a VM counts."""
        now = node.timers.now()
        return sum(
            upstream.total_calls(now) - upstream.in_flight
            for upstream in node.directory.by_id.values()
        )

    def hold_turns(self, vm, count):
        """Start turns that hang at the engines."""
        for engine in self.fleet.engines:
            engine.faults.hang = True
        before = self.in_flight(vm)
        for number in range(count):
            caller = self.fleet.caller(vm)
            headers = self.fleet.headers(
                f"t{vm}-{number}-{count}",
                {"program_id": f"p{vm}-{number}-{count}"},
            )
            caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: self.in_flight(vm) == before + count)

    def in_flight(self, vm):
        """Return how many calls a VM has in flight at upstreams."""
        upstreams = self.fleet.nodes[vm].directory.by_id.values()
        return sum(upstream.in_flight for upstream in upstreams)

    def test_each_vm_counts_calls_of_all_others(self):
        self.hold_turns(0, 3)
        self.hold_turns(1, 1)
        self.hold_turns(2, 2)
        expected = [3, 5, 4]
        self.fleet.run_loop_until(
            lambda: (
                expected == [self.calls_of_others(n) for n in self.fleet.nodes]
            )
        )

    def test_counts_of_a_stopped_vm_expire(self):
        self.hold_turns(0, 3)
        self.hold_turns(1, 1)
        other = self.fleet.nodes[1]
        self.fleet.run_loop_until(lambda: self.calls_of_others(other) == 3)
        self.fleet.stop_vm(self.fleet.nodes[0])
        self.fleet.run_loop_until(lambda: self.calls_of_others(other) == 0)

    def test_idle_vm_sends_nothing(self):
        before = [
            node._peer_http.connections_opened for node in self.fleet.nodes
        ]
        self.fleet.turn_for(0.7)
        after = [
            node._peer_http.connections_opened for node in self.fleet.nodes
        ]
        self.assertEqual(before, after)

    def test_new_program_gets_the_engine_with_fewer_calls(self):
        # All calls of the far VM are at one engine: the other is suspended.
        first, second = self.fleet.engines
        directory = self.fleet.nodes[2].directory
        directory.by_id[second.id].suspend(self.fleet.timers.now(), 60.0)
        self.hold_turns(2, 6)
        self.fleet.run_loop_until(lambda: len(first.runs) == 6)
        self.hold_turns(1, 1)
        node = self.fleet.nodes[1]
        self.fleet.run_loop_until(lambda: self.calls_of_others(node) == 6)
        runs = len(first.runs) + len(second.runs)
        self.hold_turns(1, 2)
        self.fleet.run_loop_until(
            lambda: len(first.runs) + len(second.runs) == runs + 2
        )
        self.assertLessEqual(len(first.runs), 7)


class DeadEngineTest(case.FleetCase):
    """An engine crashes while its entry is still in the log."""

    vms = 3
    engines = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(
                lambda node=node: len(node.members.others) == 2
            )
        self.dead, self.healthy = self.fleet.engines
        for node in self.fleet.nodes:
            self.upstream(node, self.healthy).suspend(node.timers.now(), 0.5)

    @staticmethod
    def upstream(node, engine):
        """Return a VM's directory item of an engine."""
        return node.directory.by_id[engine.id]

    def fail_turn(self, vm):
        """Send a turn through a VM that fails at the dead engine."""
        answer = self.fleet.take_turn(
            f"lost-{vm}", vm=vm, program_id=f"p-{vm}"
        )
        self.assertEqual(502, answer.status)

    def test_third_vm_does_not_try_the_dead_engine(self):
        self.dead.faults.resets = True
        self.fail_turn(0)
        self.fail_turn(1)
        third = self.fleet.nodes[2]
        # A VM exchanges loads only while it has calls itself.
        self.fleet.call("GET", "/safe/x", "r1", vm=2)
        upstream = self.upstream(third, self.dead)
        self.fleet.run_loop_until(
            lambda: not upstream.accepts(third.timers.now())
        )
        arrivals = self.dead.arrivals
        self.fleet.turn_for(0.5)
        answer = self.fleet.take_turn("t", vm=2, program_id="p-2")
        self.assertEqual(200, answer.status)
        self.assertEqual(arrivals, self.dead.arrivals)

    def test_engine_that_answers_another_vm_is_used_again(self):
        self.dead.events, self.dead.event_seconds = 60, 0.02
        caller = self.fleet.caller(2)
        fields = {"program_id": "p-2", "token_usage": "100,400"}
        headers = self.fleet.headers("t", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: self.dead.runs)
        self.dead.faults.resets = True
        self.fail_turn(0)
        self.fail_turn(1)
        first = self.fleet.nodes[0]
        upstream = self.upstream(first, self.dead)
        self.fleet.run_loop_until(lambda: upstream.suspected_at > 0)
        self.fleet.run_loop_until(lambda: upstream.suspected_at < 0)
