"""Takeover, group commit and the spread of configuration, on processes."""

import statistics as standard_statistics
import threading
import time

from postspring import client
from postspring.measuring import statistics
from postspring.testing import probes
from postspring.testing import processes

__all__ = ["measure_configuration", "measure_failover", "measure_log"]


def measure_failover(runs: int = 7) -> None:
    """Time from an owner's SIGKILL to the next answered call."""
    takeovers = []
    plain = []
    for _ in range(runs):
        deployment = processes.Deployment({"rimac": 3}, engines=2)
        try:
            deployment.begin()
            made = client.ProgramClient.create(
                deployment.client(), "agent-models"
            )
            made.ask("advisor", "one")
            began = time.perf_counter()
            made.ask("advisor", "two")
            plain.append(time.perf_counter() - began)
            owner = made.view()["owner"]
            others = [vm for vm in deployment.vm_by_name if vm != owner]
            resumed = client.ProgramClient(
                deployment.client(*others), made.program
            )
            resumed.step = made.step
            resumed.digest = made.digest
            deployment.kill(owner)
            began = time.perf_counter()
            resumed.ask("advisor", "three")
            takeovers.append(time.perf_counter() - began)
        finally:
            deployment.close()
    print(f"call without a failure: s {statistics.describe(plain)}")
    print(f"owner killed to answer: s {statistics.describe(takeovers)}")


def measure_log(
    programs: int = 12, turns: int = 8, delays: tuple = (0.0, 0.01, 0.05)
) -> None:
    """Appends for each turn and program latency, by the batch delay."""

    for delay in delays:
        deployment = processes.Deployment(
            {"rimac": 3}, engines=3, entry_flags={"batch_delay": delay}
        )
        try:
            deployment.begin()
            before = _appends(deployment)
            latencies: list[float] = []

            def run() -> None:
                made = client.ProgramClient.create(
                    deployment.client(), "agent-models"
                )
                began = time.perf_counter()
                for number in range(turns):
                    made.ask("advisor", f"question {number}")
                latencies.append(time.perf_counter() - began)

            threads = [threading.Thread(target=run) for _ in range(programs)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            appends = _appends(deployment) - before
            ratio = appends / (programs * turns)
            print(
                f"batch delay {1000 * delay:.0f} ms: {ratio:.2f} appends a "
                f"turn; program latency s {statistics.describe(latencies)}"
            )
        finally:
            deployment.close()


def _appends(deployment: processes.Deployment) -> int:
    answer = probes.fetch(deployment.platform, "GET", "/statistics")
    return answer["appends"]


def measure_configuration(vms: int = 12, publishes: int = 20) -> None:
    """Time until a configuration is in force on every VM.

    One of the VMs is freshly restarted before each fifth publish.
    """
    deployment = processes.Deployment({"rimac": vms // 2, "surco": vms // 2})
    try:
        deployment.begin()
        latencies = []
        for number in range(publishes):
            if number % 5 == 4:
                name = sorted(deployment.vm_by_name)[0]
                deployment.kill(name)
                deployment.start_vm(name)
            service = deployment.document["services"]["other"]
            service["max_calls"] = 100 + number
            began = time.perf_counter()
            version = deployment.publish(deployment.document)
            for vm in deployment.vm_by_name:
                processes.wait_until(
                    vm, lambda vm=vm: _version(deployment, vm) >= version
                )
            latencies.append(time.perf_counter() - began)
        print(f"in force on {vms} VMs: s {statistics.describe(latencies)}")
        mean = standard_statistics.fmean(latencies)
        print(f"mean {mean:.3f} s over {publishes} publishes")
    finally:
        deployment.close()


def _version(deployment: processes.Deployment, vm: str) -> int:
    return deployment.status(vm)["configuration_version"]
