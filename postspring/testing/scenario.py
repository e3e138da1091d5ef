"""The scenario language: steps, parsed by lark, run on a stage.

A scenario is text, a step a line; ``#`` begins a comment.  The virtual stage
runs it on the daemons' core in virtual time, the process stage on real
daemons.  See docs/SCENARIOS.md.
"""

import dataclasses
from typing import Any

import lark

__all__ = [
    "GRAMMAR",
    "Scenario",
    "ScenarioError",
    "ScenarioRun",
    "parse_scenario",
]

GRAMMAR = r"""
start: (step? _NEWLINE)* step?
step: world | program | call | finish | fault | cut | heal | log | tool
    | engine | listing | when | wait | join | settle | publish | declare
    | expect

world: "world" place ("," place)* option*
place: NAME INT
option: NAME "=" value
program: "program" NAME ["on" NAME] ["budget" INT] ["under" NAME]
call: "call" NAME KIND NAME [MODE]
finish: FINISH NAME
fault: FAULT target
?target: "owner" "of" NAME -> owner | NAME -> vm
cut: "cut" NAME "from" NAME
heal: "heal"
log: "log" log_state
?log_state: "down" -> log_down | "up" -> log_up
    | "slow" NUMBER -> log_slow
    | "loses" INT "answers" -> log_loses
    | "drops" INT "appends" -> log_drops
    | "delays" INT "appends" "by" NUMBER -> log_delays
tool: "tool" tool_state
?tool_state: "hangs" -> tool_hangs | "works" -> tool_works
    | "loses" INT "answers" -> tool_loses
engine: "engine" NAME engine_state
?engine_state: "hangs" -> engine_hangs | "works" -> engine_works
    | "dies" INT "times" -> engine_dies
    | "crosses" INT "answers" -> engine_crosses
    | "ignores" INT "orders" -> engine_ignores
    | "skips" "events" "by" NUMBER -> engine_skips
listing: "list" list_state
?list_state: "lags" NUMBER -> list_lags | NAME "leaving" -> list_leaving
when: "when" EVENT [NAME] "then" action ("and" action)*
?action: fault | cut | log | tool
wait: "wait" NUMBER
join: "join" NAME
settle: "settle"
publish: "publish" NAME ["against" INT]
declare: "declare" NAME LOST
expect: "expect" expectation
?expectation: "tool" NAME "ran" HOW -> expect_ran
    | NAME "has" INT "turns" -> expect_turns
    | "last" "of" NAME "is" told -> expect_last
    | NAME "spent" "at" "most" INT -> expect_spent
    | NAME "is" STATUS -> expect_status
    | "configuration" NAME -> expect_configuration
    | NAME "got" INT "calls" -> expect_calls
    | "engines" "hold" "nothing" "of" NAME -> expect_released
told: WORD+

KIND: "model" | "tool"
MODE: "async" | "once"
FINISH: "end" | "cancel"
FAULT: "kill" | "freeze" | "thaw" | "restart" | "shutdown"
EVENT: "intent" | "dispatch" | "commit" | "claim"
LOST: "lost" | "back"
HOW: "once" | "never" | "at most once"
STATUS: "live" | "ended"
WORD: /[a-z_]+/
?value: NUMBER | NAME
NAME: /[a-z][a-z0-9_-]*/
INT: /\d+/
NUMBER: /\d+(\.\d+)?/
COMMENT: /#[^\n]*/
_NEWLINE: /\n/
%ignore /[ \t]+/
%ignore COMMENT
"""

_PARSER = lark.Lark(GRAMMAR, parser="earley", maybe_placeholders=True)


class ScenarioError(AssertionError):
    """A step failed; the text names it and how to replay it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A parsed scenario."""

    text: str
    steps: tuple[lark.Tree, ...]


def parse_scenario(text: str) -> Scenario:
    """Return the scenario in a text.

    Raises
    ------
    ScenarioError
        Naming the line and column that is not understood.
    """
    try:
        tree = _PARSER.parse(text.strip() + "\n")
    except lark.exceptions.UnexpectedInput as error:
        raise ScenarioError(
            f"line {error.line}, column {error.column} is not understood:\n"
            f"{error.get_context(text.strip())}"
        ) from error
    return Scenario(text, tuple(step.children[0] for step in tree.children))


