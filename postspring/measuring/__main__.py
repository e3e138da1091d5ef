"""``bin/measure SUBJECT``: run a measurement and print its figures."""

import fire

from postspring.measuring import explore
from postspring.measuring import failover
from postspring.measuring import path

SUBJECTS = {
    "configuration": failover.measure_configuration,
    "explore": explore.explore,
    "failover": failover.measure_failover,
    "idle": path.measure_idle,
    "log": failover.measure_log,
    "path": path.measure_path,
}

if __name__ == "__main__":
    fire.Fire(SUBJECTS, name="bin/measure")
