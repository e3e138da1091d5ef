"""What the request path costs, and an idle VM."""

import http.client
import json
import time

from postspring import client
from postspring.measuring import load
from postspring.measuring import statistics
from postspring.testing import processes

__all__ = ["measure_idle", "measure_path"]


def _get(path: str):
    def request(connection: http.client.HTTPConnection, number: int) -> None:
        connection.request("GET", path)
        response = connection.getresponse()
        response.read()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")

    return request


def _post_step(path: str):
    """Return a request that asks for an answered step again."""
    body = json.dumps(
        {
            "kind": "model",
            "target": "advisor",
            "messages": [{"role": "user", "content": "hello"}],
            "step": 1,
        }
    )

    def request(connection: http.client.HTTPConnection, number: int) -> None:
        connection.request("POST", path, body)
        response = connection.getresponse()
        response.read()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")

    return request


def measure_path(count: int = 400, repeats: int = 5) -> None:
    """Compare the path through two VMs with a bare circuits.web answer.

    A call's first answer is asked for again through a VM that does not own
    its program, so each request crosses two VMs and no engine.  Both are
    asked one at a time, in turn, in the same run.
    """
    deployment = processes.Deployment({"rimac": 2})
    try:
        deployment.begin()
        program = client.ProgramClient.create(
            deployment.client("rimac-1"), "agent-models"
        )
        program.ask("advisor", "hello")
        owner = program.view()["owner"]
        other = next(vm for vm in deployment.vm_by_name if vm != owner)
        call = _post_step(f"/v1/programs/{program.program}/calls")
        paths = {
            "bare circuits.web answer": (
                deployment.address_by_upstream["service-1"],
                _get("/served"),
            ),
            "through the owner alone": (
                deployment.vm_by_name[owner].listen,
                call,
            ),
            "through two VMs": (deployment.vm_by_name[other].listen, call),
        }
        medians: dict[str, list[float]] = {name: [] for name in paths}
        for _ in range(repeats):
            for name, (address, request) in paths.items():
                latencies = load.run_load(address, count, 1, request)
                medians[name].append(statistics.median(latencies) * 1e6)
        bare = medians["bare circuits.web answer"]
        for name, values in medians.items():
            ratios = [value / base for value, base in zip(values, bare)]
            print(f"{name}: us {statistics.describe(values)}")
            print(f"  ratio to bare: {statistics.describe(ratios)}")
    finally:
        deployment.close()


def measure_idle(seconds: float = 10.0, vms: int = 3) -> None:
    """Measure an idle VM's processor time and memory."""
    deployment = processes.Deployment({"rimac": vms})
    try:
        deployment.begin()
        time.sleep(2)
        pids = {
            vm: deployment.process_by_name[vm].pid
            for vm in deployment.vm_by_name
        }
        before = {vm: load.processor_seconds(pid) for vm, pid in pids.items()}
        time.sleep(seconds)
        for vm, pid in pids.items():
            used = load.processor_seconds(pid) - before[vm]
            memory = load.resident_bytes(pid) / 2**20
            print(
                f"{vm}: {100 * used / seconds:.2f}% of a core, "
                f"{memory:.1f} MiB resident"
            )
    finally:
        deployment.close()
