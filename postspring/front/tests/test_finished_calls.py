"""Finished calls are freed at once, with the bodies of their requests.

Kept by reference cycles, they stay until the garbage collector runs its
oldest generation, which counts objects and not bytes.
"""

import gc
import weakref

from postspring.testing.fleet import case

SETTLING_SECONDS = 0.1


class FinishedCallTest(case.FleetCase):
    """One call of each kind, by how it ends."""

    def setUp(self):
        super().setUp()
        self.node = self.fleet.nodes[0]
        self.kept = []
        self._watch(self.node.forwarder, "handle", 0)
        self._watch(self.node.http, "send", None)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def _watch(self, owner, name, argument):
        """Keep a weak reference to an argument, or to the result."""
        original = getattr(owner, name)

        def watched(*arguments):
            result = original(*arguments)
            item = result if argument is None else arguments[argument]
            self.kept.append(weakref.ref(item))
            return result

        setattr(owner, name, watched)

    def assert_freed(self, count=2):
        """Check that no call and no exchange is left."""
        self.fleet.turn_for(SETTLING_SECONDS)
        self.assertGreaterEqual(len(self.kept), count)
        left = [item() for item in self.kept if item() is not None]
        self.assertEqual([], left)

    # Guards against uploads that fill a VM's memory although they are done.
    def test_plain_call(self):
        for target in ("/once/x", "/safe/x"):
            answer = self.fleet.call("POST", target, "r1" + target[1], b"x")
            self.assertEqual(200, answer.status)
        self.assert_freed()

    # Guards against the same for calls that are sent once more.
    def test_repeated_call(self):
        self.fleet.tools[0].faults.reset_unframed = 1
        answer = self.fleet.call("POST", "/safe/x", "r1", b"x")
        self.assertEqual(200, answer.status)
        self.assert_freed()

    # Guards against the same for calls that fail.
    def test_failed_call(self):
        self.fleet.tools[0].faults.reset_unframed = 1
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(502, answer.status)
        self.assert_freed()

    # Guards against the same for requests that are refused.
    def test_refused_call(self):
        answer = self.fleet.call("POST", "/other/x", "r1", b"x")
        self.assertEqual(404, answer.status)
        self.assert_freed(1)

    # Guards against the same for turns and streams without a program.
    def test_turn(self):
        for route in ("stream", "carried-stream", "plain-stream"):
            answer = self.fleet.take_turn("r-" + route, route=route)
            self.assertTrue(answer.complete)
        self.assert_freed()

    # Guards against the same for streams that break.
    def test_broken_turn(self):
        for route in ("stream", "carried-stream", "plain-stream"):
            self.fleet.engines[0].faults.cut = 1
            answer = self.fleet.take_turn("r-" + route, route=route)
            self.assertFalse(answer.complete)
        self.assert_freed()

    # Guards against the same for calls whose callers disconnect.
    def test_caller_disconnects(self):
        for number, target in enumerate(("/once/x", "/safe/x", "/stream/x")):
            caller = self.fleet.caller()
            caller.send("POST", target, self.fleet.headers(f"r{number}"), b"x")
            self.fleet.run_loop_until(lambda: len(self.kept) > 2 * number)
            caller.close()
            self.fleet.turn_for(0.1)
        self.assert_freed()
