"""Load: engines, programs and many VMs' decisions, without a network."""

from postspring.testing.load.engine import BatchingEngine
from postspring.testing.load.engine import EngineShape
from postspring.testing.load.engine import Job
from postspring.testing.load.programs import draw_program
from postspring.testing.load.programs import ProgramKind
from postspring.testing.load.programs import ProgramShape
from postspring.testing.load.shapes import LoadReport
from postspring.testing.load.shapes import WorldShape
from postspring.testing.load.unevenness import DemandSwing
from postspring.testing.load.unevenness import SlowPeriods
from postspring.testing.load.unevenness import Unevenness
from postspring.testing.load.world import LoadWorld

__all__ = [
    "BatchingEngine",
    "DemandSwing",
    "EngineShape",
    "Job",
    "LoadReport",
    "LoadWorld",
    "ProgramKind",
    "ProgramShape",
    "SlowPeriods",
    "Unevenness",
    "WorldShape",
    "draw_program",
]
