"""What a day lost, and to which of our decisions.

Reads the log lines of all VMs (JSON, behind any prefix) and, if there is
one, the report of the played day.  Works on saved files; nothing is played.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import statistics

__all__ = ["Losses", "measure_losses", "read_lines"]

WINDOW_SECONDS = 2.0
CALLS_LOGGER = "postspring.calls"
# A turn's time on an idle engine is estimated from the fastest of its route:
# this percentile of the time per token.
IDLE_PERCENTILE = 5
# Routes with fewer turns than this give no estimate.
LEAST_TURNS = 40


def read_lines(lines: Iterable[str]) -> Iterator[dict]:
    """Return log lines as tables; what stands before one is its time.

    Examples
    --------
    >>> text = ' 1.50 vm-a {"logger": "postspring.calls", "ms": 2.0}'
    >>> list(read_lines([text, "no log line"]))
    [{'logger': 'postspring.calls', 'ms': 2.0, 'at': 1.5}]
    """
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(line, dict) or "logger" not in line:
            continue
        before = text[:start].split()
        try:
            line["at"] = float(before[0]) if before else 0.0
        except ValueError:
            line["at"] = 0.0
        yield line


class Losses:
    """Adds up calls, turns and programs.

    Parameters
    ==========

    lines : iterable of dict
        Log lines, see :func:`read_lines`.
    """

    def __init__(self, lines: Iterable[dict]):
        self.calls = [line for line in lines if line["logger"] == CALLS_LOGGER]
        self.turns = [call for call in self.calls if "ceiling" in call]

    def reasons(self) -> dict[str, int]:
        """Return how many calls ended in which way."""
        return dict(_count(self.calls))

    def reasons_by_window(self) -> dict[float, dict[str, int]]:
        """Return the same for each window, without those answered."""
        calls_by_window = collections.defaultdict(list)
        for call in self.calls:
            if call["message"] != "answered":
                window = call["at"] // WINDOW_SECONDS * WINDOW_SECONDS
                calls_by_window[window].append(call)
        return {
            window: dict(_count(calls_by_window[window]))
            for window in sorted(calls_by_window)
        }

    def reasons_by_data_center(self) -> dict[str, dict[str, int]]:
        """Return the same for the VMs of each data centre."""
        names = sorted({call.get("data_center", "") for call in self.calls})
        return {
            name: dict(
                _count(
                    call
                    for call in self.calls
                    if call.get("data_center", "") == name
                )
            )
            for name in names
        }

    def latency_by_route(self) -> dict[str, tuple[int, float, float]]:
        """Return programs, and median and p95 of latency over idle time.

        Pauses between turns are left out: they are the program's own, but
        for what it waited after a refusal, which counts.
        """
        idle_by_route = self._idle_by_route()
        found = collections.defaultdict(list)
        for turns in self._turns_by_program().values():
            route = turns[0]["route"]
            if route not in idle_by_route:
                continue
            answered = [t for t in turns if t["message"] == "answered"]
            tokens = sum(turn.get("tokens", 0) for turn in answered)
            if tokens:
                idle = tokens * idle_by_route[route]
                found[route].append(_busy_ms(turns) / idle)
        return {
            route: (len(ratios), statistics.median(ratios), _p95(ratios))
            for route, ratios in sorted(found.items())
        }

    def waste(self) -> dict[str, int]:
        """Return prompt tokens that need not have been read.

        ``moved``: of turns that ran elsewhere than their line's last one.
        ``for_nobody``: of turns that were broken off, or whose caller left.
        """
        moved = for_nobody = read = 0
        last_by_line: dict[tuple, str] = {}
        for turn in sorted(self.turns, key=lambda item: item["at"]):
            tokens = turn.get("prompt_tokens", 0)
            upstream = turn.get("upstream")
            if not upstream or turn["message"] == "refused":
                continue
            read += tokens
            line = (turn.get("program"), turn.get("line"))
            last = last_by_line.get(line)
            if last not in (None, upstream):
                moved += tokens
            last_by_line[line] = upstream
            if turn["message"] != "answered":
                for_nobody += tokens
        return {"offered": read, "moved": moved, "for_nobody": for_nobody}

    # -- own ------------------------------------------------------------------

    def _turns_by_program(self) -> dict[str, list[dict]]:
        found = collections.defaultdict(list)
        for turn in self.turns:
            found[turn.get("program", "")].append(turn)
        for turns in found.values():
            turns.sort(key=lambda turn: turn["at"])
        return found

    def _idle_by_route(self) -> dict[str, float]:
        """Return milliseconds per token on idle engines, as estimated."""
        paces = collections.defaultdict(list)
        for turn in self.turns:
            if turn["message"] == "answered" and turn.get("tokens"):
                paces[turn["route"]].append(turn["ms"] / turn["tokens"])
        return {
            route: statistics.quantiles(values, n=100)[IDLE_PERCENTILE - 1]
            for route, values in paces.items()
            if len(values) >= LEAST_TURNS
        }


def _busy_ms(turns: list[dict]) -> float:
    """Return what turns took, and the waits from refusals to retries."""
    total = 0.0
    refused_at = None
    for turn in turns:
        total += turn["ms"]
        begun = turn["at"] - turn["ms"] / 1000
        if refused_at is not None:
            total += max(0.0, begun - refused_at) * 1000
        is_over = turn["message"] == "answered"
        refused_at = None if is_over else turn["at"]
    return total


def _count(calls: Iterable[dict]) -> collections.Counter:
    return collections.Counter(
        f"{call['message']}:{_reason(call)}" for call in calls
    )


def _reason(call: dict) -> str:
    reason = str(call.get("reason", ""))
    # Reasons of transport name an address; the words behind it decide.
    return reason.rsplit(": ", 1)[-1]


def _p95(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]


def measure_losses(log: str, report: str = "", plot: bool = False) -> None:
    """Print what a day lost, by window, data centre, route and reason.

    Parameters
    ----------
    log : str
        File with the VMs' log lines.
    report : str
        File with the day's report (JSON), if there is one.
    plot : bool
        Draw the windows.
    """
    with open(log, encoding="utf-8", errors="replace") as stream:
        losses = Losses(read_lines(stream))
    _print("calls", losses.reasons())
    for name, counts in losses.reasons_by_data_center().items():
        _print(f"data centre {name}", counts)
    worth = {}
    if report:
        told = json.loads(pathlib.Path(report).read_text(encoding="utf-8"))
        worth = _print_report(told)
    print("\nwindows: worth, and what was not answered")
    windows = losses.reasons_by_window()
    for window in sorted({*windows, *worth}):
        counts = sorted(windows.get(window, {}).items(), key=_by_count)
        text = ", ".join(f"{name} {count}" for name, count in counts[:5])
        earned = worth.get(window)
        print(f"{window:7.0f}  {_told(earned):>6}  {text}")
    print("\nprograms: latency over time on idle engines")
    for route, (count, median, p95) in losses.latency_by_route().items():
        print(f"  {route}: {count} programs, {median:.2f}, p95 {p95:.2f}")
    _print("prompt tokens", losses.waste())
    if plot:
        _plot(windows, worth)


def _print_report(told: dict) -> dict[float, float]:
    """Print kinds, places and prices; return the worth of each window."""
    for key in ("classes", "zones"):
        print(f"\n{key}: worth, asked, late, refused, failed")
        for row in told.get(key, ()):
            counts = [row[name] for name in ("n", "late", "refused", "failed")]
            print(f"  {row['name']}: {row['worth']}", *counts)
    prices = sorted(told.get("prices", ()), key=lambda row: -row[2])
    _print("prices", {row[0]: row[2] for row in prices if row[2]})
    return {
        float(row["name"]): row["worth"]
        for row in told.get("windows", ())
        if row.get("worth") is not None
    }


def _print(title: str, counts: dict) -> None:
    print(f"\n{title}")
    for name, count in sorted(counts.items(), key=_by_count):
        print(f"  {name}: {count}")


def _by_count(item: tuple) -> float:
    return -item[1]


def _told(worth: float | None) -> str:
    return "" if worth is None else f"{worth:.3f}"


def _plot(windows: dict, worth: dict[float, float]) -> None:
    import plotext

    names = sorted({*windows, *worth})
    plotext.plot_size(100, 20)
    lost = [100 * (1 - worth.get(name, 1.0)) for name in names]
    plotext.plot(names, lost, label="% of worth lost")
    refused = [sum(windows.get(name, {}).values()) for name in names]
    plotext.plot(names, refused, label="calls not answered")
    plotext.xlabel("seconds")
    plotext.show()
