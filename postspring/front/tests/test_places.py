"""A turn that another program continues, and whose place is not recorded.

Found by reading, shown here by a 404 for a turn that was answered whole: the
store took appends to the partition of the turn's program, not to that of its
place (one partition down for appends, or calls beyond the rate); reads
worked.  Every VM stopped keeping the turn when it stood among its program's
records, so nobody found it under another program.
"""

from postspring.front.tests import test_absence
from postspring.platform import names


class UnrecordedPlaceTest(test_absence.AbsenceCase):
    """Appends of places are refused for some seconds; reads are answered."""

    def refuse_places(self):
        """Refuse appends of places with 503: nothing was done."""
        append = self.fleet.store._append

        def refuse(call, place):
            if place[0] == names.LOCATIONS_TOPIC:
                call.respond(503, [])
            else:
                append(call, place)

        self.fleet.store._append = refuse

    def test_it_is_not_said_to_be_none(self):
        self.start_there()
        for number in range(2, 6):
            self.fleet.start_vm(f"here-{number}")
        nodes = self.fleet.nodes
        for node in nodes:
            self.fleet.turn_until(
                lambda node=node: len(test_absence.others(node)) == 6
            )
        self.refuse_places()
        answer = self.fleet.take_turn("a", vm=1, program_id="p0")
        self.assertTrue(answer.whole)
        # Copies are looked for in the log after 2 to 3 s, and recorded.
        self.fleet.turn_for(0.5)
        keepers = [node for node in nodes if node.journal.held]
        self.assertTrue(keepers)
        asked = [node not in keepers for node in nodes].index(True, 2)
        self.fleet.turn_for(4.5)
        answer = self.fleet.take_turn("b", vm=asked, previous_turn="a")
        self.assertNotEqual(404, answer.status)
