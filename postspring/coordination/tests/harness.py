"""Test harness: an owner whose log accepts records on demand."""

import itertools

from postspring import configuration
from postspring import coordination
from postspring import ownership
from postspring import programs
from postspring import scheduling
from postspring import upstreams

CONFIGURATION = configuration.Configuration.model_validate(
    {
        "models": {
            "advisor": {
                "prompt_price": 1000,
                "completion_price": 1000,
                "max_tokens": 10,
            }
        },
        "tools": {
            "parts": {"price": 50},
            "look": {"price": 5, "repeatable": True},
        },
        "services": {
            "agentes": {
                "models": ["advisor"],
                "tools": ["parts", "look"],
                "default_budget": 10_000,
                "max_budget": 50_000,
                "max_calls": 20,
                "max_programs": 12,
            }
        },
    }
)
ENGINES = ("engine-1", "engine-2")


def build_pool():
    """Return a pool with two engines and a tool service."""
    pool = scheduling.UpstreamPool(
        scheduling.placement_by_name["prefix_affinity"](),
        scheduling.order_by_name["priority"](),
    )
    kinds = configuration.UpstreamKind
    states = [
        upstreams.UpstreamState(
            id=name,
            kind=kinds.ENGINE,
            data_center="surco",
            address="127.0.0.1:1",
            serves=frozenset({"advisor"}),
            concurrency=4,
        )
        for name in ENGINES
    ]
    states.append(
        upstreams.UpstreamState(
            id="tools",
            kind=kinds.TOOL,
            data_center="surco",
            address="127.0.0.1:2",
            serves=frozenset({"parts", "look"}),
            concurrency=4,
        )
    )
    pool.replace_upstreams(states)
    return pool


class OwnerHarness:
    """An owner of slot 0, with its log and its replies."""

    def __init__(self, limits=coordination.OwnerLimits()):
        self.fold = ownership.StreamFold(slots=1)
        self.pool = build_pool()
        self.owner = coordination.Owner(
            "vm-1", "vm-1.1", "surco", self.fold, self.pool, limits
        )
        self.owner.reconfigure(CONFIGURATION)
        self.now = 100.0
        self.unlogged_records = []
        self.replies = {}
        self.local_grants = []
        self.other_effects = []
        self._numbers = itertools.count(1)
        self.append(
            ownership.Claim(
                slot=0, epoch=1, owner="vm-1", incarnation="vm-1.1"
            )
        )

    def restart(self, incarnation):
        """Restart the VM, which loses its state in memory."""
        self.owner = coordination.Owner(
            "vm-1",
            incarnation,
            "surco",
            self.fold,
            self.pool,
            self.owner.bounds,
        )
        self.owner.reconfigure(CONFIGURATION)
        self.unlogged_records.clear()
        epoch = self.fold.slot_by_number[0].epoch + 1
        self.append(
            ownership.Claim(
                slot=0, epoch=epoch, owner="vm-1", incarnation=incarnation
            )
        )

    def append(self, record):
        """Append a record to the log and return its verdict."""
        verdict = self.fold.apply(self.fold.next_offset, record)
        self.owner.on_record(record, verdict, self.now)
        self.collect_effects()
        return verdict

    def collect_effects(self):
        """Collect the owner's effects, sorted by type."""
        for effect in self.owner.take_effects():
            if isinstance(effect, coordination.Append):
                self.unlogged_records.append(effect.record)
            elif isinstance(effect, coordination.Reply):
                number = effect.to.request
                self.replies.setdefault(number, []).append(effect.message)
            elif isinstance(effect, coordination.RunAttempt):
                self.local_grants.append(effect.grant)
            else:
                self.other_effects.append(effect)

    def flush_log(self):
        """Append the unlogged records, and those that result from them."""
        while self.unlogged_records:
            self.append(self.unlogged_records.pop(0))

    def send(self, message, vm="vm-2"):
        """Send a request and return its number."""
        number = next(self._numbers)
        to = coordination.ReplyTo(vm, number)
        self.owner.receive(message, to, self.now)
        self.collect_effects()
        return number

    def reply_to(self, number):
        """Return the one reply to a request, or None."""
        got = self.replies.get(number, [])
        if len(got) > 1:
            raise AssertionError(f"{len(got)} replies to one request: {got}")
        return got[0] if got else None

    def create(self, **options):
        """Create a program and return its id."""
        fields = {"slot": 0, "service": "agentes"} | options
        number = self.send(coordination.CreateProgram(**fields))
        self.flush_log()
        return self.reply_to(number).program

    def model_call(self, program, step=1, text="hello", **options):
        """Build a model call."""
        request = f'[{{"role":"user","content":"{text}"}}]'.encode()
        fields = {
            "service": "agentes",
            "target": "advisor",
            "request": request,
        } | options
        return coordination.CallProgram(
            program=program,
            step=step,
            kind=programs.CallKind.MODEL,
            **fields,
        )

    def tool_call(self, program, step=1, key="k1", **options):
        """Build a tool call that may not be repeated."""
        fields = {
            "target": "parts",
            "request": b'{"part":"belt"}',
            "repeatable": False,
        } | options
        return coordination.CallProgram(
            program=program,
            service="agentes",
            step=step,
            kind=programs.CallKind.TOOL,
            key=key,
            **fields,
        )

    def finish(self, grant, answer=b'{"role":"assistant","content":"a"}'):
        """Report the answer of an attempt; return the request's number."""
        usage = programs.Usage(prompt_tokens=12, completion_tokens=3)
        turn = coordination.answered_turn(grant, answer, 200, usage)
        return self.send(
            coordination.FinishAttempt(attempt=grant.attempt, turn=turn)
        )

    def lose(self, grant, sent):
        """Report a failed attempt; return the request's number."""
        return self.send(
            coordination.LoseAttempt(
                attempt=grant.attempt,
                program=grant.program,
                step=grant.step,
                upstream=grant.upstream,
                sent=sent,
            )
        )

    def advance_time(self, seconds):
        """Advance the time in steps, with a tick after each."""
        for _ in range(max(1, int(seconds * 10))):
            self.now += 0.1
            self.owner.tick(self.now)
            self.collect_effects()

    def account(self, program):
        """Return a program's account."""
        return self.fold.program(program, 0).account
