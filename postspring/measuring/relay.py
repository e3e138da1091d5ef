"""What relayed tokens cost the VM that relays them."""

import threading

from postspring import client
from postspring.measuring import load
from postspring.measuring import statistics
from postspring.testing import processes

__all__ = ["measure_relay"]

WORDS = 55
TOKEN_SECONDS = 0.02


def measure_relay(sizes: tuple = (10, 20, 40, 80), repeats: int = 3) -> None:
    """Processor time of the relaying VM, by the number of streams.

    Each stream is one call of about 60 tokens, 50 tokens a second.  The
    slope over the sizes is the cost of a call and its tokens.
    """
    deployment = processes.Deployment(
        {"rimac": 1},
        engines=4,
        engine_flags={"token_seconds": TOKEN_SECONDS, "slots": 64},
    )
    try:
        for upstream in deployment.document["upstreams"].values():
            upstream["concurrency"] = 64
        deployment.begin()
        pid = deployment.process_by_name["rimac-1"].pid
        points = []
        for size in sizes:
            costs = []
            for _ in range(repeats):
                before = load.processor_seconds(pid)
                tokens = _run_streams(deployment, size)
                used = load.processor_seconds(pid) - before
                costs.append(used)
                points.append((tokens, used))
            per_token = [1e6 * cost / tokens for cost in costs]
            print(
                f"{size} streams, {tokens} tokens: us of processor a token "
                f"{statistics.describe(per_token)}"
            )
        slope, rest, error = statistics.fit_line(points)
        print(
            f"slope {1e6 * slope:.0f} us a token (calls included), "
            f"intercept {rest:.3f} s, largest residual {100 * error:.0f}%"
        )
    finally:
        deployment.close()


def _run_streams(deployment: processes.Deployment, size: int) -> int:
    """Run that many streams at once; return their tokens."""
    counts: list[int] = []
    text = " ".join(f"w{number}" for number in range(WORDS))
    programs = [
        client.ProgramClient.create(deployment.client(), "agent-models")
        for _ in range(size)
    ]

    def ask(program: client.ProgramClient) -> None:
        result = program.ask("advisor", text)
        counts.append(result.usage["completion_tokens"])

    threads = [
        threading.Thread(target=ask, args=(program,)) for program in programs
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts)
