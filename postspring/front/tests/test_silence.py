"""Open connections fall silent for good, and new ones work."""

from postspring import keyedlog
from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module
from postspring.testing.fleet import silence

# Within this time a new configuration is in force, in seconds.
BOUND = 2.0


class SilenceCase(case.FleetCase):
    """Keeps several connections open everywhere before they fall silent."""

    def seconds_until_configured(self, node, version):
        """Return after how long a VM has a new configuration."""
        began = self.fleet.timers.now()
        configuration = fleet_module.default_configuration(version)
        self.fleet.configure(configuration)
        self.fleet.turn_until(lambda: node.configuration.version == version)
        return self.fleet.timers.now() - began

    def seconds(self, method, target, request, **headers):
        """Return the status of a call and how long it took."""
        began = self.fleet.timers.now()
        answer = self.fleet.call(method, target, request, **headers)
        return answer.status, self.fleet.timers.now() - began

    def send_at_once(self, count, method="GET", target="/safe/x", **headers):
        """Send some calls at once, each on a connection of its own."""
        callers = [self.fleet.caller() for _ in range(count)]
        for number, caller in enumerate(callers):
            fields = self.fleet.headers(f"at-once-{number}", headers)
            caller.send(method, target, fields, b"")
        self.fleet.turn_until(
            lambda: all(caller.answer.settled for caller in callers)
        )
        return [caller.answer for caller in callers]


class StoreTest(SilenceCase):
    """The only VM's connections to the store."""

    def take_turns(self, count, prefix):
        """Take turns of different programs at once."""
        callers = [self.fleet.caller() for _ in range(count)]
        for number, caller in enumerate(callers):
            fields = {
                "program_id": f"{prefix}{number}",
                "token_usage": "100,16",
                "token_budget": "1000",
            }
            headers = self.fleet.headers(f"{prefix}-{number}", fields)
            caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.turn_until(
            lambda: all(caller.answer.settled for caller in callers)
        )
        return [caller.answer.whole for caller in callers]

    def test_the_configuration_comes_within_its_bound(self):
        self.take_turns(8, "p")
        node = self.fleet.nodes[0]
        self.assertGreater(silence.silence(self.fleet.store._server), 3)
        for version in (5, 6, 7):
            seconds = self.seconds_until_configured(node, version)
            self.assertLess(seconds, BOUND, version)

    def test_turns_go_on(self):
        self.take_turns(8, "p")
        silence.silence(self.fleet.store._server)
        self.fleet.turn_for(1.5)
        self.take_turns(2, "q")
        self.fleet.turn_for(1.5)
        self.assertEqual([True] * 8, self.take_turns(8, "r"))


class UpstreamTest(SilenceCase):
    """Connections to a tool."""

    def test_one_call_finds_it_out_and_the_next_ones_go_on(self):
        self.send_at_once(6)
        tool = self.fleet.tools[0]
        self.assertGreater(silence.silence(tool._server), 3)
        self.fleet.call("GET", "/safe/x", "first", deadline_ms="600")
        for number in range(5):
            answer = self.fleet.call(
                "POST", "/once/x", f"n{number}", b"x", deadline_ms="600"
            )
            self.assertEqual(200, answer.status, number)


class OtherVmTest(SilenceCase):
    """Connections to the VM that helps."""

    vms = 2

    def lose_direct_way(self):
        """Cut a VM off from the store; return it, and its helper."""
        cut, helper = self.fleet.nodes
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: node.members.others)
        cut.store._address = ("127.0.0.1", 1)
        cut._peer_http.discard(self.fleet.store.address)
        self.fleet.turn_for(3.0)
        return cut, helper

    def test_the_configuration_comes_within_its_bound(self):
        cut, helper = self.lose_direct_way()
        self.assertGreater(silence.silence(helper.peers), 0)
        for version in (5, 6, 7):
            seconds = self.seconds_until_configured(cut, version)
            self.assertLess(seconds, BOUND, version)

    def check_silence_at_a_read(self, subject):
        """The helper falls silent just when it is asked for a subject."""
        cut, helper = self.lose_direct_way()
        through = cut.log._through
        fallen = []

        def fall_silent_first(member):
            log = through(member)
            read = log.read

            def read_silently(place, *arguments):
                if place.subject is subject and not fallen:
                    fallen.append(silence.silence(helper.peers))
                read(place, *arguments)

            log.read = read_silently
            return log

        cut.log._through = fall_silent_first
        self.fleet.turn_until(lambda: fallen)
        seconds = self.seconds_until_configured(cut, 5)
        self.assertLess(seconds, BOUND)

    def test_it_does_so_if_the_helper_falls_silent_as_it_is_asked(self):
        # Found as a test that failed now and then, whatever the load: a VM
        # that was late was avoided for 1 s, and for one more when the call
        # to it ended at last; with one helper that came to 2.2 s.
        self.check_silence_at_a_read(keyedlog.Subject.CONFIGURATION)

    def test_another_call_that_hangs_does_not_keep_the_helper_away(self):
        # Found by the test above in one of two whole runs (2.5 s): a call
        # for another subject hung as well, ended later, and did the same.
        self.check_silence_at_a_read(keyedlog.Subject.UPSTREAMS)

    def test_nor_does_one_for_the_list_of_vms(self):
        self.check_silence_at_a_read(keyedlog.Subject.MEMBERS)
