"""``bin/measure SUBJECT``: run a measurement and print its figures."""

import fire

from postspring.measuring import burst
from postspring.measuring import cut
from postspring.measuring import explore
from postspring.measuring import failover
from postspring.measuring import losses
from postspring.measuring import overload
from postspring.measuring import path
from postspring.measuring import relay
from postspring.measuring import uneven

SUBJECTS = {
    "burst": burst.measure_burst,
    "configuration": failover.measure_configuration,
    "cut": cut.measure_cut,
    "explore": explore.explore,
    "failover": failover.measure_failover,
    "idle": path.measure_idle,
    "log": failover.measure_log,
    "losses": losses.measure_losses,
    "overload": overload.measure_overload,
    "path": path.measure_path,
    "relay": relay.measure_relay,
    "uneven": uneven.measure_uneven,
}

if __name__ == "__main__":
    fire.Fire(SUBJECTS, name="bin/measure")
