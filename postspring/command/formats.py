"""Answers as a table, JSON or CSV."""

import csv
import io
import json
from typing import Any

from postspring.command import evaluation
from postspring import registry

__all__ = ["format_by_name", "format_table"]

format_by_name: registry.Registry = registry.Registry("format")


def format_table(table: evaluation.Table, name: str) -> str:
    """Return the table in a format.

    Raises
    ------
    ConfigurationError
        If there is no format of that name.

    Examples
    --------
    >>> table = evaluation.Table(("id", "n"), (("a", 1),))
    >>> print(format_table(table, "table"))
    id  n
    a   1
    """
    return format_by_name[name](table)


@format_by_name.register("table")
def _as_table(table: evaluation.Table) -> str:
    lines = [table.columns, *table.rows]
    texts = [[_text(value) for value in line] for line in lines]
    widths = [
        max(len(line[i]) for line in texts) for i in range(len(lines[0]))
    ]
    printed = [
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths)
        ).rstrip()
        for line in texts
    ]
    if table.unreachable:
        printed.append(f"-- not reached: {', '.join(table.unreachable)}")
    return "\n".join(printed)


@format_by_name.register("json")
def _as_json(table: evaluation.Table) -> str:
    rows = [dict(zip(table.columns, row)) for row in table.rows]
    return json.dumps({"rows": rows, "unreachable": list(table.unreachable)})


@format_by_name.register("csv")
def _as_csv(table: evaluation.Table) -> str:
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(table.columns)
    writer.writerows([_text(value) for value in row] for row in table.rows)
    return text.getvalue().rstrip("\n")


def _text(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, (list, tuple)):
        return " ".join(str(item) for item in value)
    return str(value)
