"""Findings of a run, from what callers and upstreams saw alone."""

import bisect
import collections
from collections.abc import Sequence
import dataclasses
import math

from postspring.testing.soak import crashing
from postspring.testing.soak import events as events_module
from postspring.testing.soak import leaving
from postspring.testing.soak import records
from postspring.testing.soak import world

__all__ = ["Bounds", "Finding", "Verdict", "judge"]

# Answers that promise: not run, and never will be.
PROMISES = frozenset({402, 408, 421, 429, 503})
NO_SUCH_TURN = frozenset({404, 410})
# Closings of kept connections that the rule allows in a run.
ALLOWED_CLOSINGS = 3
# Requests that may run on more upstreams than their route allows.
ALLOWED_OVER_BUDGET = 3
# Tries of a turn that have to reach an upstream.
TRIES = 5
# Refusals of one's own that are allowed: so many, and one in so many.
ALLOWED_DENIALS = 5
DENIAL_SHARE = 500
# Over a workspace's limit may be run: so much of it, and so many requests
# more, in any span of so many seconds.
LIMIT_OVER = 0.1
LIMIT_SLACK = 20
LIMIT_SPAN = 5.0
# An end this near to the deadline counts as at it, in seconds.
DEADLINE_SLACK = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The rules' figures, in seconds.

    Parameters
    ==========

    slack : float
        An end sooner than this after the last byte isn't counted, if no
        upstream had the request.
    retention : float
        For so long a turn that was answered can be gone on from.
    upstreams : int
        On so many upstreams a request may run.
    crashes : int
        So many upstreams may crash under a request.
    timeout_by_kind : dict
        Longest time that the routes keep a request.
    limit_by_workspace : dict
        Requests in any span, before what is allowed over it.
    drain : float
        Within this an upstream that leaves is left alone.
    """

    slack: float = 0.2
    retention: float = 60.0
    drain: float = world.BOUNDS["drain_ms"] / 1000
    upstreams: int = 3
    crashes: int = 3
    timeout_by_kind: dict = dataclasses.field(
        default_factory=lambda: {
            records.Kind.SAFE: 2.0,
            records.Kind.UNSAFE: 6.0,
            records.Kind.TURN: 5.0,
        }
    )
    limit_by_workspace: dict = dataclasses.field(
        default_factory=lambda: {
            world.LIMITED_WORKSPACE: world.LIMIT_RATE * LIMIT_SPAN
            + world.LIMIT_BURST
        }
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A rule that was broken, by which request."""

    rule: str
    request: str
    text: str


@dataclasses.dataclass(slots=True)
class Verdict:
    """What was found.

    Parameters
    ==========

    notes : Counter
        What is no finding, but worth a look, by its name.
    """

    findings: list[Finding] = dataclasses.field(default_factory=list)
    notes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    noted: list[Finding] = dataclasses.field(default_factory=list)

    def add(self, rule: str, request: str, text: str) -> None:
        """Take a finding."""
        self.findings.append(Finding(rule, request, text))

    def note(self, name: str, request: str = "", text: str = "") -> None:
        """Count something that is no finding."""
        self.notes[name] += 1
        if request:
            self.noted.append(Finding(name, request, text))


def judge(
    attempts: list[records.Attempt],
    runs: list[records.Run],
    events: list[events_module.Event],
    bounds: Bounds | None = None,
    leaves: Sequence[leaving.Leave] = (),
) -> Verdict:
    """Return the findings in the lines of a run."""
    run = _Judgement(
        attempts,
        {item.key: item for item in runs}.values(),
        events_module.History(events),
        bounds or Bounds(),
        leaves,
    )
    run.judge()
    return run.verdict


