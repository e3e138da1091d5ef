"""Queries and commands over real processes."""

import os
import subprocess
import sys
import unittest

from postspring import client
from postspring import errors
from postspring.testing import probes
from postspring.testing import processes

KEY = "operators-only"


class CommandTest(unittest.TestCase):
    """Two data centres with an entry VM each."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = processes.Deployment(
            {"rimac": 1, "surco": 1},
            engines=2,
            entry_flags={"operator_key": KEY},
        )
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.begin()

    def run_text(self, text, vm="rimac-1", **options):
        """Run a text on a VM."""
        address = self.deployment.vm_by_name[vm].listen
        return client.CommandClient([address], KEY).run(text, **options)

    def cli(self, *arguments, text=None):
        """Run the command line; return status and both outputs."""
        ended = subprocess.run(
            [sys.executable, "-m", "postspring.daemon.main", *arguments],
            input=text,
            capture_output=True,
            text=True,
            timeout=60,
            env=os.environ | {"POSTSPRING_OPERATOR_KEY": KEY},
        )
        return ended.returncode, ended.stdout, ended.stderr

    def test_programs_of_all_data_centres_are_shown(self):
        made = {
            client.ProgramClient.create(
                self.deployment.client(vm), "agent-models"
            ).program
            for vm in self.deployment.vm_by_name
        }
        shown = self.run_text("show programs (id)", format="csv").split()
        self.assertLessEqual(made, set(shown))

    def test_every_collection_can_be_shown(self):
        for name, word in (
            ("services", "agent-models"),
            ("upstreams", "engine-2"),
            ("vms", "surco-1"),
            ("slots", "rimac"),
            ("refusals", "reason"),
        ):
            with self.subTest(name=name):
                self.assertIn(word, self.run_text(f"show {name}"))

    def test_a_change_takes_effect_on_every_vm(self):
        self.run_text("set service other priority = 2")
        for vm in self.deployment.vm_by_name:
            processes.wait_until(
                vm,
                lambda vm=vm: (
                    "2"
                    in self.run_text(
                        "show services (priority) where id = other",
                        vm,
                        format="csv",
                    )
                ),
            )

    def test_asking_again_does_not_repeat_a_change(self):
        text = "set service agent-models max_calls = 77"
        first = self.run_text(text, change_id="change-77")
        again = self.run_text(text, change_id="change-77")
        self.assertEqual(first, again)

    def test_drain_keeps_new_work_away_and_return_brings_it_back(self):
        self.run_text("drain upstream engine-1")
        program = client.ProgramClient.create(
            self.deployment.client("rimac-1"), "agent-models"
        )
        used = {program.ask("advisor", f"q{n}").upstream for n in range(4)}
        self.assertEqual({"engine-2"}, used)
        self.run_text("return upstream engine-1")

    def test_cancel(self):
        program = client.ProgramClient.create(
            self.deployment.client("surco-1"), "agent-models"
        )
        self.run_text(f"cancel program {program.program}")
        self.assertEqual("cancelled", program.view()["end_reason"])

    def test_orders_carry_growing_fencing_numbers(self):
        first = self.run_text("load model m2 on engine-1")
        second = self.run_text("set role of engine-1 to prefill", "surco-1")
        self.assertIn('"fencing": 1,', first)
        self.assertIn('"fencing": 2,', second)
        address = self.deployment.address_by_upstream["engine-1"]
        orders = probes.fetch(address, "GET", "/orders")
        self.assertEqual([1, 2], [order["fencing"] for order in orders])

    def test_errors(self):
        for text in (
            "show kettles",
            "show programs (colour)",
            "set service other colour = 1",
            "set upstream ghost concurrency = 1",
            "load model m on ghost",
            "cancel program nonsense",
        ):
            with self.subTest(text=text):
                with self.assertRaises(errors.CommandError):
                    self.run_text(text)

    def test_the_wrong_key_is_refused(self):
        address = self.deployment.vm_by_name["rimac-1"].listen
        with self.assertRaises(errors.CommandError) as caught:
            client.CommandClient([address], "wrong").run("show vms")
        self.assertIn("not_permitted", str(caught.exception))

    def test_the_command_line(self):
        entry = "--entry=" + self.deployment.vm_by_name["rimac-1"].listen
        status, printed, _ = self.cli("query", "show vms (id)", entry)
        self.assertEqual(0, status)
        self.assertIn("rimac-1", printed)
        texts = "show vms (count)\n\nshow slots (count)\n"
        status, printed, _ = self.cli("query", entry, text=texts)
        self.assertEqual(4, len(printed.split()))
        status, _, fault = self.cli("query", "show vms limt 3", entry)
        self.assertEqual(1, status)
        self.assertIn("column 10", fault)

    def test_configuration_on_the_command_line(self):
        platform = "--platform=" + self.deployment.platform
        status, shown, _ = self.cli("config", "show", platform)
        self.assertEqual(0, status)
        self.assertIn('"agent-models"', shown)
        bad = self.deployment.directory / "bad.json"
        bad.write_text('{"services": {"a": {"colour": 1}}}')
        self.addCleanup(bad.unlink)
        status, _, fault = self.cli("config", "check", str(bad))
        self.assertEqual(1, status)
        self.assertIn("services.a.colour", fault)
        status, _, fault = self.cli("entry", "--vm=x", "--colour=red")
        self.assertEqual(1, status)
        self.assertIn("colour", fault)


class PartialAnswerTest(unittest.TestCase):
    """A query while a VM is down."""

    def test_who_was_not_reached_is_named(self):
        deployment = processes.Deployment({"rimac": 2})
        self.addCleanup(deployment.close)
        deployment.begin()
        deployment.kill("rimac-2")
        address = deployment.vm_by_name["rimac-1"].listen
        shown = client.CommandClient([address]).run("show vms (id)")
        self.assertIn("not reached: rimac-2", shown)
