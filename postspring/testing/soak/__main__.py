"""``bin/soak``: seeded runs of real daemons; also its own processes."""

import fire

from postspring.testing.soak import programs
from postspring.testing.soak import report
from postspring.testing.soak import store_process
from postspring.testing.soak import upstream_process
from postspring.testing.soak import world as world_module


def store(path: str) -> None:
    """Serve the store of a run."""
    world = world_module.World.load(path)
    store_process.run_store(world.store, world.control, world.seed)


def upstreams(path: str, service: str) -> None:
    """Serve with the upstreams of a service."""
    upstream_process.run_upstreams(path, service)


def callers(path: str, seconds: float) -> None:
    """Be all callers for some time."""
    programs.run_callers(path, float(seconds))


def burn() -> None:
    """Use processor time, and nothing else, until ended."""
    while True:
        pass


COMMANDS = {
    "run": report.run,
    "series": report.run_series,
    "store": store,
    "upstreams": upstreams,
    "callers": callers,
    "burn": burn,
}

if __name__ == "__main__":
    fire.Fire(COMMANDS, name="bin/soak")
