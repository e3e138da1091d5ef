"""The demo's part that talks: see bin/demo, which starts the processes.

Runs one agent program through whichever VM answers, kills the VM that owns
the program between two turns, and carries on through another.
"""

import http.client
import json
import os
import pathlib
import signal
import sys
import time

from postspring import client
from postspring import errors

PLATFORM = ("127.0.0.1", 18100)
TOOL = ("127.0.0.1", 18120)
CALLER_ADDRESS_BY_VM = {
    "rimac-1": "127.0.0.1:18131",
    "rimac-2": "127.0.0.1:18132",
    "surco-1": "127.0.0.1:18133",
}
PEER_ADDRESS_BY_VM = {
    "rimac-1": "127.0.0.1:18141",
    "rimac-2": "127.0.0.1:18142",
    "surco-1": "127.0.0.1:18143",
}
START_SECONDS = 15.0
CONFIGURATION = pathlib.Path(__file__).with_name("demo_configuration.json")


def fetch(address, method, path, body=None):
    """Return the JSON answer of a stand-in."""
    connection = http.client.HTTPConnection(*address, timeout=5)
    data = None if body is None else json.dumps(body)
    connection.request(method, path, data)
    answer = json.loads(connection.getresponse().read())
    connection.close()
    return answer


def wait_until(what, check):
    """Call ``check`` until it returns a true value, and return that."""
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        try:
            found = check()
        except (OSError, errors.PostspringError, http.client.HTTPException):
            found = None
        if found:
            return found
        time.sleep(0.05)
    sys.exit(f"gave up waiting for {what}")


def list_vms():
    """Put the entry VMs on the platform's list."""
    for vm, address in PEER_ADDRESS_BY_VM.items():
        data_center = vm.rpartition("-")[0]
        entry = {
            "data_center": data_center,
            "address": address,
            "state": "live",
        }
        fetch(PLATFORM, "PUT", f"/vms/{vm}", entry)
    return True


def ready(vm):
    """Return whether a VM has the configuration and all slots an owner."""
    connection = client.EntryClient([CALLER_ADDRESS_BY_VM[vm]])
    status = connection.request("GET", "/v1/status", retry_timeout=0).body
    owners = status["slot_owners"].values()
    return status["configuration_version"] and all(owners)


def main(run_directory):
    """Run the demo; return whether everything held."""
    wait_until("the platform", list_vms)
    publisher = client.ConfigurationPublisher(PLATFORM)
    version = publisher.publish(CONFIGURATION.read_bytes(), author="demo")
    print(f"configuration {version} published")
    for vm in CALLER_ADDRESS_BY_VM:
        wait_until(vm, lambda vm=vm: ready(vm))
    print("three entry VMs in two data centres are ready")

    began = time.monotonic()
    addresses = [CALLER_ADDRESS_BY_VM[vm] for vm in ("rimac-1", "surco-1")]
    entry = client.EntryClient(addresses)
    program = client.ProgramClient.create(entry, "agentes")
    print(f"program {program.program}")
    words = []
    first = program.ask(
        "advisor", "The striking train has seized.", words.append
    )
    print(f"turn 1, model, {len(words)} pieces streamed from {first.upstream}")
    order = program.call_tool(
        "parts-order", {"part": "fly spring", "count": 1}
    )
    print(f"turn 2, tool: {order.answer['receipt']}")
    agent = program.spawn("agentes")
    agent.ask("advisor", "Which alloy was the bell cast from?")
    agent.end()
    print("a sub-agent asked and ended")

    owner = program.view()["owner"]
    pid = int((pathlib.Path(run_directory) / f"{owner}.pid").read_text())
    os.kill(pid, signal.SIGKILL)
    killed = time.monotonic()
    print(f"killed {owner}, the owner, with SIGKILL")
    survivors = [
        address for vm, address in CALLER_ADDRESS_BY_VM.items() if vm != owner
    ]
    carried_on = client.ProgramClient.resume(
        client.EntryClient(survivors), program.program
    )
    last = carried_on.ask("advisor", "The spring is in. What next?")
    outage = time.monotonic() - killed
    print(f"turn 3, model, through another VM {outage:.2f} s after the kill")
    print(f"  it said: {last.answer['content'][:70]}")

    turns = carried_on.history()
    view = carried_on.view()
    spent = carried_on.end()
    latency = time.monotonic() - began
    runs = fetch(TOOL, "GET", "/executions")
    for turn in turns:
        print(f"  history {turn['step']}: {turn['kind']} {turn['target']}")
    print(f"program latency {latency:.2f} s, cost {spent} micro-units")
    print(f"new owner {view['owner']}, epoch {view['epoch']}")
    print(f"the tool ran {sum(runs.values())} time(s)")
    checks = {
        "three turns in order": [turn["step"] for turn in turns] == [1, 2, 3],
        "chained": all(
            turn["parent"] == before["digest"]
            for before, turn in zip(turns, turns[1:])
        ),
        "history reached the model": "After 4 messages"
        in last.answer["content"],
        "the tool ran once": sum(runs.values()) == 1,
        "another VM owns it": view["owner"] != owner,
        "within budget": 0 < spent <= view["budget"],
    }
    for name, held in checks.items():
        print(f"  {'ok' if held else 'FAILED'}: {name}")
    return all(checks.values())


if __name__ == "__main__":
    sys.exit(0 if main(sys.argv[1]) else 1)
