"""Callers' keys determine the workspace of a call on every path."""

from postspring import forwarding
from postspring import histories
from postspring import peering
from postspring.platform import names
from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module
from postspring import workspaces

KEY = "key-of-acme-1"
OTHER_KEY = "key-of-other"
TURN_FIELDS = {
    "program_id": "p1",
    "token_usage": "100,16",
    "token_budget": "1000",
}
# One call of each kind: method, path, further header fields.
CALLS = {
    "safe": ("GET", "/safe/x", {}),
    "once": ("POST", "/once/x", {}),
    "plain stream": ("POST", "/plain-stream/x", {}),
    "turn": ("POST", "/stream/x", TURN_FIELDS),
    "carried turn": ("POST", "/carried-stream/x", TURN_FIELDS),
    "resumed turn": ("POST", "/resumed-stream/x", TURN_FIELDS),
}


def with_workspaces(version=2, **acme):
    """Return a configuration with two workspaces."""
    configuration = fleet_module.default_configuration(version)
    configuration["tenants"] = [
        {"name": "acme", "api_keys": [KEY, "key-of-acme-2"]} | acme,
        {"name": "other", "api_keys": [OTHER_KEY]},
    ]
    return configuration


class WorkspacesCase(case.FleetCase):
    """A fleet whose callers need keys."""

    engines = 2

    def setUp(self):
        super().setUp()
        self.configure(with_workspaces())

    def configure(self, configuration):
        """Write a configuration and wait until it is in force."""
        self.fleet.configure(configuration)
        version = configuration["version"]
        self.fleet.run_loop_until(
            lambda: all(
                node.configuration.version == version
                for node in self.fleet.nodes
            )
        )

    def call(self, kind, request="r1", key=KEY, vm=0, **headers):
        """Make a call of a kind."""
        method, target, fields = CALLS[kind]
        more = fields | headers
        if key is not None:
            more = more | {"credential": key}
        return self.fleet.call(method, target, request, vm=vm, **more)

    @property
    def runs(self):
        """All requests that ran at upstreams."""
        return [
            run
            for upstream in (*self.fleet.engines, *self.fleet.tools)
            for run in upstream.runs
        ]


class EveryPathTest(WorkspacesCase):
    """Upstreams get the workspace's name but never the key."""

    def assert_named(self, run, name="acme"):
        """Check that a run got the workspace's name and no key."""
        sent = [v for k, v in run.fields if k.lower() == names.TENANT.lower()]
        self.assertEqual([name], sent)
        self.assertNotIn(KEY, str(run.fields))
        self.assertNotIn(OTHER_KEY, str(run.fields))

    def test_each_kind_of_call_names_the_workspace(self):
        for kind in CALLS:
            with self.subTest(kind):
                answer = self.call(kind, kind, tenant="forged")
                self.assertEqual(200, answer.status)
                self.assert_named(self.runs[-1])
                for upstream in (*self.fleet.engines, *self.fleet.tools):
                    upstream.runs.clear()

    def test_retried_call_names_the_workspace(self):
        configuration = with_workspaces(3)
        for route in configuration["routes"]:
            route["max_attempts"] = 4
        self.configure(configuration)
        for engine in self.fleet.engines:
            engine.faults.shed = 1
        self.assertEqual(200, self.call("turn").status)
        self.assert_named(self.runs[0])

    def test_calls_without_a_valid_key_are_refused(self):
        for kind in CALLS:
            for key in (None, "", "nobody's", KEY.upper()):
                with self.subTest(kind, key=key):
                    answer = self.call(kind, f"{kind}{key}", key)
                    self.assertEqual(401, answer.status)
        self.assertEqual([], self.runs)

    def test_request_with_two_keys_is_refused(self):
        caller = self.fleet.caller()
        fields = [
            ("Host", fleet_module.HOST),
            (names.REQUEST_ID, "r1"),
            (names.CREDENTIAL, KEY),
            (names.CREDENTIAL, OTHER_KEY),
        ]
        lines = [f"{name}: {value}" for name, value in fields]
        head = "\r\n".join(["GET /safe/x HTTP/1.1", *lines, "", ""])
        caller.send_raw(head.encode())
        self.fleet.run_loop_until(lambda: caller.received)
        self.assertIn(b" 401 ", caller.received)

    def test_public_route_needs_no_key(self):
        configuration = with_workspaces(3)
        for route in configuration["routes"]:
            route["public"] = True
        self.configure(configuration)
        for kind in CALLS:
            with self.subTest(kind):
                answer = self.call(kind, kind, None, tenant="forged")
                self.assertEqual(200, answer.status)
        self.assertNotIn("forged", str([run.fields for run in self.runs]))

    def test_caller_cannot_impersonate_a_vm(self):
        for forged in ("vm", "vm0", self.fleet.nodes[0].vm.vm):
            answer = self.call(
                "safe", key=None, tenant="acme", **{"X-Relayed-By": forged}
            )
            self.assertIn(answer.status, (401, 503))
        self.assertEqual([], self.runs)


