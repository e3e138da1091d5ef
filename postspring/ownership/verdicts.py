"""Verdicts of the fold on log records."""

import enum

__all__ = ["Verdict"]


class Verdict(enum.StrEnum):
    """Whether a record counts, and if not, why.

    Every process that folds the same stream reaches the same verdict.
    """

    COUNTED = "counted"
    DUPLICATE = "duplicate"
    STALE_EPOCH = "stale_epoch"
    STALE_SEQUENCE = "stale_sequence"
    UNKNOWN_PROGRAM = "unknown_program"
    PROGRAM_ENDED = "program_ended"
    PROGRAM_EXISTS = "program_exists"
    NOT_NEXT_STEP = "not_next_step"
    WRONG_PARENT = "wrong_parent"
    KEY_USED = "key_used"
    INTENT_OPEN = "intent_open"
    NO_INTENT = "no_intent"
    OVER_BUDGET = "over_budget"
    NO_BASE = "no_base"
    NOT_A_RECORD = "not_a_record"

    @property
    def counted(self) -> bool:
        """Whether this record or an earlier copy of it took effect."""
        return self in (Verdict.COUNTED, Verdict.DUPLICATE)
