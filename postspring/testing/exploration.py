"""Random scenarios: programs and faults drawn from a seed."""

import random

__all__ = ["random_scenario"]

STEPS = 14
WAITS = (0.01, 0.05, 0.3, 1.0, 3.0, 6.0)


class _Draw:
    """Draws the steps of one scenario."""

    def __init__(self, seed: int):
        self._chance = random.Random(seed)
        self._calls = 0
        self._programs: list[str] = []
        self.lines: list[str] = []

    def scenario(self) -> str:
        """Return the text of a scenario."""
        chance = self._chance
        budget = chance.choice(("", "", " budget 700"))
        second = chance.choice((1, 2))
        self.lines.append(f"world rimac 3, surco {second}")
        for name, vm in (("p", "rimac-1"), ("q", "surco-1")):
            self._programs.append(name)
            self.lines.append(f"program {name} on {vm}{budget}")
        self.lines.append("program a under p")
        self._programs.append("a")
        for name in self._programs:
            self._call(name)
        drawn = (
            self._any_call,
            self._any_call,
            self._vm_fault,
            self._trigger,
            self._log_fault,
            self._cut,
            self._upstream_fault,
            self._wait,
            self._end,
        )
        for _ in range(STEPS):
            chance.choice(drawn)()
        self.lines.append("settle")
        return "\n".join(self.lines) + "\n"

    def _call(self, name: str) -> None:
        self._calls += 1
        kind = self._chance.choice(("model", "tool", "tool"))
        mode = self._chance.choice(("async", "async", "async", "once"))
        self.lines.append(f"call {name} {kind} c{self._calls} {mode}")

    def _any_call(self) -> None:
        self._call(self._chance.choice(self._programs))

    def _target(self) -> str:
        vms = ("rimac-1", "rimac-2", "rimac-3", "surco-1")
        if self._chance.random() < 0.5:
            return "owner of " + self._chance.choice(self._programs)
        return self._chance.choice(vms)

    def _fault(self) -> str:
        kind = self._chance.choice(("kill", "freeze", "restart", "shutdown"))
        return f"{kind} {self._target()}"

    def _vm_fault(self) -> None:
        vm = self._chance.choice(("rimac-1", "rimac-2", "surco-1"))
        after = self._chance.choice(("thaw", "restart"))
        before = {"thaw": "freeze", "restart": "kill"}[after]
        self.lines.append(f"{before} {vm}")
        self.lines.append(f"wait {self._chance.choice(WAITS)}")
        self.lines.append(f"{after} {vm}")

    def _trigger(self) -> None:
        event = self._chance.choice(("intent", "dispatch", "commit"))
        vm = self._chance.choice(("rimac-1", "rimac-2", "surco-1"))
        kind = self._chance.choice(("kill", "freeze"))
        key = f"c{self._calls + 1}"
        self.lines.append(f"when {event} {key} then {kind} {vm}")
        self._any_call()
        self.lines.append(f"wait {self._chance.choice(WAITS)}")
        back = "thaw" if kind == "freeze" else "restart"
        self.lines.append(f"{back} {vm}")

    def _log_fault(self) -> None:
        self.lines.append(
            self._chance.choice(
                (
                    "log down",
                    "log up",
                    "log up",
                    "log slow 0.8",
                    "log loses 2 answers",
                    "log drops 2 appends",
                    "log delays 1 appends by 4",
                )
            )
        )

    def _cut(self) -> None:
        self.lines.append(
            self._chance.choice(
                (
                    "cut surco from platform",
                    "cut surco from rimac",
                    "cut rimac-1 from rimac-2",
                    "cut rimac-1 from platform",
                    "cut callers from rimac-2",
                    "heal",
                    "heal",
                )
            )
        )

    def _upstream_fault(self) -> None:
        self.lines.append(
            self._chance.choice(
                (
                    "engine engine-1 dies 1 times",
                    "engine engine-2 crosses 1 answers",
                    "engine engine-1 hangs",
                    "engine engine-1 works",
                    "tool hangs",
                    "tool works",
                    "tool loses 1 answers",
                )
            )
        )

    def _end(self) -> None:
        if self._chance.random() < 0.3:
            how = self._chance.choice(("end", "cancel"))
            name = self._chance.choice(self._programs)
            self.lines.append(f"{how} {name}")

    def _wait(self) -> None:
        self.lines.append(f"wait {self._chance.choice(WAITS)}")


def random_scenario(seed: int) -> str:
    """Return the text of a random scenario; the same for the same seed.

    Examples
    --------
    >>> random_scenario(1) == random_scenario(1)
    True
    """
    return _Draw(seed).scenario()
