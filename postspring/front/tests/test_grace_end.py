"""A shutdown whose grace period ends while requests are open.

A process that exited at the end of its grace period left open requests
without an answer.  Each must get its final answer in time, and 503 only if it
has not run.
"""

from postspring import forwarding
from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module

TURN = {"program_id": "p", "token_usage": "1,16", "token_budget": "100"}
GRACE_USED_SECONDS = 7.5
KEY = "key-of-acme"


class GraceEndCase(case.FleetCase):
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


class GraceEndTest(GraceEndCase):
    """Open requests get their final answers."""

    def test_call_that_may_have_run_gets_bad_gateway(self):
        tool = self.fleet.tools[0]
        tool.faults.hang = True
        self.send("/once/x")
        self.fleet.run_loop_until(lambda: tool.runs)
        answer = self.end_grace_period()
        self.assertEqual((502, True), (answer.status, answer.complete))
        self.fleet.run_loop_until(lambda: tool.gone)
        self.fleet.run_loop_until(lambda: self.fleet.stopped)

    def test_call_that_has_not_run_is_refused_and_never_runs(self):
        self.fleet.store.silent = True
        self.send("/stream/x")
        self.fleet.run_loop_until(lambda: self.node.callers.active)
        answer = self.end_grace_period()
        self.assertEqual((503, True), (answer.status, answer.complete))
        self.assertIn("retry-after", answer.headers)
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
        self.fleet.run_loop_until(lambda: engine.gone)

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


class PermitTest(GraceEndCase):
    """A call waits for the permit of its workspace's limit.

    It got 502, which is for calls that may have run, and ran once the permit
    was granted.
    """

    def test_call_that_waits_for_a_permit_is_refused_and_never_runs(self):
        configuration = fleet_module.default_configuration(2)
        configuration["tenants"] = [
            {"name": "acme", "api_keys": [KEY], "rate_per_s": 5, "burst": 5}
        ]
        self.fleet.configure(configuration)
        self.fleet.run_loop_until(lambda: self.node.configuration.version == 2)
        limiter = PendingLimiter()
        self.node.forwarder._limiter = limiter
        self.send("/once/x", credential=KEY)
        self.fleet.run_loop_until(lambda: limiter.waiting)
        answer = self.end_grace_period()
        self.assertEqual((503, True), (answer.status, answer.complete))
        self.assertEqual("shutting_down", self.lines[-1].reason)
        limiter.grant_all()
        self.fleet.turn_for(0.3)
        self.assertEqual([], self.fleet.tools[0].runs)
        self.assertEqual(1, limiter.released)
