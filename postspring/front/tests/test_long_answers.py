"""Answers and events that a VM has no memory to collect.

A VM read them until its memory was used up, for as long as they went on.
"""

from unittest import mock

from postspring import histories
from postspring.testing.fleet import case
from postspring.testing.fleet import engine_service

# Of the memory for callers, one answer may take a quarter.
CALLER_BYTES = 800_000
MAX_BYTES = 200_000
# More than a call without an answer is counted with.
EVENT_BYTES = 60_000


def held_bytes(node):
    """Return the bytes of answers that a VM is collecting."""
    return node.forwarder._context.answers.held


class LongAnswerCase(case.FleetCase):
    """A VM with memory for answers shorter than the long ones."""

    def setUp(self):
        super().setUp()
        self.assertGreater(engine_service.LONG_BYTES, MAX_BYTES)
        (self.node,) = self.fleet.nodes
        self.node.callers.limits.caller_bytes = CALLER_BYTES

    @property
    def held(self):
        """Bytes of answers that the VM is collecting."""
        return held_bytes(self.node)

    def failures(self, upstream):
        """Return how many calls failed at an upstream in a row."""
        return self.node.directory.by_id[upstream.id].failures


class LongAnswerTest(LongAnswerCase):
    """A plain service whose answer is too long."""

    def setUp(self):
        super().setUp()
        (self.tool,) = self.fleet.tools

    # Guards against an answer that is passed on or refused as not run.
    def test_call_that_runs_once_fails_as_possibly_run(self):
        for unframed in (0, 1):
            with self.subTest(unframed=unframed):
                self.tool.runs.clear()
                self.tool.faults.long = 1
                self.tool.faults.unframed = unframed
                answer = self.fleet.call(
                    "POST", "/once/x", f"r{unframed}", b"x"
                )
                self.assertEqual(502, answer.status)
                self.assertEqual(1, len(self.tool.runs))
                self.assertEqual(0, self.held)

    # Guards against a failure that ends calls that may be repeated.
    def test_repeatable_call_is_retried(self):
        self.tool.faults.long = 1
        answer = self.fleet.call("GET", "/safe/x", "r1")
        self.assertEqual(200, answer.status)
        self.assertEqual(2, len(self.tool.runs))

    # Guards against attempts without a bound, and calls for such an upstream.
    def test_attempts_end_and_count_as_failures(self):
        self.tool.faults.long = 2
        answer = self.fleet.call("GET", "/safe/x", "r1")
        self.assertEqual(502, answer.status)
        self.assertEqual(2, self.failures(self.tool))

    # Guards against a limit for answers that fit.
    def test_answer_within_the_limit_is_passed_on(self):
        self.node.callers.limits.caller_bytes = 8 * CALLER_BYTES
        self.tool.faults.long = 1
        answer = self.fleet.call("GET", "/safe/x", "r1")
        self.assertEqual(200, answer.status)
        self.assertEqual(engine_service.LONG_BYTES, len(answer.body))
        self.assertEqual(0, self.held)


class LongEventTest(LongAnswerCase):
    """An engine whose stream goes on with an event that is too long."""

    def setUp(self):
        super().setUp()
        (self.engine,) = self.fleet.engines
        self.engine.faults.long_event = 1

    # Guards against a stream that is read until its caller's deadline.
    def test_turn_is_broken_off_and_not_recorded(self):
        answer = self.fleet.take_turn("a")
        self.assertFalse(answer.complete)
        self.assertEqual(1, self.failures(self.engine))
        self.assertEqual(0, self.held)
        next_turn = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(404, next_turn.status)

    # Guards against a resumable stream that ends there.
    def test_resumable_stream_goes_on(self):
        answer = self.fleet.take_turn("a", route="resumed-stream")
        self.assertTrue(answer.complete)
        self.assertEqual(2, len(self.engine.runs))


