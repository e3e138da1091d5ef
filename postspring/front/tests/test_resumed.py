"""Resumable streams: retried, and continued at another engine."""

from postspring.platform import names
from postspring.testing.fleet import case


class ResumedCase(case.FleetCase):
    """Two engines; turns on a route whose streams may be resumed."""

    engines = 2
    route = "resumed-stream"

    def set_faults(self, **faults):
        """Set faults on all engines."""
        for engine in self.fleet.engines:
            for name, value in faults.items():
                setattr(engine.faults, name, value)

    def set_faults_of_first_engine(self, **faults):
        """Set faults only on the engine that runs the first request."""
        engines = self.fleet.engines

        def clear_other_engines():
            ran = [engine for engine in engines if engine.runs]
            if ran:
                for engine in engines:
                    if engine is not ran[0]:
                        for name in faults:
                            setattr(engine.faults, name, 0)

        self.set_faults(**faults)
        turn = self.fleet.turn

        def turn_and_clear():
            turn()
            clear_other_engines()

        self.fleet.turn = turn_and_clear

    def take_turn(self, request="a", **headers):
        """Take a turn."""
        return self.fleet.take_turn(request, route=self.route, **headers)

    def runs(self):
        """Return all runs, of both engines."""
        return [run for item in self.fleet.engines for run in item.runs]


class BeforeFirstEventTest(ResumedCase):
    """Before its first event a resumable stream may be retried."""

    def test_lost_answer_is_requested_elsewhere(self):
        self.set_faults_of_first_engine(lose_answer=1)
        answer = self.take_turn()
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual(case.EVENTS, answer.body)
        self.assertEqual(2, len(self.runs()))

    def test_attempts_are_bounded_by_the_route(self):
        self.set_faults(lose_answer=9)
        answer = self.take_turn()
        self.assertEqual(502, answer.status)
        self.assertEqual(2, len(self.runs()))

    def test_hanging_engine_is_abandoned(self):
        self.set_faults_of_first_engine(hang=True)
        answer = self.take_turn()
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual(1, sum(item.gone for item in self.fleet.engines))


class AtMostOnceTest(ResumedCase):
    """A stream that may not be resumed runs at most once."""

    route = "carried-stream"

    def test_lost_answer_is_not_requested_again(self):
        self.set_faults(lose_answer=9)
        answer = self.take_turn()
        self.assertEqual(502, answer.status)
        self.assertEqual(1, len(self.runs()))

    def test_broken_stream_ends_the_answer(self):
        self.set_faults(cut_between=1)
        answer = self.take_turn()
        self.assertFalse(answer.complete)
        self.assertEqual(1, len(self.runs()))

    def test_hanging_engine_is_awaited(self):
        self.set_faults(hang=True)
        answer = self.take_turn(deadline_ms=1500)
        self.assertEqual(504, answer.status)
        self.assertEqual(1, len(self.runs()))


