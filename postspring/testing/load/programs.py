"""Agent programs as engines meet them, drawn from a seed."""

from collections.abc import Callable
import dataclasses
import random

__all__ = ["ProgramKind", "ProgramShape", "draw_program"]


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramKind:
    """A kind of program; times in seconds.

    Parameters
    ==========

    turns : float
        Turns of its line, on average.
    given, generated : int
        Tokens of a turn's new input and of its answer, on average.
    fan : float
        Share of turns after which sub-agents start.
    aim_factor, aim : float
        It is on time within so many times its time on idle engines, and so
        many seconds more.
    rank : int
        Priority of its calls; 0 comes first.
    """

    name: str
    per_second: float
    turns: float
    given: int
    generated: int
    fan: float
    aim_factor: float
    aim: float
    width: int = 5
    shared: int = 512
    pause: float = 0.08
    rank: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramShape:
    """One program.

    Parameters
    ==========

    turns : tuple of (int, int)
        Tokens of input and of answer of each turn.
    helpers : dict
        After which turn how many sub-agents of two turns each start.
    """

    id: str
    kind: ProgramKind
    turns: tuple[tuple[int, int], ...]
    helpers: dict[int, int]
    shared: str

    def idle_seconds(self, turn_seconds: Callable[[int, int], float]) -> float:
        """Return the program's duration on idle engines.

        Parameters
        ----------
        turn_seconds : callable
            Returns the duration of a turn with so many tokens of input and of
            answer.
        """
        kind = self.kind
        seconds = sum(turn_seconds(*turn) for turn in self.turns)
        seconds += kind.pause * (len(self.turns) - 1)
        helper = 2 * turn_seconds(kind.given // 2, kind.generated)
        return seconds + helper * len(self.helpers)


def draw_program(
    draw: random.Random, kind: ProgramKind, number: int
) -> ProgramShape:
    """Return a program of a kind."""

    def about(mean: float) -> int:
        return max(1, int(draw.gammavariate(3.0, mean / 3.0)))

    count = max(1, round(draw.gauss(kind.turns, 0.4 * kind.turns)))
    turns = tuple(
        (about(kind.given), about(kind.generated)) for _ in range(count)
    )
    helpers = {
        turn: max(1, round(draw.gauss(kind.width, 0.3 * kind.width)))
        for turn in range(count - 1)
        if draw.random() < kind.fan
    }
    shared = f"{kind.name}-{draw.randrange(3)}"
    return ProgramShape(f"{kind.name}-{number}", kind, turns, helpers, shared)