class ScenarioRun:
    """Runs a scenario's steps on a stage.

    Parameters
    ==========

    stage : VirtualStage or ProcessStage
        The deployment.
    scenario : Scenario
        What to do.
    """

    def __init__(self, stage: Any, scenario: Scenario):
        self._stage = stage
        self._scenario = scenario

    def run(self) -> None:
        """Run all steps.

        Raises
        ------
        ScenarioError
            Naming the step, the seed and the text to replay.
        """
        for number, step in enumerate(self._scenario.steps, 1):
            try:
                self._do(step)
            except AssertionError as error:
                raise ScenarioError(
                    f"step {number} ({step.data}): {error}\n"
                    f"replay: {self._stage.replay}\n{self._scenario.text}"
                ) from error

    def _do(self, step: lark.Tree) -> None:
        function = getattr(self, f"_do_{step.data}")
        function(*step.children)

    def _do_world(self, *children: Any) -> None:
        places = {}
        options = {}
        for child in children:
            name, value = child.children
            if child.data == "place":
                places[str(name)] = int(value)
            else:
                options[str(name)] = float(value)
        self._stage.build(places, options)

    def _do_program(self, name, vm, budget, parent) -> None:
        self._stage.create(
            str(name),
            vm and str(vm),
            budget and int(budget),
            parent and str(parent),
        )

    def _do_call(self, name, kind, key, mode) -> None:
        self._stage.call(str(name), str(kind), str(key), str(mode or ""))

    def _do_finish(self, how, name) -> None:
        self._stage.finish(str(name), str(how))

    def _do_fault(self, kind, target) -> None:
        self._stage.fault(str(kind), self._vm(target))

    def _vm(self, target: lark.Tree) -> str:
        name = str(target.children[0])
        return self._stage.owner_of(name) if target.data == "owner" else name

    def _do_cut(self, one, other) -> None:
        self._stage.cut(str(one), str(other))

    def _do_heal(self) -> None:
        self._stage.heal()

    def _do_log(self, state) -> None:
        self._state(state)

    _do_tool = _do_log

    def _do_engine(self, name, state) -> None:
        numbers = [float(child) for child in state.children]
        getattr(self._stage, str(state.data))(str(name), *numbers)

    def _do_listing(self, state) -> None:
        if state.data == "list_lags":
            self._state(state)
        else:
            self._stage.list_leaving(str(state.children[0]))

    def _state(self, state: lark.Tree) -> None:
        numbers = [float(child) for child in state.children]
        getattr(self._stage, str(state.data))(*numbers)

    def _do_when(self, event, name, *actions) -> None:
        subject = str(event) if name is None else f"{event} {name}"

        def act() -> None:
            for action in actions:
                self._do(action)

        self._stage.when(subject, act)

    def _do_wait(self, seconds) -> None:
        self._stage.wait(float(seconds))

    def _do_join(self, name) -> None:
        self._stage.join(str(name))

    def _do_settle(self) -> None:
        faults = self._stage.settle()
        assert not faults, "; ".join(faults)

    def _do_publish(self, name, version) -> None:
        self._stage.publish(str(name), version and int(version))

    def _do_declare(self, data_center, lost) -> None:
        self._stage.declare(str(data_center), str(lost) == "lost")

    def _do_expect(self, expectation) -> None:
        getattr(self, f"_{expectation.data}")(*expectation.children)

    def _expect_ran(self, key, how) -> None:
        count = self._stage.executions(str(key))
        allowed = {"once": (1,), "never": (0,), "at most once": (0, 1)}
        assert count in allowed[str(how)], f"{key} ran {count} times"

    def _expect_turns(self, name, count) -> None:
        found = self._stage.turns(str(name))
        assert found == int(count), f"{name} has {found} turns"

    def _expect_last(self, name, told) -> None:
        expected = " ".join(str(word) for word in told.children)
        found = self._stage.last_told(str(name))
        assert found.startswith(expected), f"last of {name} is {found}"

    def _expect_spent(self, name, most) -> None:
        spent = self._stage.spent(str(name))
        assert spent <= int(most), f"{name} spent {spent}"

    def _expect_status(self, name, status) -> None:
        found = self._stage.status(str(name))
        assert found == str(status), f"{name} is {found}"

    def _expect_configuration(self, change) -> None:
        found = self._stage.changes_in_force()
        assert found == {str(change)}, f"in force: {found}"

    def _expect_calls(self, engine, count) -> None:
        found = self._stage.engine_calls(str(engine))
        assert found == int(count), f"{engine} got {found} calls"

    def _expect_released(self, name) -> None:
        held = self._stage.held_tokens(str(name))
        assert held == 0, f"engines hold {held} tokens of {name}"
