"""A VM is cut off from the store and from all other data centres."""

import dataclasses

from postspring.testing.fleet import case

# Nothing listens here.
NOWHERE = ("127.0.0.1", 1)


class IsolationTest(case.FleetCase):
    """Two data centres, one VM each; the first is cut off.

    Found on the days with a zone cut: callers went on coming to the VMs of
    the cut-off data centre, which refused them until they gave up, while
    all others could have served them.
    """

    def setUp(self):
        super().setUp()
        self.far = self.fleet.start_vm("far", data_center="z2")
        self.near = self.fleet.nodes[0]
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: node.members.others)

    def cut_off(self):
        """Cut the first VM off, and wait until it has noticed."""
        self.near.store._address = NOWHERE
        member = self.near.members.by_name["far"]
        self.near.members.by_name["far"] = dataclasses.replace(
            member, peers=NOWHERE
        )
        self.fleet.turn_until(lambda: self.near.isolation.is_isolated)

    def test_it_is_not_ready(self):
        self.assertTrue(self.near.is_ready)
        self.cut_off()
        self.assertFalse(self.near.is_ready)
        self.assertTrue(self.far.is_ready)

    def test_callers_are_sent_away_on_a_new_connection(self):
        self.cut_off()
        answer = self.fleet.take_turn("a")
        self.assertEqual(503, answer.status)
        self.assertEqual("close", answer.headers["connection"])
        self.assertIn("retry-after", answer.headers)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_a_program_goes_on_elsewhere(self):
        self.assertTrue(self.fleet.take_turn("a").whole)
        self.cut_off()
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(503, answer.status)
        answer = self.fleet.take_turn("b2", vm=1, previous_turn="a")
        self.assertTrue(answer.whole)

    def test_plain_calls_go_on(self):
        self.cut_off()
        answer = self.fleet.call("GET", "/safe/x", "r1")
        self.assertEqual(200, answer.status)

    def test_who_has_no_other_way_is_served(self):
        self.cut_off()
        isolation = self.near.isolation
        self.fleet.turn_until(lambda: not isolation.sends_away)
        self.assertFalse(self.near.is_ready)
        self.fleet.take_turn("a")
        reasons = {reason for reason, ran in self.near.metrics.refusal_counts}
        self.assertNotIn("cut_off", reasons)

    def test_it_catches_up_with_those_that_were_cut_off(self):
        usual = self.near._catch_up_rate()
        self.cut_off()
        self.near.store._address = self.fleet.store.address
        self.fleet.turn_until(lambda: not self.near.isolation.is_isolated)
        self.assertEqual(2, self.near.members.sharers)
        self.assertEqual(2 * usual, self.near._catch_up_rate())

    def test_it_is_ready_again(self):
        self.cut_off()
        self.near.store._address = self.fleet.store.address
        self.fleet.turn_until(lambda: self.near.is_ready)


class StoreAwayTest(case.FleetCase):
    """The store is away for all VMs: nobody is cut off."""

    def test_vms_stay_ready(self):
        far = self.fleet.start_vm("far", data_center="z2")
        near = self.fleet.nodes[0]
        self.fleet.turn_until(lambda: near.members.others)
        self.fleet.store.refuse = 503
        self.fleet.turn_until(lambda: not near.log.is_direct)
        self.fleet.turn_for(1.5)
        self.assertTrue(near.is_ready)
        self.assertTrue(far.is_ready)


class SilentVmTest(case.FleetCase):
    """A VM that does not answer."""

    def test_it_is_not_asked_for_each_turn(self):
        # Found on tallgrass-ops-grown scale-2: each turn in a cut opened a
        # connection to every VM behind it, 64 of them.
        far = self.fleet.start_vm("far", data_center="z2")
        near = self.fleet.nodes[0]
        self.fleet.turn_until(lambda: near.members.others)
        self.fleet.stop_vm(far)
        self.fleet.take_turn("a", previous_turn="x")
        opened = near._peer_http.connections_opened
        for number in range(5):
            self.fleet.take_turn(f"b{number}", previous_turn="x")
        self.assertEqual(opened, near._peer_http.connections_opened)
