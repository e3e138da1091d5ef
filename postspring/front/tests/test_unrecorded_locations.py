"""Another program continues a turn whose location is not recorded.

The store accepted appends to the partition of the turn's program but not to
that of its location, because one partition was unavailable for appends or the
rate was exceeded; reads worked.  Every VM dropped its copy of the turn once
the turn stood among its program's records, so no VM found it for another
program, and a turn that was answered completely led to a 404.
"""

from postspring.front.tests import test_missing_turns
from postspring.platform import names


class UnrecordedLocationTest(test_missing_turns.AbsenceCase):
    """Appends of locations are refused for some seconds; reads work."""

    def refuse_location_appends(self):
        """Refuse appends of locations with 503, without effect."""
        append = self.fleet.store._append

        def refuse(call, place):
            if place[0] == names.LOCATIONS_TOPIC:
                call.respond(503, [])
            else:
                append(call, place)

        self.fleet.store._append = refuse

    def test_turn_is_not_reported_as_missing(self):
        self.start_there()
        for number in range(2, 6):
            self.fleet.start_vm(f"here-{number}")
        nodes = self.fleet.nodes
        for node in nodes:
            self.fleet.run_loop_until(
                lambda node=node: len(test_missing_turns.others(node)) == 6
            )
        self.refuse_location_appends()
        answer = self.fleet.take_turn("a", vm=1, program_id="p0")
        self.assertTrue(answer.complete)
        # VMs look for copies in the log, and record them, after 2 to 3 s.
        self.fleet.turn_for(0.5)
        copy_holders = [node for node in nodes if node.journal.held]
        self.assertTrue(copy_holders)
        asked = [node not in copy_holders for node in nodes].index(True, 2)
        self.fleet.turn_for(4.5)
        answer = self.fleet.take_turn("b", vm=asked, previous_turn="a")
        self.assertNotEqual(404, answer.status)
