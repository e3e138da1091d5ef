"""Placement of turns on engines."""

from postspring.testing.fleet import case


class PlacementTest(case.FleetCase):
    """Several engines, two VMs."""

    vms = 2
    engines = 4

    def engine_of(self, request):
        """Return the engine that ran a turn."""
        for engine in self.fleet.engines:
            for run in engine.runs:
                if run.body.endswith(f"<{request}>".encode()):
                    return engine.id
        return None

    def test_program_keeps_its_engine_across_vms(self):
        # 48% of turns arrived at another VM than the previous turn, and most
        # of these went to another engine.
        self.fleet.take_turn("t0")
        first = self.engine_of("t0")
        for number in range(1, 8):
            self.fleet.take_turn(
                f"t{number}",
                vm=number % 2,
                previous_turn=f"t{number - 1}",
            )
            self.assertEqual(first, self.engine_of(f"t{number}"))

    def test_program_keeps_its_engine_after_all_vms_are_replaced(self):
        self.fleet.take_turn("t0")
        for node in list(self.fleet.nodes):
            self.fleet.stop_vm(node)
        self.fleet.start_vm("new")
        for number in range(3):
            self.fleet.take_turn(f"u{number}", previous_turn="t0")
            self.assertEqual(
                self.engine_of("t0"), self.engine_of(f"u{number}")
            )

    def test_pace_of_an_engine_is_measured(self):
        for engine in self.fleet.engines:
            engine.events = 6
            engine.event_seconds = 0.01
        self.fleet.take_turn("t0")
        upstream = self.fleet.nodes[0].directory.by_id[self.engine_of("t0")]
        self.assertGreater(upstream.pace, 0.005)
