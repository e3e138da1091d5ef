"""A shutdown whose grace period ends while requests are open.

A process that exited at the end of its grace period left open requests
without an answer.  Each must get its final answer in time, and 503 only if it
has not run.
"""

from postspring import forwarding
from postspring.testing.fleet import case
from postspring.testing.fleet import engine_service
from postspring.testing.fleet import fleet as fleet_module

TURN = {"program_id": "p", "token_usage": "1,16", "token_budget": "100"}
GRACE_USED_SECONDS = 7.5
# Moments before the final answers at 7.4 s, with too little time for a call
# that has not run, and with enough.
LATE_ATTEMPT_SECONDS = 6.5
SOON_ENOUGH_SECONDS = 4.0
KEY = "key-of-acme"


class GraceEndCase(case.TurnedFleetCase):
    """A VM whose grace period ends."""

    def setUp(self):
        super().setUp()
        self.node = self.fleet.nodes[0]
        self.caller = self.fleet.caller()

    def send(self, target, body=b"x", **other):
        """Send a request that is a turn if its route has programs."""
        headers = self.fleet.headers("r", TURN | other)
        self.caller.send("POST", target, headers, body)

    def end_grace_period(self):
        """Let the grace period almost end; return the caller's answer."""
        self.node.shutdown.begin()
        self.node.shutdown._began_at -= GRACE_USED_SECONDS
        with self.assertLogs("postspring.calls", "INFO") as lines:
            self.fleet.run_loop_until(lambda: self.caller.answer.settled)
        self.lines = lines.records
        return self.caller.answer

    def assert_logged(self, route, reason, may_repeat):
        """Check that the call's line says what the stop has ended."""
        line = self.lines[-1]
        self.assertEqual(
            ("r", route, reason), (line.request, line.route, line.reason)
        )
        self.assertTrue(line.at_stop)
        self.assertIs(may_repeat, line.may_repeat)


class GraceEndTest(GraceEndCase):
    """Open requests get their final answers."""

    def test_call_that_may_have_run_gets_bad_gateway(self):
        tool = self.fleet.tools[0]
        tool.faults.hang = True
        self.send("/once/x")
        self.fleet.run_loop_until(lambda: tool.runs)
        answer = self.end_grace_period()
        self.assertEqual((502, True), (answer.status, answer.complete))
        self.assert_logged("once", "unknown_outcome", may_repeat=False)
        self.fleet.run_loop_until(lambda: tool.gone)
        self.fleet.run_loop_until(lambda: self.fleet.stopped)

    def test_call_that_has_not_run_is_refused_and_never_runs(self):
        self.fleet.store.silent = True
        self.send("/stream/x")
        self.fleet.run_loop_until(lambda: self.node.callers.active)
        answer = self.end_grace_period()
        self.assertEqual((503, True), (answer.status, answer.complete))
        self.assertIn("retry-after", answer.headers)
        self.assert_logged("stream", "shutting_down", may_repeat=False)
        self.fleet.store.silent = False
        self.fleet.run_loop_until(lambda: self.fleet.stopped)
        self.fleet.turn_for(0.3)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_started_stream_does_not_look_complete(self):
        engine = self.fleet.engines[0]
        engine.faults.stop_between = 1
        self.send("/plain-stream/x")
        self.fleet.run_loop_until(lambda: self.caller.answer.body)
        answer = self.end_grace_period()
        self.assertFalse(answer.complete)
        self.assert_logged("plain-stream", "shutting_down", may_repeat=False)
        self.fleet.run_loop_until(lambda: engine.gone)

    def test_call_that_may_be_repeated_is_logged_as_such(self):
        tool = self.fleet.tools[0]
        tool.faults.hang = True
        self.send("/safe/x")
        self.fleet.run_loop_until(lambda: tool.runs)
        self.end_grace_period()
        self.assert_logged("safe", "unknown_outcome", may_repeat=True)

    def test_turn_that_waits_for_its_record_is_not_complete(self):
        self.fleet.engines[0].event_seconds = 0.1
        self.send("/stream/x")
        self.fleet.run_loop_until(lambda: self.caller.answer.body)
        self.fleet.store.silent = True
        self.fleet.run_loop_until(
            lambda: case.EVENTS == self.caller.answer.body
        )
        # The stream's end may arrive after its last event.
        journal = self.fleet.nodes[0].journal
        self.fleet.run_loop_until(lambda: journal.unrecorded)
        answer = self.end_grace_period()
        self.assertFalse(answer.complete)
        line = self.lines[-1]
        self.assertEqual("broken_off", line.getMessage())
        self.assertEqual("unrecorded", line.reason)


