"""VMs tell each other what they have in flight."""

from postspring.testing.fleet import case


class LoadsTest(case.FleetCase):
    """Three VMs, two of them in one data centre."""

    vms = 2
    engines = 2

    def setUp(self):
        super().setUp()
        self.fleet.start_vm("far", "z2")
        for node in self.fleet.nodes:
            self.fleet.turn_until(
                lambda node=node: len(node.members.others) == 2
            )

    def others_of(self, node):
        """Return what a VM knows of the others' calls."""
        now = node.timers.now()
        return sum(
            upstream.calls_of_all(now) - upstream.in_flight
            for upstream in node.directory.by_id.values()
        )

    def hold_turns(self, vm, count):
        """Let turns hang at the engines."""
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
        self.fleet.turn_until(lambda: self.in_flight(vm) == before + count)

    def in_flight(self, vm):
        """Return the calls that a VM has at upstreams."""
        upstreams = self.fleet.nodes[vm].directory.by_id.values()
        return sum(upstream.in_flight for upstream in upstreams)

    def test_all_others_calls_are_known(self):
        self.hold_turns(0, 3)
        self.hold_turns(1, 1)
        self.hold_turns(2, 2)
        expected = [3, 5, 4]
        self.fleet.turn_until(
            lambda: expected == [self.others_of(n) for n in self.fleet.nodes]
        )

    def test_they_are_forgotten_when_nobody_tells(self):
        self.hold_turns(0, 3)
        self.hold_turns(1, 1)
        other = self.fleet.nodes[1]
        self.fleet.turn_until(lambda: self.others_of(other) == 3)
        self.fleet.stop_vm(self.fleet.nodes[0])
        self.fleet.turn_until(lambda: self.others_of(other) == 0)

    def test_an_idle_vm_says_nothing(self):
        before = [
            node._peer_http.connections_opened for node in self.fleet.nodes
        ]
        self.fleet.turn_for(0.7)
        after = [
            node._peer_http.connections_opened for node in self.fleet.nodes
        ]
        self.assertEqual(before, after)

    def test_a_new_line_goes_where_others_have_less(self):
        # All of the far VM's calls are at one engine, as it knows no other.
        first, second = self.fleet.engines
        directory = self.fleet.nodes[2].directory
        directory.by_id[second.id].suspend(self.fleet.timers.now(), 60.0)
        self.hold_turns(2, 6)
        self.fleet.turn_until(lambda: len(first.runs) == 6)
        self.hold_turns(1, 1)
        node = self.fleet.nodes[1]
        self.fleet.turn_until(lambda: self.others_of(node) == 6)
        runs = len(first.runs) + len(second.runs)
        self.hold_turns(1, 2)
        self.fleet.turn_until(
            lambda: len(first.runs) + len(second.runs) == runs + 2
        )
        self.assertLessEqual(len(first.runs), 7)


class DeadEngineTest(case.FleetCase):
    """An engine crashes while its entry still stands."""

    vms = 3
    engines = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(
                lambda node=node: len(node.members.others) == 2
            )
        self.dead, self.sound = self.fleet.engines
        for node in self.fleet.nodes:
            self.upstream(node, self.sound).suspend(node.timers.now(), 0.5)

    @staticmethod
    def upstream(node, engine):
        """Return what a VM knows of an engine."""
        return node.directory.by_id[engine.id]

    def lose_turn(self, vm):
        """Let a VM lose a turn at the dead engine."""
        answer = self.fleet.take_turn(
            f"lost-{vm}", vm=vm, program_id=f"p-{vm}"
        )
        self.assertEqual(502, answer.status)

    def test_the_third_vm_does_not_try_it(self):
        self.dead.faults.resets = True
        self.lose_turn(0)
        self.lose_turn(1)
        third = self.fleet.nodes[2]
        # A VM hears of others while it has calls of its own.
        self.fleet.call("GET", "/safe/x", "r1", vm=2)
        upstream = self.upstream(third, self.dead)
        self.fleet.turn_until(lambda: not upstream.accepts(third.timers.now()))
        arrivals = self.dead.arrivals
        self.fleet.turn_for(0.5)
        answer = self.fleet.take_turn("t", vm=2, program_id="p-2")
        self.assertEqual(200, answer.status)
        self.assertEqual(arrivals, self.dead.arrivals)

    def test_one_that_answers_somebody_is_trusted_again(self):
        self.dead.events, self.dead.event_seconds = 60, 0.02
        caller = self.fleet.caller(2)
        fields = {"program_id": "p-2", "token_usage": "100,400"}
        headers = self.fleet.headers("t", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.turn_until(lambda: self.dead.runs)
        self.dead.faults.resets = True
        self.lose_turn(0)
        self.lose_turn(1)
        first = self.fleet.nodes[0]
        upstream = self.upstream(first, self.dead)
        self.fleet.turn_until(lambda: upstream.suspected_at > 0)
        self.fleet.turn_until(lambda: upstream.suspected_at < 0)
