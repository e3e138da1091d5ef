"""Formats a query's result as a text table, JSON or CSV."""

import csv
import io
import json
from typing import Any

from postspring.command import evaluation
from postspring import registry

__all__ = ["format_by_name", "format_table"]

format_by_name: registry.Registry = registry.Registry("format")


def format_table(table: evaluation.Table, name: str) -> str:
    """Return the table as text in the format of the given name.

    Raises
    ------
    ConfigurationError
        If no format has that name.

    Examples
    --------
    >>> table = evaluation.Table(("id", "n"), (("a", 1),))
    >>> print(format_table(table, "table"))
    id  n
    a   1
    """
    return format_by_name[name](table)


@format_by_name.register("table")
def _format_text(table: evaluation.Table) -> str:
    rows = [table.columns, *table.rows]
    cells = [[_format_value(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(rows[0]))]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths)
        ).rstrip()
        for row in cells
    ]
    if table.unreachable:
        lines.append(f"-- not reached: {', '.join(table.unreachable)}")
    return "\n".join(lines)


@format_by_name.register("json")
def _format_json(table: evaluation.Table) -> str:
    rows = [dict(zip(table.columns, row)) for row in table.rows]
    return json.dumps({"rows": rows, "unreachable": list(table.unreachable)})


@format_by_name.register("csv")
def _format_csv(table: evaluation.Table) -> str:
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(table.columns)
    writer.writerows(
        [_format_value(value) for value in row] for row in table.rows
    )
    return buffer.getvalue().rstrip("\n")


def _format_value(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, (list, tuple)):
        return " ".join(str(item) for item in value)
    return str(value)