class SameIdsTest(WorkspacesCase):
    """Two workspaces that use the same ids share nothing."""

    vms = 2

    def take_turn(self, turn, key=KEY, vm=0, **headers):
        """Take a turn with ids that both workspaces use."""
        return self.call("turn", turn, key, vm, **headers)

    def test_turn_of_another_workspace_is_not_found(self):
        self.assertTrue(self.take_turn("a").complete)
        for vm in (0, 1):
            answer = self.take_turn("b", OTHER_KEY, vm, previous_turn="a")
            self.assertEqual(404, answer.status)
        answer = self.take_turn("c", vm=1, previous_turn="a")
        self.assertEqual(200, answer.status)

    def test_same_turn_id_in_two_workspaces(self):
        self.assertEqual(200, self.take_turn("a").status)
        self.assertEqual(200, self.take_turn("a", OTHER_KEY).status)

    def test_budgets_of_workspaces_are_separate(self):
        self.assertEqual(200, self.take_turn("a", token_budget="16").status)
        spent = self.take_turn("b", token_budget="16")
        self.assertEqual(402, spent.status)
        other = self.take_turn("c", OTHER_KEY, token_budget="16")
        self.assertEqual(200, other.status)


class ChangedKeysTest(WorkspacesCase):
    """Keys are added and removed."""

    def test_removed_key_is_refused(self):
        configuration = with_workspaces(3)
        configuration["tenants"][0]["api_keys"].remove(KEY)
        self.configure(configuration)
        self.assertEqual(401, self.call("safe").status)
        self.assertEqual(200, self.call("safe", key="key-of-acme-2").status)

    def test_key_that_may_be_new_is_refused_temporarily(self):
        self.fleet.store.silent = True
        self.fleet.turn_for(2.3)
        self.assertEqual(503, self.call("safe", key="new").status)

    def test_invalid_workspaces_change_nothing(self):
        node = self.fleet.nodes[0]
        for bad in (
            {"api_keys": [OTHER_KEY]},
            {"name": "other"},
            {"rate_per_s": -1},
            {"rate_per_s": float("nan")},
            {"rate_per_s": float("inf")},
            {"rate_per_s": "5"},
            {"api_keys": [""]},
            {"api_keys": "text"},
            {"priority": -1},
        ):
            with self.subTest(bad):
                with self.assertLogs(level="ERROR") as logs:
                    self.fleet.configure(with_workspaces(9, **bad))
                    self.fleet.run_loop_until(lambda: logs.output)
                self.assertNotIn(OTHER_KEY, str(logs.output))
                self.assertEqual(2, node.configuration.version)
                self.assertEqual(200, self.call("safe", str(bad)).status)


class RemovalBoundTest(WorkspacesCase):
    """Without answers of the log a VM accepts keys for a bounded time."""

    def setUp(self):
        super().setUp()
        self.node = self.fleet.nodes[0]
        self.node.admission._max_confirmed_age = 0.5

    def test_nothing_runs_after_the_bound(self):
        self.fleet.store.silent = True
        self.fleet.run_loop_until(lambda: not self.node.admission.is_confirmed)
        for kind in CALLS:
            with self.subTest(kind):
                answer = self.call(kind, kind)
                self.assertEqual(503, answer.status)
                self.assertIn("Retry-After".lower(), answer.headers)
        self.assertEqual([], self.runs)
        self.assertFalse(self.node.is_ready)


class RelayedConfirmationTest(WorkspacesCase):
    """The log answers only one VM of a data centre."""

    vms = 2

    def test_collector_relays_confirmations_of_the_log(self):
        self.fleet.run_loop_until(
            lambda: all(
                len(node.members.by_name) == 2 for node in self.fleet.nodes
            )
        )
        collector = peering.collector_of(
            list(self.fleet.nodes[0].members.by_name.values()), "z1"
        )
        unconfirmed = next(
            node for node in self.fleet.nodes if node.vm.vm != collector.name
        )
        vm = self.fleet.nodes.index(unconfirmed)
        follower = unconfirmed.followers.configuration
        follower._read = lambda: None
        self.fleet.turn_for(1.0)
        self.call("safe", vm=vm)
        self.fleet.run_loop_until(lambda: follower.confirmed_age < 1.0)


class ForwardedTurnTest(WorkspacesCase):
    """Another VM runs forwarded turns while the store is unavailable."""

    vms = 4

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(
                lambda node=node: len(node.members.listed) == self.vms - 1
            )
        self.fleet.store.refuse = 503
        claim = histories.Claim("author", 16, 1000)
        turn = histories.CompletedTurn(
            histories.ProgramId(workspaces.scoped("acme", "p1")),
            histories.TurnId(workspaces.scoped("acme", "a")),
            claim,
            None,
            4,
            b"<a>",
            b"w\n",
        )
        self.fleet.nodes[0].journal.store_replica(
            histories.encode_record(turn)
        )

    def test_upstream_gets_the_workspace_and_no_key(self):
        answer = self.call("turn", "b", vm=1, previous_turn="a")
        self.assertEqual(200, answer.status)
        (run,) = self.runs
        self.assertEqual("acme", run.header(names.TENANT))
        self.assertNotIn(KEY, str(run.fields))
        self.assertEqual("", run.header(forwarding.RELAYED_NAME))

    def test_other_workspace_cannot_continue_the_turn(self):
        answer = self.call("turn", "b", OTHER_KEY, vm=1, previous_turn="a")
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.runs)
