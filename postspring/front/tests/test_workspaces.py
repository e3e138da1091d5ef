"""Callers' keys: whose a call is, on every way that leads to an upstream."""

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
# A call of each kind: method, path, further header fields.
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
        """Bring a configuration into force."""
        self.fleet.configure(configuration)
        version = configuration["version"]
        self.fleet.turn_until(
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
        """What reached upstreams."""
        return [
            run
            for upstream in (*self.fleet.engines, *self.fleet.tools)
            for run in upstream.runs
        ]


class EveryWayTest(WorkspacesCase):
    """The workspace's name goes to upstreams, the key nowhere."""

    def assert_named(self, run, name="acme"):
        """Check what an upstream was told."""
        told = [v for k, v in run.fields if k.lower() == names.TENANT.lower()]
        self.assertEqual([name], told)
        self.assertNotIn(KEY, str(run.fields))
        self.assertNotIn(OTHER_KEY, str(run.fields))

    def test_every_kind_of_call(self):
        for kind in CALLS:
            with self.subTest(kind):
                answer = self.call(kind, kind, tenant="forged")
                self.assertEqual(200, answer.status)
                self.assert_named(self.runs[-1])
                for upstream in (*self.fleet.engines, *self.fleet.tools):
                    upstream.runs.clear()

    def test_a_call_that_is_sent_again(self):
        configuration = with_workspaces(3)
        for route in configuration["routes"]:
            route["max_attempts"] = 4
        self.configure(configuration)
        for engine in self.fleet.engines:
            engine.faults.shed = 1
        self.assertEqual(200, self.call("turn").status)
        self.assert_named(self.runs[0])

    def test_no_call_without_a_key(self):
        for kind in CALLS:
            for key in (None, "", "nobody's", KEY.upper()):
                with self.subTest(kind, key=key):
                    answer = self.call(kind, f"{kind}{key}", key)
                    self.assertEqual(401, answer.status)
        self.assertEqual([], self.runs)

    def test_two_keys_are_none(self):
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
        self.fleet.turn_until(lambda: caller.received)
        self.assertIn(b" 401 ", caller.received)

    def test_a_public_route_needs_none(self):
        configuration = with_workspaces(3)
        for route in configuration["routes"]:
            route["public"] = True
        self.configure(configuration)
        for kind in CALLS:
            with self.subTest(kind):
                answer = self.call(kind, kind, None, tenant="forged")
                self.assertEqual(200, answer.status)
        self.assertNotIn("forged", str([run.fields for run in self.runs]))

    def test_nobody_can_pretend_to_be_a_vm(self):
        for told in ("vm", "vm0", self.fleet.nodes[0].vm.vm):
            answer = self.call(
                "safe", key=None, tenant="acme", **{"X-Relayed-By": told}
            )
            self.assertIn(answer.status, (401, 503))
        self.assertEqual([], self.runs)


class OwnNamesTest(WorkspacesCase):
    """Two workspaces that use the same ids share nothing."""

    vms = 2

    def take_turn(self, turn, key=KEY, vm=0, **headers):
        """Take a turn; two workspaces choose the same names."""
        return self.call("turn", turn, key, vm, **headers)

    def test_a_turn_of_another_workspace_is_not_there(self):
        self.assertTrue(self.take_turn("a").whole)
        for vm in (0, 1):
            answer = self.take_turn("b", OTHER_KEY, vm, previous_turn="a")
            self.assertEqual(404, answer.status)
        answer = self.take_turn("c", vm=1, previous_turn="a")
        self.assertEqual(200, answer.status)

    def test_the_same_turn_of_two_workspaces(self):
        self.assertEqual(200, self.take_turn("a").status)
        self.assertEqual(200, self.take_turn("a", OTHER_KEY).status)

    def test_a_budget_is_a_workspaces_own(self):
        self.assertEqual(200, self.take_turn("a", token_budget="16").status)
        spent = self.take_turn("b", token_budget="16")
        self.assertEqual(402, spent.status)
        other = self.take_turn("c", OTHER_KEY, token_budget="16")
        self.assertEqual(200, other.status)


class ChangedKeysTest(WorkspacesCase):
    """Keys that come and go."""

    def test_one_that_was_taken_away(self):
        configuration = with_workspaces(3)
        configuration["tenants"][0]["api_keys"].remove(KEY)
        self.configure(configuration)
        self.assertEqual(401, self.call("safe").status)
        self.assertEqual(200, self.call("safe", key="key-of-acme-2").status)

    def test_one_that_may_have_been_added_is_not_refused_for_good(self):
        self.fleet.store.silent = True
        self.fleet.turn_for(2.3)
        self.assertEqual(503, self.call("safe", key="new").status)

    def test_bad_workspaces_change_nothing(self):
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
                    self.fleet.turn_until(lambda: logs.output)
                self.assertNotIn(OTHER_KEY, str(logs.output))
                self.assertEqual(2, node.configuration.version)
                self.assertEqual(200, self.call("safe", str(bad)).status)


class RemovalBoundTest(WorkspacesCase):
    """A VM that the log does not answer believes keys for a time only."""

    def setUp(self):
        super().setUp()
        self.node = self.fleet.nodes[0]
        self.node.admission._longest_age = 0.5

    def test_then_nothing_runs(self):
        self.fleet.store.silent = True
        self.fleet.turn_until(lambda: not self.node.admission.is_confirmed)
        for kind in CALLS:
            with self.subTest(kind):
                answer = self.call(kind, kind)
                self.assertEqual(503, answer.status)
                self.assertIn("Retry-After".lower(), answer.headers)
        self.assertEqual([], self.runs)
        self.assertFalse(self.node.is_ready)


class ConfirmationsOfOthersTest(WorkspacesCase):
    """The log answers one VM of a data centre, and not the others."""

    vms = 2

    def test_the_one_that_collects_passes_on_what_is_confirmed(self):
        self.fleet.turn_until(
            lambda: all(
                len(node.members.by_name) == 2 for node in self.fleet.nodes
            )
        )
        collector = peering.collector_of(
            list(self.fleet.nodes[0].members.by_name.values()), "z1"
        )
        lacking = next(
            node for node in self.fleet.nodes if node.vm.vm != collector.name
        )
        vm = self.fleet.nodes.index(lacking)
        follower = lacking.followers.configuration
        follower._read = lambda: None
        self.fleet.turn_for(1.0)
        self.call("safe", vm=vm)
        self.fleet.turn_until(lambda: follower.confirmed_age < 1.0)


class PassedOnTest(WorkspacesCase):
    """Turns that another VM runs, as the store is away."""

    vms = 4

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(
                lambda node=node: len(node.members.listed) == self.vms - 1
            )
        self.fleet.store.refuse = 503
        claim = histories.Claim("author", 16, 1000)
        turn = histories.WholeTurn(
            histories.ProgramId(workspaces.scoped("acme", "p1")),
            histories.TurnId(workspaces.scoped("acme", "a")),
            claim,
            None,
            4,
            b"<a>",
            b"w\n",
        )
        self.fleet.nodes[0].journal.keep_copy(histories.encode_record(turn))

    def test_it_is_told_whose_they_are_and_no_key(self):
        answer = self.call("turn", "b", vm=1, previous_turn="a")
        self.assertEqual(200, answer.status)
        (run,) = self.runs
        self.assertEqual("acme", run.header(names.TENANT))
        self.assertNotIn(KEY, str(run.fields))
        self.assertEqual("", run.header(forwarding.RELAYED_NAME))

    def test_another_workspace_does_not_get_them(self):
        answer = self.call("turn", "b", OTHER_KEY, vm=1, previous_turn="a")
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.runs)