class AfterBreakTest(ResumedCase):
    """A broken stream continues within the same answer."""

    def check(self, answer):
        """Check a complete answer with the first seal after two runs."""
        self.assertTrue(answer.complete)
        self.assertEqual(case.EVENTS, answer.body)
        runs = self.runs()
        self.assertEqual(2, len(runs))
        first = next(
            item
            for item in self.fleet.engines
            if not item.runs[0].header(names.LAST_EVENT_ID)
        )
        seal = answer.headers[names.SERVER_SEAL.lower()]
        self.assertEqual(f"seal-{first.id}", seal)
        resumed = [run for run in runs if run.header(names.LAST_EVENT_ID)]
        self.assertEqual(1, len(resumed))
        self.assertEqual("1", resumed[0].header(names.LAST_EVENT_ID))
        self.assertEqual("a", resumed[0].header(names.REQUEST_ID))
        self.assertEqual(b"<a>", resumed[0].body)

    def test_break_between_two_events(self):
        self.set_faults_of_first_engine(cut_between=1)
        self.check(self.take_turn())

    def test_break_within_an_event(self):
        self.set_faults_of_first_engine(cut=1)
        self.check(self.take_turn())

    def test_stream_that_goes_silent(self):
        self.set_faults_of_first_engine(stop_between=1)
        self.check(self.take_turn())

    def test_resumed_stream_is_charged_once(self):
        self.set_faults_of_first_engine(cut=1)
        self.take_turn("a", token_budget="28")
        self.fleet.run_loop_until(
            lambda: not self.fleet.nodes[0].journal.unrecorded
        )
        # Three events of 4 tokens; 16 if the first one were charged twice.
        program = self.fleet.nodes[0].journal.charged("p1")
        self.assertEqual(12, program)

    def test_resumptions_are_bounded_by_the_route(self):
        self.set_faults(cut_between=9)
        answer = self.take_turn()
        self.assertFalse(answer.complete)
        self.assertEqual(b"".join(_events(1, 2)), answer.body)
        self.assertEqual(2, len(self.runs()))

    def test_stream_that_restarts_is_not_joined(self):
        self.set_faults_of_first_engine(cut_between=1)
        self.set_faults(starts_again=True)
        answer = self.take_turn()
        self.assertFalse(answer.complete)
        self.assertEqual(b"".join(_events(1)), answer.body)

    def test_full_engines_end_the_answer(self):
        self.set_faults_of_first_engine(cut_between=1)
        answer = None
        engines = self.fleet.engines
        caller = self.fleet.caller()
        headers = self.fleet.headers("a", {"program_id": "p1"})
        caller.send("POST", "/resumed-stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: self.runs())
        for engine in engines:
            engine.faults.shed = 99
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        answer = caller.answer
        self.assertFalse(answer.complete)
        self.assertEqual(200, answer.status)


class CallerResumptionTest(ResumedCase):
    """A caller resumes a stream after its connection broke."""

    def test_last_event_id_is_forwarded(self):
        answer = self.take_turn("b", last_event_id="2")
        self.assertTrue(answer.complete)
        self.assertEqual(b"".join(_events(3)), answer.body)
        run = self.runs()[0]
        self.assertEqual("2", run.header(names.LAST_EVENT_ID))

    def test_break_before_the_first_event_resumes_there(self):
        self.set_faults_of_first_engine(lose_answer=1)
        answer = self.take_turn("b", last_event_id="1")
        self.assertTrue(answer.complete)
        self.assertEqual(b"".join(_events(2, 3)), answer.body)
        self.assertEqual(
            ["1", "1"],
            [run.header(names.LAST_EVENT_ID) for run in self.runs()],
        )

    def test_only_delivered_events_are_charged(self):
        self.take_turn("b", last_event_id="2", token_budget="100")
        node = self.fleet.nodes[0]
        self.fleet.run_loop_until(lambda: not node.journal.unrecorded)
        self.assertEqual(4, node.journal.charged("p1"))


class WeightsTest(ResumedCase):
    """A stream continues only with the weights that it started with."""

    def test_weight_version_of_the_first_engine_is_required(self):
        self.set_faults_of_first_engine(cut_between=1)
        self.take_turn()
        resumed = [
            run for run in self.runs() if run.header(names.LAST_EVENT_ID)
        ]
        self.assertEqual("1", resumed[0].header(names.EXPECTED_VERSION))

    def break_and_change_weights(self, changes):
        """Break a stream off while some engines load other weights."""
        self.set_faults_of_first_engine(cut_between=1)
        caller = self.fleet.caller()
        headers = self.fleet.headers("a", {"program_id": "p1"})
        for engine in self.fleet.engines:
            engine.event_seconds = 0.05
        caller.send("POST", "/resumed-stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: self.runs())
        for engine in self.fleet.engines:
            engine.weights += changes(engine)
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        return caller.answer

    def test_first_engine_resumes_if_others_have_other_weights(self):
        answer = self.break_and_change_weights(lambda engine: not engine.runs)
        self.assertTrue(answer.complete)
        self.assertEqual(case.EVENTS, answer.body)

    def test_other_weights_are_not_joined(self):
        answer = self.break_and_change_weights(lambda engine: True)
        self.assertFalse(answer.complete)
        self.assertEqual(b"".join(_events(1)), answer.body)
        # The engine is not taken for another one at its address.
        upstreams = self.fleet.nodes[0].directory.by_id.values()
        self.assertFalse(any(upstream.leaving for upstream in upstreams))

    def test_weights_that_change_during_the_stream(self):
        for engine in self.fleet.engines:
            engine.events = 4
            engine.new_weights_at = 2
            engine.event_seconds = 0.02
        caller = self.fleet.caller()
        headers = self.fleet.headers("a", {"program_id": "p1"})
        caller.send("POST", "/resumed-stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: b"id: 2" in caller.answer.body)
        for engine in self.fleet.engines:
            engine.new_weights_at = 0
            if engine.runs:
                engine.faults.cut_between = 1
            else:
                engine.weights = 2
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.complete)
        resumed = [
            run for run in self.runs() if run.header(names.LAST_EVENT_ID)
        ]
        self.assertEqual("2", resumed[0].header(names.EXPECTED_VERSION))
        self.assertEqual(4, caller.answer.body.count(b"id: "))


class TooLargeTest(ResumedCase):
    """A request that needs more memory than any engine has."""

    def test_oversized_request_is_refused_at_once(self):
        # 100,000 tokens fit into an engine of the service.
        answer = self.take_turn(token_usage="99990,16")
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.runs())


def _events(*numbers):
    return [b"id: %d\ndata: w%d\n\n" % (n, n) for n in numbers]
