"""Single runs and series of them: what is printed, and what is kept."""

import collections
import contextlib
import dataclasses
import pathlib
import shutil
import signal
import sys
import tempfile

from postspring.testing.soak import crashing
from postspring.testing.soak import events as events_module
from postspring.testing.soak import plan as plan_module
from postspring.testing.soak import records
from postspring.testing.soak import stage as stage_module
from postspring.testing.soak import verdict as verdict_module
from postspring.testing.soak import world as world_module

__all__ = ["Outcome", "play", "run", "run_series"]

DEFAULT_FOLDER = "run/soak"
# Findings printed with all their lines; the rest is in the folder.
PRINTED = 10


class Outcome:
    """A run that was played and judged."""

    def __init__(self, seed: int, folder: pathlib.Path, lines):
        self.seed = seed
        self.folder = folder
        self.lines = lines
        self.verdict = verdict_module.judge(
            lines.attempts,
            lines.runs,
            lines.events,
            leaves=lines.leaves,
        )
        self.counts = collections.Counter(
            event.action for event in lines.events
        )
        crashes = sum(run.end == crashing.CRASHED for run in lines.runs)
        if crashes:
            self.counts["crash"] = crashes
        breaks = sum(run.is_early for run in lines.runs)
        if breaks:
            self.counts["break"] = breaks
        if lines.leaves:
            self.counts["leave"] = len(lines.leaves)
        self.rules = collections.Counter(
            finding.rule for finding in self.verdict.findings
        )

    def summary(self) -> str:
        """Return the one line that tells the run."""
        attempts = self.lines.attempts
        turns = sum(a.kind is records.Kind.TURN for a in attempts)
        good = sum(
            a.end is records.End.WHOLE and a.status == 200 for a in attempts
        )
        done = ", ".join(f"{n} {a}" for a, n in sorted(self.counts.items()))
        history = events_module.History(self.lines.events)
        longest = max(history.stop_seconds(), default=0.0)
        found = dict(self.rules) or "none"
        return (
            f"seed {self.seed}: {len(attempts)} requests, {turns} turns,"
            f" {good} good; {done}; longest stop {longest:.1f} s;"
            f" findings: {found};"
            f" notes: {dict(sorted(self.verdict.notes.items()))}"
        )

    def details(self) -> list[str]:
        """Return each finding with the lines of its request."""
        texts = []
        for finding in self.verdict.findings[:PRINTED]:
            texts.append(f"{finding.rule} {finding.request}: {finding.text}")
            texts.extend(
                f"    {record}"
                for record in [*self.lines.attempts, *self.lines.runs]
                if record.id == finding.request
            )
        return texts


def play(
    seed: int,
    seconds: float,
    profile: str,
    shape: world_module.Shape,
    folder: pathlib.Path,
    burners: int = 0,
    stalls: int = 0,
) -> Outcome:
    """Play one run in a folder and judge it."""
    folder.mkdir(parents=True)
    chosen = plan_module.PROFILES[profile]
    shape = dataclasses.replace(
        shape,
        leaves=chosen.leaves,
        crashes=chosen.crashes,
        breaks=chosen.breaks,
        endless=chosen.endless,
    )
    network, claim = world_module.claim_network()
    world = world_module.build_world(
        shape, seed, str(folder.resolve()), network
    )
    steps = plan_module.draw_plan(seed, chosen, seconds, shape.vms)
    with contextlib.closing(claim):
        stage = stage_module.Stage(world, burners, stalls)
        return Outcome(seed, folder, stage.play(steps, seconds))


def run(
    seed: int = 1,
    seconds: float = 60.0,
    profile: str = "stops",
    vms: int = 11,
    users: int = 80,
    burners: int = 0,
    stalls: int = 0,
    half_close: float = 0.0,
    keep: str = DEFAULT_FOLDER,
) -> None:
    """Play one run; exit with 1 if a rule was broken."""
    shape = world_module.Shape(vms=vms, users=users, half_close=half_close)
    outcome = _run(seed, seconds, profile, shape, burners, stalls, keep)
    sys.exit(1 if outcome.verdict.findings else 0)


def run_series(
    seeds: str,
    seconds: float = 60.0,
    profile: str = "stops",
    vms: int = 11,
    users: int = 80,
    burners: int = 0,
    stalls: int = 0,
    half_close: float = 0.0,
    keep: str = DEFAULT_FOLDER,
) -> None:
    """Play runs one after another; ``seeds`` is FIRST-LAST."""
    first, _, last = str(seeds).partition("-")
    counts = collections.Counter()
    rules = collections.Counter()
    shape = world_module.Shape(vms=vms, users=users, half_close=half_close)
    runs = range(int(first), int(last or first) + 1)
    for seed in runs:
        outcome = _run(seed, seconds, profile, shape, burners, stalls, keep)
        counts.update(outcome.counts, requests=len(outcome.lines.attempts))
        rules.update(outcome.rules)
    done = ", ".join(f"{n} {a}" for a, n in sorted(counts.items()))
    print(f"{len(runs)} runs: {done}; findings: {dict(rules) or 'none'}")
    sys.exit(1 if rules else 0)


def _run(seed, seconds, profile, shape, burners, stalls, keep) -> Outcome:
    # Told to end, a run ends its processes first.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
    name = f"{profile}-{seed}-"
    folder = pathlib.Path(tempfile.mkdtemp(prefix=name, dir=keep), "run")
    outcome = play(seed, seconds, profile, shape, folder, burners, stalls)
    print(outcome.summary(), flush=True)
    if outcome.verdict.findings:
        print("\n".join(outcome.details()))
        print(f"kept in {folder}", flush=True)
    else:
        shutil.rmtree(folder.parent)
    return outcome