class OpenTurnTest(LongAnswerCase):
    """A turn whose events are kept until its record is written."""

    # Guards against turns whose answers take memory that is not counted.
    def test_answer_of_a_turn_is_counted_while_it_is_open(self):
        (engine,) = self.fleet.engines
        engine.faults.stop_between = 1
        event = b"id: 1\ndata: " + b"x" * EVENT_BYTES + b"\n\n"
        memory = self.node.callers.caller_memory
        caller = self.fleet.caller()
        fields = {"program_id": "p1", "token_usage": "100,16"}
        with mock.patch.object(
            engine, "_event", autospec=True, return_value=event
        ):
            caller.send(
                "POST",
                "/stream/x",
                self.fleet.headers("a", fields | {"token_budget": "1000"}),
                b"x",
            )
            self.fleet.run_loop_until(lambda: memory.held > EVENT_BYTES)
        caller.close()
        self.fleet.run_loop_until(lambda: memory.held < EVENT_BYTES)


class LongHistoryTest(LongAnswerCase):
    """Turns whose requests contain a long history."""

    # Guards against requests of open turns whose histories aren't counted.
    def test_history_is_counted_while_a_turn_is_open(self):
        (engine,) = self.fleet.engines
        input_bytes = b"x" * (CALLER_BYTES // 8)
        previous = {}
        for request in "abc":
            answer = self.fleet.take_turn(request, 0, input_bytes, **previous)
            self.assertTrue(answer.complete)
            previous = {"previous_turn": request}
        engine.faults.stop_between = 1
        memory = self.node.callers.caller_memory
        fields = {"program_id": "p1", "token_usage": "100,16"}
        fields |= previous | {"token_budget": "1000"}
        caller = self.fleet.caller()
        caller.send("POST", "/stream/x", self.fleet.headers("d", fields), b"x")
        runs = len(engine.runs)
        self.fleet.run_loop_until(lambda: len(engine.runs) > runs)
        self.assertGreater(memory.held, 3 * len(input_bytes))
        caller.close()
        self.fleet.run_loop_until(lambda: memory.held < len(input_bytes))

    # Guards against a turn that is run without memory for its request.
    def test_turn_is_refused_as_not_run_without_memory(self):
        (engine,) = self.fleet.engines
        input_bytes = b"x" * (CALLER_BYTES // 8)
        self.assertTrue(self.fleet.take_turn("a", 0, input_bytes).complete)
        memory = self.node.callers.caller_memory
        others = memory.hold()
        others.set(CALLER_BYTES - len(input_bytes))
        runs = len(engine.runs)
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(503, answer.status)
        self.assertEqual(runs, len(engine.runs))
        others.set(0)
        answer = self.fleet.take_turn("c", previous_turn="a")
        self.assertTrue(answer.complete)


class RelayedTurnTest(case.FleetCase):
    """A turn that another VM runs, as it holds the history."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(lambda node=node: node.members.others)
            node.callers.limits.caller_bytes = CALLER_BYTES
        claim = histories.Claim("author", 16, 1000)
        turn = histories.CompletedTurn(
            "p1", "a", claim, None, 4, b"<a>", b"w\n"
        )
        record = histories.encode_record(turn)
        self.fleet.nodes[0].journal.store_replica(record)
        self.fleet.store.refuse = 503

    # Guards against a stream that ends as if it were complete.
    def test_long_event_breaks_the_answer_off(self):
        (engine,) = self.fleet.engines
        engine.faults.long_event = 1
        answer = self.fleet.take_turn("b", vm=1, previous_turn="a")
        self.assertEqual(200, answer.status)
        self.assertFalse(answer.complete)
        held = [held_bytes(node) for node in self.fleet.nodes]
        self.assertEqual([0, 0], held)
        upstreams = [
            node.directory.by_id[engine.id] for node in self.fleet.nodes
        ]
        failures = [upstream.failures for upstream in upstreams]
        self.assertEqual([1, 0], failures)
