"""Programs and their sub-agents on their way through a load world."""

from collections.abc import Callable
import dataclasses

from postspring.testing.load import programs

__all__ = ["Play", "Turn"]


@dataclasses.dataclass(slots=True)
class Turn:
    """One turn of a program, as a VM gets it.

    Parameters
    ==========

    play : Play
        The program.
    is_first : bool
        No turn of the program has run before.
    """

    play: "Play"
    vm: int
    last_upstream: str
    parts: tuple[tuple[str, int], ...]
    output: int
    done: Callable[[], None] = lambda: None
    is_first: bool = False


class Play:
    """One program on its way.

    Attributes
    ==========

    due : float
        When the program should end, in seconds of virtual time.
    """

    def __init__(self, world, shape: programs.ProgramShape, workspace: str):
        self.world = self._world = world
        self._shape = shape
        self.workspace = workspace
        self._begun = world.clock.now
        self._home = world.home()
        self._whole_idle = shape.idle_seconds(world.idle_seconds)
        aim = shape.kind.aim_factor * self._whole_idle + shape.kind.aim
        self.due = self._begun + aim
        self._idle = 0.0

    def next_vm(self) -> int:
        """Return another VM through which a refused turn comes again."""
        return self._world.vm_for(None, self._home)

    @property
    def id(self) -> str:
        """Id of the program."""
        return self._shape.id

    @property
    def rank(self) -> int:
        """Priority of its calls."""
        return self._shape.kind.rank

    def start(self) -> None:
        """Take the first turn."""
        parts = ((self._shape.shared, self._shape.kind.shared),)
        self._take(0, parts, None, "")

    def _take(self, number, parts, vm, last_upstream) -> None:
        given, output = self._shape.turns[number]
        name = f"{self._shape.id}/{number}"
        parts = (*parts, (name, given))
        turn = Turn(
            self,
            self._world.vm_for(vm, self._home),
            last_upstream,
            parts,
            output,
            is_first=not number,
        )

        def done() -> None:
            self._idle += self._world.idle_seconds(given, output)
            grown = (*parts, (f"{name}+", output))
            self._after(number, grown, turn)

        turn.done = done
        self._world.send(turn)

    def give_up(self) -> None:
        """End before the first turn, as it was refused until too late."""
        self._world.given_up(self._whole_idle)

    def _after(self, number, parts, turn) -> None:
        if number + 1 == len(self._shape.turns):
            seconds = self._world.clock.now - self._begun
            self._world.ended(self._shape, seconds, self._idle)
            return

        def go_on() -> None:
            arguments = (number + 1, parts, turn.vm, turn.last_upstream)
            pause = self._shape.kind.pause
            self._idle += pause
            self._world.clock.call_later(pause, self._take, *arguments)

        helpers = self._shape.helpers.get(number, 0)
        if not helpers:
            go_on()
            return
        left = [helpers]
        idle = [0.0]

        def helped(seconds: float) -> None:
            left[0] -= 1
            idle[0] = max(idle[0], seconds)
            if not left[0]:
                self._idle += idle[0]
                go_on()

        for count in range(helpers):
            name = f"{self._shape.id}/{number}/{count}"
            helper = _Helper(self, self._shape, name, self._home, helped)
            helper.start(parts, turn)


class _Helper:
    """A sub-agent of two turns."""

    def __init__(self, play: Play, shape, name: str, home: int, on_done):
        self._home = home
        self._play = play
        self._world = play.world
        self._shape = shape
        self._name = name
        self._on_done = on_done
        self._idle = 0.0

    def start(self, parts, parent: Turn) -> None:
        """Begin with what the program has said."""
        self._take(0, parts, parent.vm, parent.last_upstream)

    def _take(self, number, parts, vm, last_upstream) -> None:
        kind = self._shape.kind
        given, output = kind.given // 2, kind.generated
        name = f"{self._name}/{number}"
        parts = (*parts, (name, given))
        turn = Turn(
            self._play,
            self._world.vm_for(vm, self._home),
            last_upstream,
            parts,
            output,
        )

        def done() -> None:
            self._idle += self._world.idle_seconds(given, output)
            if number:
                self._on_done(self._idle)
                return
            grown = (*parts, (f"{name}+", output))
            self._take(1, grown, turn.vm, turn.last_upstream)

        turn.done = done
        self._world.send(turn)
