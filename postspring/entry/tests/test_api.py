"""The callers' HTTP interface, over real processes on loopback."""

import http.client
import json
import socket
import unittest

from postspring import client
from postspring.testing import probes
from postspring.testing import processes


class DeploymentCase(unittest.TestCase):
    """Two entry VMs in one data centre, an engine, a tool, a service."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = processes.Deployment(
            {"rimac": 2}, entry_flags={"max_body": 20_000}
        )
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.begin()

    def request(self, method, path, body=None, headers=None, vm="rimac-1"):
        """Return the status, the JSON body and the headers of an answer."""
        address = self.deployment.vm_by_name[vm].listen
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return (
                response.status,
                json.loads(response.read()),
                response.headers,
            )
        finally:
            connection.close()

    def refusal(self, method, path, body=None, **options):
        """Return the status and reason of a refusal."""
        status, body, headers = self.request(method, path, body, **options)
        self.assertIn(body["ran"], ("not_run", "unknown"))
        if "retry_after_seconds" in body:
            self.assertGreaterEqual(int(headers["Retry-After"]), 1)
        return status, body["refused"]

    def create(self, **options):
        """Create a program and return its id."""
        body = {"service": "agent-models"} | options
        status, answer, _ = self.request("POST", "/v1/programs", body)
        self.assertEqual(201, status, answer)
        return answer["program"]

    def model_call(self, step=1, **options):
        """Build the body of a model call."""
        return {
            "kind": "model",
            "target": "advisor",
            "messages": [{"role": "user", "content": "hello"}],
            "step": step,
        } | options


class ProgramTest(DeploymentCase):
    """Programs and their calls."""

    def test_a_call_through_either_vm(self):
        program = self.create()
        path = f"/v1/programs/{program}/calls"
        answers = [
            self.request("POST", path, self.model_call(step), vm=vm)
            for step, vm in ((1, "rimac-1"), (2, "rimac-2"), (2, "rimac-1"))
        ]
        self.assertEqual([200] * 3, [status for status, _, _ in answers])
        first, second, again = [body for _, body, _ in answers]
        self.assertEqual(second["digest"], again["digest"])
        self.assertNotEqual(first["digest"], second["digest"])
        self.assertIn("After 3 messages", second["answer"]["content"])

    def test_a_streamed_answer_ends_with_its_turn(self):
        program = client.ProgramClient.create(
            self.deployment.client("rimac-2"), "agent-models"
        )
        pieces = []
        result = program.ask("advisor", "one two three", pieces.append)
        self.assertEqual("".join(pieces), result.answer["content"])
        self.assertGreater(len(pieces), 3)
        self.assertEqual("answered", result.status)

    def test_a_tool_call_runs_once_however_often_it_is_asked(self):
        program = self.create()
        call = {
            "kind": "tool",
            "target": "parts",
            "arguments": {"part": "belt"},
            "repeatable": False,
            "key": f"order-{program}",
            "step": 1,
        }
        path = f"/v1/programs/{program}/calls"
        first = self.request("POST", path, call)[1]
        again = self.request("POST", path, call, vm="rimac-2")[1]
        self.assertEqual(first["answer"], again["answer"])
        runs = self.deployment.executions()
        self.assertEqual(1, runs[f"parts:order-{program}"])

    def test_state_history_and_end(self):
        program = self.create()
        path = f"/v1/programs/{program}"
        self.request("POST", f"{path}/calls", self.model_call())
        _, view, _ = self.request("GET", path)
        self.assertEqual((1, "live"), (view["step"], view["status"]))
        _, history, _ = self.request("GET", f"{path}/history?limit=5")
        self.assertEqual(view["digest"], history["turns"][0]["digest"])
        _, ended, _ = self.request("POST", f"{path}/end", {})
        self.assertEqual(ended["spent"], self.request("GET", path)[1]["spent"])
        refused = self.refusal("POST", f"{path}/calls", self.model_call(2))
        self.assertEqual((410, "program_ended"), refused)

    def test_sub_agents_end_with_their_root(self):
        root = self.create()
        agent = self.create(parent=root)
        self.assertEqual(root.split("-")[2], agent.split("-")[2])
        self.request("POST", f"/v1/programs/{root}/cancel")
        view = self.request("GET", f"/v1/programs/{agent}")[1]
        self.assertEqual("parent_ended", view["end_reason"])

    def test_creating_with_a_key_is_idempotent_on_any_vm(self):
        body = {"service": "agent-models", "key": "once"}
        answers = [
            self.request("POST", "/v1/programs", body, vm=vm)[1]
            for vm in ("rimac-1", "rimac-2")
        ]
        self.assertEqual(answers[0], answers[1])


class PlainServiceTest(DeploymentCase):
    """Plain services without a program."""

    def test_a_request_is_passed_on(self):
        path = "/v1/services/agent-models/catalogue/bells/7"
        status, body, _ = self.request("GET", path)
        self.assertEqual((200, "/bells/7"), (status, body["path"]))

    def test_a_post_whose_answer_is_lost_is_not_sent_again(self):
        self.deployment.faults("service-1", lose_answers=1)
        path = "/v1/services/agent-models/catalogue"
        address = self.deployment.address_by_upstream["service-1"]
        before = probes.fetch(address, "GET", "/served")["served"]
        status, body, _ = self.request("POST", path, {"photo": 1})
        after = probes.fetch(address, "GET", "/served")["served"]
        self.assertEqual((502, "unknown"), (status, body["ran"]))
        self.assertEqual(1, after - before)

    def test_unknown_services(self):
        for path, reason in (
            ("/v1/services/none/catalogue", "unknown_service"),
            ("/v1/services/agent-models/none", "unknown_target"),
        ):
            self.assertEqual((404, reason), self.refusal("GET", path))


class BadInputTest(DeploymentCase):
    """Bad input: a clear error, and nothing lost."""

    def test_malformed_bodies(self):
        program = self.create()
        path = f"/v1/programs/{program}/calls"
        bodies = [
            "{",
            "[]",
            self.model_call(0),
            self.model_call(colour="red"),
            self.model_call(messages=[]),
            self.model_call(target=""),
            self.model_call(receipts=["%%"]),
            self.model_call(receipts=["AAAA"]),
            {"kind": "kettle", "target": "x", "step": 1},
        ]
        for body in bodies:
            with self.subTest(body=body):
                self.assertEqual(
                    (400, "bad_request"), self.refusal("POST", path, body)
                )
        self.assertEqual(200, self.request("POST", path, self.model_call())[0])

    def test_unknown_programs(self):
        ghost = "p-rimac-1-" + "0" * 24
        for path in ("nonsense", ghost, "p-rimac-999-" + "0" * 24):
            with self.subTest(path=path):
                self.assertEqual(
                    (404, "unknown_program"),
                    self.refusal("GET", f"/v1/programs/{path}"),
                )

    def test_the_wrong_service(self):
        program = self.create()
        call = self.model_call(service="other")
        refused = self.refusal("POST", f"/v1/programs/{program}/calls", call)
        self.assertEqual((403, "not_permitted"), refused)

    def test_steps_out_of_order(self):
        program = self.create()
        path = f"/v1/programs/{program}/calls"
        self.assertEqual(
            (409, "step_gap"),
            self.refusal("POST", path, self.model_call(50)),
        )
        self.request("POST", path, self.model_call())
        other = self.model_call(messages=[{"role": "user", "content": "x"}])
        self.assertEqual(
            (409, "step_conflict"), self.refusal("POST", path, other)
        )

    def test_an_oversized_body(self):
        body = {"service": "a" * 100_000}
        refused = self.refusal("POST", "/v1/programs", body)
        self.assertEqual((413, "body_too_large"), refused)
        self.create()

    def test_unknown_paths(self):
        self.assertEqual((404, "not_found"), self.refusal("GET", "/nothing"))

    def test_refusals_are_counted_by_reason(self):
        self.refusal("GET", "/nothing")
        samples = self.deployment.metric("rimac-1", "postspring_refusals")
        self.assertTrue(any('reason="not_found"' in key for key in samples))

    def test_requests_sent_together_are_answered_in_order(self):
        address = self.deployment.vm_by_name["rimac-1"].listen
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            request = b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n"
            sock.sendall(request % b"/healthz" + request % b"/nothing")
            received = b""
            while b"not_found" not in received:
                data = sock.recv(65536)
                if not data:
                    break
                received += data
        self.assertLess(received.index(b"200 OK"), received.index(b"404"))


class OccupiedAddressTest(DeploymentCase):
    """A VM address that is in use."""

    def test_the_second_daemon_says_so_and_ends(self):
        deployment = self.deployment
        taken = deployment.vm_by_name["rimac-1"]
        flags = {
            "vm": "rimac-9",
            "data_center": "rimac",
            "listen": taken.listen,
            "peer_listen": f"127.0.0.1:{processes.free_port()}",
            "platform": deployment.platform,
        }
        arguments = ["postspring.daemon.main", "entry"]
        arguments += [f"--{key}={value}" for key, value in flags.items()]
        deployment.start("rimac-9", arguments, {})
        process = deployment.process_by_name["rimac-9"]
        self.assertEqual(1, process.wait(30))
        self.assertIn("Address already in use", deployment.log("rimac-9"))
        self.create()