class CopiedTurnTest(case.FleetCase):
    """Other VMs hold copies of a turn that waits for the log."""

    vms = 3

    def test_turn_with_copies_on_other_vms_is_complete(self):
        node = self.fleet.nodes[0]
        self.fleet.run_loop_until(lambda: len(node.members.others) == 2)
        caller = self.fleet.caller()
        headers = self.fleet.headers("r", TURN)
        self.fleet.engines[0].event_seconds = 0.1
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: caller.answer.body)
        self.fleet.store.silent = True
        self.fleet.run_loop_until(
            lambda: any(other.journal.held for other in self.fleet.nodes[1:])
        )
        self.assertFalse(caller.answer.settled)
        node.shutdown.begin()
        node.shutdown._began_at -= GRACE_USED_SECONDS
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.complete)


class PendingLimiter(forwarding.Limiter):
    """Decides on calls when the test says so."""

    def __init__(self):
        self.waiting = []
        self.released = 0

    def request_permit(self, workspace, use, on_done):
        """Keep the caller's callback."""
        self.waiting.append(on_done)

    def release(self):
        """Count a permit that was returned."""
        self.released += 1

    def grant_all(self):
        """Grant all permits that were requested."""
        while self.waiting:
            verdict = forwarding.Verdict(True, release_permit=self.release)
            self.waiting.pop()(verdict)


class PermitCase(GraceEndCase):
    """A call waits for the permit of its workspace's limit."""

    def wait_for_permit(self):
        """Send a call that has no permit yet."""
        configuration = fleet_module.default_configuration(2)
        configuration["tenants"] = [
            {"name": "acme", "api_keys": [KEY], "rate_per_s": 5, "burst": 5}
        ]
        self.fleet.configure(configuration)
        self.fleet.run_loop_until(lambda: self.node.configuration.version == 2)
        self.limiter = PendingLimiter()
        self.node.forwarder._limiter = self.limiter
        self.send("/once/x", credential=KEY)
        self.fleet.run_loop_until(lambda: self.limiter.waiting)


class PermitTest(PermitCase):
    """The grace ends before the permit is granted.

    The call got 502, which is for calls that may have run, and ran once the
    permit was granted.
    """

    def test_call_that_waits_for_a_permit_is_refused_and_never_runs(self):
        self.wait_for_permit()
        answer = self.end_grace_period()
        self.assertEqual((503, True), (answer.status, answer.complete))
        self.assert_logged("once", "shutting_down", may_repeat=False)
        self.limiter.grant_all()
        self.fleet.turn_for(0.3)
        self.assertEqual([], self.fleet.tools[0].runs)
        self.assertEqual(1, self.limiter.released)


class SheddingFaults(engine_service.EngineFaults):
    """Refuses all requests as not run, and tells the test first."""

    on_shed = None

    def take(self, name):
        """Shed every request."""
        if name == "shed":
            SheddingFaults.on_shed()
        return name == "shed"


class LateAttemptTest(PermitCase):
    """Calls that have not run shortly before the end of the grace.

    They were sent to an upstream and broken off a moment later, with an
    answer that leaves open whether they ran.
    """

    tools = 2

    @property
    def runs(self):
        """All requests that ran at the tools."""
        return [run for tool in self.fleet.tools for run in tool.runs]

    def near_end(self):
        """Let time pass until little is left before the final answers."""
        self.node.shutdown._began_at = (
            self.node.timers.now() - LATE_ATTEMPT_SECONDS
        )

    def test_permit_that_is_granted_late(self):
        self.wait_for_permit()
        for tool in self.fleet.tools:
            tool.faults.hang = True
        self.node.shutdown.begin()
        self.near_end()
        self.limiter.grant_all()
        self.fleet.run_loop_until(lambda: self.caller.answer.settled)
        answer = self.caller.answer
        self.assertEqual((503, True), (answer.status, answer.complete))
        self.assertEqual([], self.runs)
        self.assertEqual(1, self.limiter.released)

    def test_call_that_an_upstream_shed_late(self):
        SheddingFaults.on_shed = self.near_end
        for tool in self.fleet.tools:
            tool.faults = SheddingFaults()
        self.node.shutdown.begin()
        self.send("/once/x")
        self.fleet.run_loop_until(lambda: self.caller.answer.settled)
        answer = self.caller.answer
        self.assertEqual((503, True), (answer.status, answer.complete))
        self.assertEqual(1, sum(tool.arrivals for tool in self.fleet.tools))

    def test_call_is_sent_while_there_is_time(self):
        self.wait_for_permit()
        self.node.shutdown.begin()
        self.node.shutdown._began_at -= SOON_ENOUGH_SECONDS
        self.limiter.grant_all()
        self.fleet.run_loop_until(lambda: self.caller.answer.settled)
        self.assertEqual(200, self.caller.answer.status)
