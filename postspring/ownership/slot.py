"""State of a slot, as changed by the records that count."""

from typing import Any

from postspring import programs

__all__ = ["SlotState"]


class SlotState:
    """A slot: its owner and epoch, and the programs assigned to it."""

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
        """Return whether that VM incarnation is the current owner."""
        return (
            self.established
            and not self.released
            and self.incarnation == incarnation
        )

    def tree(self, program_id: str):
        """Yield the program and all its descendants."""
        program = self.program_by_id[program_id]
        yield program
        for child in program.children:
            yield from self.tree(child)
