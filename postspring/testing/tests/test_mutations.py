"""Each mechanism is needed: without it, a scenario fails.

Every test here takes one rule out of the code and checks that the named
scenario then fails under some seed.
"""

import contextlib
import logging
import pathlib
import unittest
from unittest import mock

from postspring import configuration
from postspring.coordination import attempt_flow
from postspring.coordination import call_flow
from postspring.coordination import lifecycle
from postspring.coordination import turn_flow
from postspring.entry import core
from postspring.entry import relayed_log
from postspring import ownership
from postspring.ownership import fold
from postspring.testing import exploration
from postspring.testing import scenario
from postspring.testing.virtual import stage

DIRECTORY = pathlib.Path(__file__).with_name("scenarios")
SEEDS = range(1, 9)


class MutationTest(unittest.TestCase):
    """Rules taken out one at a time."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def assert_found(self, patch, *names, explore=()):
        """Check that a scenario fails while the patch is on."""
        texts = [
            (DIRECTORY / f"{name}.scenario").read_text() for name in names
        ]
        runs = [(text, seed) for text in texts for seed in SEEDS]
        runs += [(exploration.random_scenario(seed), seed) for seed in explore]
        with patch:
            for text, seed in runs:
                try:
                    stage.run_virtual(text, seed)
                except (scenario.ScenarioError, ValueError):
                    return
        self.fail("no scenario noticed")

    def test_dispatch_before_the_intent_counts(self):
        original = call_flow.CallFlow._append_intent

        def hasty(flow, state, call, now):
            original(flow, state, call, now)
            if state.active is call:
                call.intent = (1, 1)
                flow._context.attempts.submit(state, call, now)

        self.assert_found(
            mock.patch.object(call_flow.CallFlow, "_append_intent", hasty),
            "owner_killed_before_intent",
            "append_takes_effect_late",
            "log_down",
            "owner_killed_after_intent",
        )

    def test_a_new_owner_takes_an_open_intent_for_its_own(self):
        original = call_flow.CallFlow._intent_cleared

        def forgetful(flow, state, call, now):
            intent = state.program.open_intent
            if intent is not None and intent.key == call.message.key:
                call.intent = (intent.epoch, intent.sequence)
                del state.queue_by_step[call.message.step]
                state.active = call
                flow._context.attempts.submit(state, call, now)
                return False
            return original(flow, state, call, now)

        self.assert_found(
            mock.patch.object(
                call_flow.CallFlow, "_intent_cleared", forgetful
            ),
            "owner_killed_after_dispatch",
        )

    def test_no_parent_check(self):
        original = fold._apply_turn

        def rootless(slot, record):
            program = slot.program_by_id.get(record.program)
            if program is None or not program.live:
                return original(slot, record)
            if record.step <= program.head.step:
                return original(slot, record)
            program.add_turn(record)
            return ownership.Verdict.COUNTED

        self.assert_found(
            mock.patch.dict(fold._RULE_BY_TYPE, {ownership.Turn: rootless}),
            "held_turn_survives_its_owner",
            "data_centre_cut_off",
            "receipt_alone_saves_a_held_turn",
            "owner_killed_after_intent",
            explore=range(40),
        )

    def test_the_answer_goes_out_before_the_log_has_it(self):
        original = turn_flow.TurnFlow.commit

        def hasty(flow, state, turn, waiters, now):
            original(flow, state, turn, waiters, now)
            pending = state.pending_turn(turn.digest)
            if pending is None:
                return
            for to in pending.waiters:
                flow._context.reply(
                    to, call_flow.messages.CallAnswered(turn=turn)
                )
            pending.waiters = []

        self.assert_found(
            mock.patch.object(turn_flow.TurnFlow, "commit", hasty),
            "log_slow",
            "kill_and_outage",
            explore=range(80),
        )

    def test_a_lost_answer_is_taken_for_a_refused_connection(self):
        original = attempt_flow.AttemptFlow.attempt_lost

        def careless(flow, state, call, sent, reason, now):
            original(flow, state, call, False, reason, now)

        self.assert_found(
            mock.patch.object(
                attempt_flow.AttemptFlow, "attempt_lost", careless
            ),
            "tool_answer_lost",
        )

    def test_the_budget_is_not_checked(self):
        self.assert_found(
            mock.patch(
                "postspring.budgets.Account.fits", lambda self, amount: True
            ),
            "budget_and_takeover",
        )

    def test_copies_are_not_kept(self):
        self.assert_found(
            mock.patch.object(
                core.EntryCore, "_copy_turn", lambda core, turn: None
            ),
            "held_turn_survives_its_owner",
            explore=(637, 747, 859, 1173, 1440),
        )

    def test_configuration_is_not_compared(self):
        def lax(state, offset, record):
            return state._put_in_force(offset, record)

        self.assert_found(
            mock.patch.object(
                configuration.ConfigurationFold, "_check_and_apply", lax
            ),
            "operators_race",
        )

    def test_caches_are_not_released(self):
        with contextlib.ExitStack() as stack:
            for owner, name in (
                (lifecycle.ProgramLifecycle, "release_caches"),
                (core.cache_keeper.CacheKeeper, "_release_strays"),
            ):
                stack.enter_context(
                    mock.patch.object(owner, name, lambda *arguments: None)
                )
            self.assert_found(
                contextlib.nullcontext(), "memory_released_at_the_end"
            )

    def test_strays_are_not_looked_for(self):
        self.assert_found(
            mock.patch.object(
                core.cache_keeper.CacheKeeper,
                "_release_strays",
                lambda keeper, host: None,
            ),
            "release_orders_lost",
        )

    def test_the_log_is_not_relayed(self):
        self.assert_found(
            mock.patch.object(
                relayed_log.RelayedLogClient,
                "_relay",
                lambda client, message, wait, done, error: error(
                    relayed_log.errors.PlatformError("not relayed")
                ),
            ),
            "one_vm_cut_from_the_platform",
        )


class ExplorationTest(unittest.TestCase):
    """Random scenarios; bin/explore runs thousands."""

    SEEDS = range(9000, 9060)

    def test_random_scenarios(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                stage.run_virtual(exploration.random_scenario(seed), seed)
