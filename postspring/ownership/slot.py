"""One slot, as the records that count have made it."""

from typing import Any

from postspring import programs

__all__ = ["SlotState"]


class SlotState:
    """One slot: its owner and epoch, and the programs that live in it."""

    __slots__ = (
        "number",
        "epoch",
        "owner",
        "incarnation",
        "sequence",
        "released",
        "successor",
        "program_by_id",
        "program_by_create_key",
        "established",
        "base_offset",
        "unjudged",
    )

    def __init__(self, number: int):
        self.number = number
        self.epoch = 0
        self.owner: str | None = None
        self.incarnation: str | None = None
        self.sequence = 0
        self.released = False
        self.successor: str | None = None
        self.program_by_id: dict[str, programs.Program] = {}
        self.program_by_create_key: dict[str, str] = {}
        self.established = True
        self.base_offset = 0
        self.unjudged: list[tuple[int, Any]] = []

    def owned_by(self, incarnation: str) -> bool:
        """Return whether that VM incarnation is the owner in force."""
        return (
            self.established
            and not self.released
            and self.incarnation == incarnation
        )

    def tree(self, program_id: str):
        """Yield the program and all the sub-agents below it."""
        program = self.program_by_id[program_id]
        yield program
        for child in program.children:
            yield from self.tree(child)