class _Judgement:
    """The lines of one run, by request."""

    def __init__(self, attempts, runs, history, bounds: Bounds, leaves):
        self.verdict = Verdict()
        self._attempts = attempts
        self._history = history
        self._bounds = bounds
        self._leaves = leaves
        self._by_id = {attempt.id: attempt for attempt in attempts}
        self._runs = list(runs)
        self._runs_by_id = collections.defaultdict(list)
        for run in self._runs:
            if run.ran:
                self._runs_by_id[run.id].append(run)

    def judge(self) -> None:
        """Go through all rules."""
        for attempt in self._attempts:
            runs = self._runs_by_id.get(attempt.id, [])
            self._judge_repeats(attempt, runs)
            if attempt.end is records.End.WHOLE:
                self._judge_answer(attempt, runs)
            elif attempt.end is records.End.SURPLUS:
                text = f"{attempt.size} bytes of no answer, {attempt.vm}"
                self.verdict.add("MIXED", attempt.id, text)
            elif attempt.end in records.BROKEN_ENDS:
                self._judge_broken(attempt, runs)
            else:
                name = f"{attempt.end}{'_slowly' if attempt.slow else ''}"
                self.verdict.note(name, attempt.id, attempt.vm)
        self._judge_runs()
        self._judge_denials()
        self._judge_tries()
        self._judge_counts()
        self._judge_limits()
        self._judge_leaves()
        self._judge_crashes()
        for event in self._history.events:
            if event.action == "own_end":
                text = f"{event.vm} ended with status {event.status}"
                self.verdict.add("PROCESS", event.vm, text)

    # -- single requests ------------------------------------------------------

    def _judge_repeats(self, attempt, runs) -> None:
        if attempt.kind is not records.Kind.SAFE and len(runs) > 1:
            where = ", ".join(run.upstream for run in runs)
            self.verdict.add("TWICE", attempt.id, f"ran at {where}")

    def _judge_answer(self, attempt, runs) -> None:
        status = attempt.status
        if not attempt.workspace and 200 <= status < 300:
            text = f"{status} from {attempt.vm} with a key that nobody holds"
            self.verdict.add("ROUTE", attempt.id, text)
        if status in PROMISES and not attempt.seal:
            self.verdict.note(f"refused_{status}")
            if runs and attempt.kind is not records.Kind.SAFE:
                text = f"{status}, and ran at {runs[0].upstream}"
                self.verdict.add("REFUSED", attempt.id, text)
        elif status in NO_SUCH_TURN and attempt.previous_ended:
            age = attempt.ended - attempt.previous_ended
            if age < self._bounds.retention:
                text = f"{status} from {attempt.vm}, {age:.1f} s after it"
                self.verdict.add("LOST turn", attempt.id, text)
        elif 200 <= status < 300:
            self._judge_success(attempt, runs)
        else:
            self.verdict.note(f"status_{status}", attempt.id, attempt.vm)
            self._judge_failure(attempt, runs)

    def _judge_success(self, attempt, runs) -> None:
        run = next(
            (run for run in runs if attempt.seal == f"{run.key}.{run.id}"),
            None,
        )
        if run is None:
            text = f"seal {attempt.seal!r} is of no run of it"
            self.verdict.add("MIXED", attempt.id, text)
        elif run.answer != attempt.answer or run.end != "whole":
            text = f"another body than {run.upstream} gave ({run.end})"
            self.verdict.add("MIXED", attempt.id, text)

    def _judge_failure(self, attempt, runs) -> None:
        """Judge an answer of the VM's own to a request that ran."""
        if attempt.seal or not any(run.is_early for run in runs):
            return
        is_disturbed = self._history.is_disturbed(attempt.sent, attempt.ended)
        is_late = attempt.ended >= attempt.deadline - DEADLINE_SLACK
        if runs[-1].end == "whole" and not is_disturbed and not is_late:
            text = f"{attempt.status}, and {runs[-1].upstream} answered whole"
            self.verdict.add("REPLACED", attempt.id, text)

    def _judge_broken(self, attempt, runs) -> None:
        """Judge a connection that ended with the request unanswered."""
        begun = [run for run in runs if run.began <= attempt.ended]
        since = attempt.ended - attempt.sent
        work = self._history.planned_work(
            attempt.vm, attempt.sent, attempt.ended
        )
        text = (
            f"{attempt.end} {since:.3f} s after its last byte at"
            f" {attempt.vm}, use {attempt.use}, {len(begun)} runs,"
            f" around {work or 'nothing planned'}"
        )
        if self._is_excluded(attempt, begun):
            self.verdict.note("excluded", attempt.id, text)
        elif not begun and since <= self._bounds.slack:
            self.verdict.note("crossed", attempt.id, text)
        elif self._history.is_disturbed(attempt.sent, attempt.ended):
            self.verdict.note("cut_in_disruption", attempt.id, text)
        elif work:
            self.verdict.add("LOST around work", attempt.id, text)
        else:
            self.verdict.note("cut", attempt.id, text)

    def _is_excluded(self, attempt, runs) -> bool:
        if any(run.end == "broke_off" for run in runs):
            return True
        timeout = self._bounds.timeout_by_kind[attempt.kind]
        end = min(attempt.deadline, attempt.sent + timeout)
        if attempt.ended >= end - DEADLINE_SLACK:
            return True
        stop = self._history.stop_of(attempt.vm, attempt.ended)
        if stop is None or attempt.sent > stop.at + 3:
            return False
        late = stop.at + self._history.grace * 5 / 6
        return any(run.ended >= late or not run.end for run in runs)

    # -- over all requests ----------------------------------------------------

    def _judge_runs(self) -> None:
        for run in self._runs:
            attempt = self._by_id.get(run.id)
            if attempt is None:
                self.verdict.add("UNASKED", run.id, f"ran at {run.upstream}")
            elif not run.is_early and run.body != attempt.expected:
                text = f"{run.upstream} got another body"
                self.verdict.add("UNASKED", run.id, text)
            if run.has_key:
                text = f"{run.upstream} was given the caller's key"
                self.verdict.add("UNASKED", run.id, text)
            if attempt is not None and run.ran:
                self._judge_workspace(attempt, run)

    def _judge_workspace(self, attempt, run) -> None:
        if not attempt.workspace:
            text = f"ran at {run.upstream} with a key that nobody holds"
            self.verdict.add("ROUTE", run.id, text)
        elif run.workspace != attempt.workspace:
            text = f"{attempt.workspace}'s, told as {run.workspace!r}'s"
            self.verdict.add("UNASKED", run.id, text)

    def _judge_limits(self) -> None:
        for workspace, limit in self._bounds.limit_by_workspace.items():
            most = limit * (1 + LIMIT_OVER) + LIMIT_SLACK
            began = sorted(
                run.began
                for run in self._runs
                if run.ran and run.workspace == workspace
            )
            fullest = 0
            for number, moment in enumerate(began):
                last = bisect.bisect_left(began, moment + LIMIT_SPAN)
                fullest = max(fullest, last - number)
            if fullest > most:
                text = f"{fullest} runs in {LIMIT_SPAN} s, {limit} allowed"
                self.verdict.add("QUOTA", workspace, text)

    def _judge_leaves(self) -> None:
        late_runs = leaving.late_runs(
            self._leaves, self._runs, self._history, self._bounds.drain
        )
        for run, late in late_runs:
            text = f"reached {run.upstream} {late:.3f} s after it left"
            self.verdict.add("DRAIN", run.id, text)

    def _judge_crashes(self) -> None:
        crashes = crashing.crashes_by_work(self._attempts, self._runs)
        for work, crashed in crashes:
            if len(crashed) > self._bounds.crashes:
                text = f"crashed {', '.join(crashed)}"
                self.verdict.add("CRASHES", work, text)

    def _judge_denials(self) -> None:
        denied = [
            attempt
            for attempt in self._attempts
            if attempt.end is records.End.WHOLE
            and not attempt.seal
            and 300 <= attempt.status < 500
            and attempt.status not in PROMISES
            and attempt.workspace
        ]
        allowed = ALLOWED_DENIALS + len(self._attempts) / DENIAL_SHARE
        if len(denied) > allowed:
            for attempt in denied:
                text = f"{attempt.status} from {attempt.vm}"
                self.verdict.add("DENIED", attempt.id, text)

    def _judge_tries(self) -> None:
        """Judge turns that reached no upstream in all their tries."""
        tries_by_work = collections.defaultdict(list)
        for attempt in self._attempts:
            if attempt.kind is records.Kind.TURN and attempt.previous_ended:
                tries_by_work[attempt.work].append(attempt)
        final = self._history.final_fault()
        recovered = final + self._history.recovery if final else math.inf
        for tries in tries_by_work.values():
            if any(self._runs_by_id.get(attempt.id) for attempt in tries):
                continue
            self.verdict.note("turn_reached_nobody")
            self._judge_vain_tries(tries, recovered)

    def _judge_vain_tries(self, tries, recovered: float) -> None:
        counted = [
            attempt
            for attempt in tries
            if self._history.is_in_touch(attempt.vm, attempt.ended)
        ]
        if len(counted) >= TRIES:
            self.verdict.add("LOST tries", tries[-1].id, _told(counted))
        elif tries[0].began > recovered and not self._history.is_disturbed(
            tries[0].began, tries[-1].ended
        ):
            self.verdict.add("LOST final", tries[-1].id, _told(tries))

    def _judge_counts(self) -> None:
        """Judge what may happen a few times in a run."""
        closed = [
            attempt
            for attempt in self._attempts
            if attempt.use
            and attempt.end in (records.End.CLOSED, records.End.RESET)
            and self._runs_by_id.get(attempt.id)
            and self._history.is_in_touch(attempt.vm, attempt.ended)
        ]
        if len(closed) > ALLOWED_CLOSINGS:
            for attempt in closed:
                self.verdict.add("LOST kept", attempt.id, attempt.vm)
        most = self._bounds.upstreams
        over = [
            name for name, runs in self._runs_by_id.items() if len(runs) > most
        ]
        if len(over) > ALLOWED_OVER_BUDGET:
            for name in over:
                text = f"ran {len(self._runs_by_id[name])} times"
                self.verdict.add("BUDGET", name, text)


def _told(tries: list[records.Attempt]) -> str:
    """Return where a turn was tried and what came."""
    return ", ".join(
        f"{attempt.vm} {attempt.status or attempt.end}" for attempt in tries
    )
