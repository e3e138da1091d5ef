"""Requests of each kind through a whole stop, at an entry VM with upstreams.

Requests that came late in the grace were passed on and cut at its end.
"""

from postspring.platform import names
from postspring.testing.fleet import case

STEP_SECONDS = 0.2
TURN = {"token_usage": "1,16", "token_budget": "100"}
TARGETS = {
    "safe": "/safe/x",
    "once": "/once/x",
    "plain stream": "/plain-stream/x",
    "turn": "/stream/x",
    "carried turn": "/carried-stream/x",
}
STREAMS = ("plain stream", "turn", "carried turn")
EVENTS = 10
EVENT_SECONDS = 0.15


class StopSweepTest(case.TurnedFleetCase):
    """Every request is answered, and a refused one has not run."""

    def setUp(self):
        super().setUp()
        self.node = self.fleet.nodes[0]
        self.engine = self.fleet.engines[0]
        self.engine.events = EVENTS
        self.engine.event_seconds = EVENT_SECONDS
        # Callers by request id; the id begins with the kind.
        self.caller_by_id = {}

    def stop(self, grace, is_hanging=False):
        """Stop with a request of each kind at each step."""
        self.fleet.tools[0].faults.hang = is_hanging
        kept = {kind: self.connected_callers(grace) for kind in TARGETS}
        self.fleet.turn_for(STEP_SECONDS)
        self.node.shutdown.grace = grace
        self.node.shutdown.begin()
        for step in range(int(grace / STEP_SECONDS)):
            for kind in TARGETS:
                self.send(kind, f"{kind} {step} kept", kept[kind].pop())
                caller = self.new_caller()
                if caller is not None:
                    self.send(kind, f"{kind} {step} new", caller)
            self.fleet.turn_for(STEP_SECONDS)
        self.fleet.run_loop_until(lambda: self.fleet.stopped)
        self.fleet.run_loop_until(
            lambda: all(
                caller.answer.settled for caller in self.caller_by_id.values()
            )
        )

    def connected_callers(self, grace):
        """Return callers with a connection for each step."""
        count = int(grace / STEP_SECONDS)
        return [self.fleet.caller() for _ in range(count)]

    def new_caller(self):
        """Return a new caller, or None if its connection is refused."""
        hub = self.node.callers.hub
        return self.fleet.caller() if hub._sock is not None else None

    def send(self, kind, request, caller):
        """Send a request, unless the connection has been closed."""
        caller.poll()
        if caller.answer.closed:
            return
        fields = TURN | {"program_id": request} if kind in STREAMS else {}
        headers = self.fleet.headers(request, fields)
        caller.send("POST", TARGETS[kind], headers, b"x")
        self.caller_by_id[request] = caller

    @property
    def ran(self):
        """Ids of the requests that ran at upstreams."""
        return {
            run.header(names.REQUEST_ID)
            for upstream in (self.engine, *self.fleet.tools)
            for run in upstream.runs
        }

    def with_status(self, *statuses):
        """Return the ids of requests with one of the statuses."""
        return {
            request
            for request, caller in self.caller_by_id.items()
            if caller.answer.status in statuses
        }

    @property
    def unanswered(self):
        """Ids of the requests without a complete answer."""
        return {
            request
            for request, caller in self.caller_by_id.items()
            if not caller.answer.complete
        }

    def test_requests_that_can_end_are_served(self):
        self.stop(8.0)
        self.assertEqual(set(), self.unanswered)
        self.assertEqual(set(), self.with_status(502, 504))
        self.assertEqual(self.with_status(200), self.ran)
        for kind in TARGETS:
            self.assertIn(f"{kind} 12 new", self.ran)

    def test_requests_that_cannot_end_in_a_short_grace(self):
        self.stop(2.0, is_hanging=True)
        # A stream that has begun can only be broken off.
        begun = {
            request
            for request in self.with_status(200)
            if request.startswith(STREAMS)
        }
        self.assertEqual(set(), self.unanswered - begun)
        self.assertEqual(set(), self.with_status(503) & self.ran)
        late = {f"{kind} {step} new" for kind in TARGETS for step in (4, 5, 6)}
        self.assertEqual(set(), late & self.ran)
