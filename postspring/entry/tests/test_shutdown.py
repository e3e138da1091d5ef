"""Graceful shutdown of an entry VM with streams open."""

import threading
import unittest

from postspring import client
from postspring.testing import probes
from postspring.testing import processes

TOKEN_SECONDS = 0.2


class ShutdownTest(unittest.TestCase):
    """SIGTERM while a slow answer streams."""

    def setUp(self):
        self.deployment = processes.Deployment(
            {"rimac": 2},
            engine_flags={"token_seconds": TOKEN_SECONDS},
        )
        self.addCleanup(self.deployment.close)
        self.deployment.begin()

    def test_no_stream_is_cut_and_the_slots_move(self):
        program = client.ProgramClient.create(
            self.deployment.client("rimac-1"), "agent-models"
        )
        owner = program.view()["owner"]
        other = next(vm for vm in self.deployment.vm_by_name if vm != owner)
        through_owner = client.ProgramClient(
            self.deployment.client(owner), program.program
        )
        began = threading.Event()
        results = []

        def ask():
            results.append(
                through_owner.ask(
                    "advisor",
                    "a b c d e f g h",
                    lambda text: began.set(),
                )
            )

        thread = threading.Thread(target=ask)
        thread.start()
        self.assertTrue(began.wait(20))
        self.assertEqual(0, self.deployment.terminate(owner, 60))
        thread.join(20)
        self.assertEqual("answered", results[0].status)
        self.assertIn("h", results[0].answer["content"])
        self.assertIn('"clean": true', self.deployment.log(owner))
        after = client.ProgramClient.resume(
            self.deployment.client(other), program.program
        )
        self.assertEqual(1, after.step)
        self.assertEqual(other, after.view()["owner"])

    def test_a_vm_that_is_leaving_takes_no_new_connection(self):
        program = client.ProgramClient.create(
            self.deployment.client("rimac-1"), "agent-models"
        )
        began = threading.Event()
        thread = threading.Thread(
            target=lambda: program.ask(
                "advisor", "a b c d e f g h", lambda text: began.set()
            )
        )
        thread.start()
        self.assertTrue(began.wait(20))
        process = self.deployment.process_by_name["rimac-1"]
        process.terminate()
        address = self.deployment.vm_by_name["rimac-1"].listen

        def refused():
            try:
                probes.fetch(address, "GET", "/healthz")
            except ConnectionRefusedError:
                return True
            return False

        processes.wait_until("the listener to close", refused)
        thread.join(30)
        self.assertEqual(0, process.wait(60))
