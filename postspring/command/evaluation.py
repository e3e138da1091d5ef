"""Evaluates a query over rows: filter, group, sort and limit."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import operator
from typing import Any

from postspring.command import statements
from postspring import errors

__all__ = ["Table", "evaluate"]

Row = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """The result of a query; ``unreachable`` names VMs without a reply."""

    columns: tuple[str, ...]
    rows: tuple[tuple, ...]
    unreachable: tuple[str, ...] = ()


def _contains(value: Any, substring: Any) -> bool:
    return str(substring) in str(value)


_COMPARE_BY_OPERATOR: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
    "~": _contains,
}


def evaluate(
    query: statements.Query,
    rows: Iterable[Row],
    fields: tuple[str, ...],
    unreachable: tuple[str, ...] = (),
) -> Table:
    """Return the result of a query.

    Parameters
    ----------
    rows
        The rows of the collection, without those of unreachable VMs.
    fields
        The names of the collection's fields, in the order of columns.
    unreachable
        The VMs whose rows are missing.

    Raises
    ------
    CommandError
        If the collection lacks a field that the query names, or a column
        beside an aggregate is not a grouping column.

    Examples
    --------
    >>> from postspring.command import grammar
    >>> rows = [{"id": "a", "spent": 3}, {"id": "b", "spent": 5}]
    >>> query = grammar.parse("show programs (id) order by spent desc")
    >>> evaluate(query, rows, ("id", "spent")).rows
    (('b',), ('a',))
    >>> query = grammar.parse("show programs (sum(spent))")
    >>> evaluate(query, rows, ("id", "spent")).rows
    ((8,),)
    """
    _check_fields(query, fields)
    selected = [row for row in rows if _matches(row, query.where)]
    if query.aggregates or query.group_by:
        columns, selected = _group_rows(query, selected)
    else:
        columns = query.fields or fields
    for sort_key in reversed(query.order_by):
        selected.sort(
            key=lambda row: _comparable(row.get(sort_key.field)),
            reverse=sort_key.descending,
        )
    if query.limit is not None:
        selected = selected[: query.limit]
    return Table(
        tuple(columns),
        tuple(
            tuple(row.get(column) for column in columns) for row in selected
        ),
        unreachable,
    )


def _check_fields(query: statements.Query, fields: tuple[str, ...]) -> None:
    names = [*query.fields, *query.group_by]
    names += [comparison.field for comparison in query.where]
    names += [
        aggregate.field for aggregate in query.aggregates if aggregate.field
    ]
    aggregates = {aggregate.name for aggregate in query.aggregates}
    for sort_key in query.order_by:
        if sort_key.field not in aggregates:
            names.append(sort_key.field)
    for name in names:
        if name not in fields:
            raise errors.CommandError(
                f"{query.collection}: unknown field {name!r}; "
                f"known fields: {', '.join(fields)}"
            )
    if query.aggregates or query.group_by:
        for name in query.fields:
            if name not in query.group_by:
                raise errors.CommandError(
                    f"{name!r} must be listed after 'by' to be shown with "
                    "an aggregate"
                )


def _matches(row: Row, where: tuple[statements.Comparison, ...]) -> bool:
    for comparison in where:
        compare = _COMPARE_BY_OPERATOR[comparison.operator]
        value = row.get(comparison.field)
        try:
            if not compare(value, comparison.value):
                return False
        except TypeError:
            return False
    return True


def _group_rows(
    query: statements.Query, rows: list[Row]
) -> tuple[tuple[str, ...], list[Row]]:
    aggregates = query.aggregates or (statements.Aggregate("count"),)
    rows_by_key: dict[tuple, list[Row]] = {}
    if not query.group_by:
        rows_by_key[()] = []
    for row in rows:
        key = tuple(_to_hashable(row.get(name)) for name in query.group_by)
        rows_by_key.setdefault(key, []).append(row)
    columns = (*query.group_by, *(aggregate.name for aggregate in aggregates))
    group_rows = []
    for key, rows_of_group in rows_by_key.items():
        values = [
            _compute_aggregate(aggregate, rows_of_group)
            for aggregate in aggregates
        ]
        group_rows.append(dict(zip(columns, (*key, *values))))
    return columns, group_rows


def _compute_aggregate(
    aggregate: statements.Aggregate, rows: list[Row]
) -> Any:
    if aggregate.field is None:
        return len(rows)
    values = [
        row[aggregate.field]
        for row in rows
        if isinstance(row.get(aggregate.field), (int, float))
    ]
    if not values:
        return None
    if aggregate.function == "avg":
        return sum(values) / len(values)
    function = {"sum": sum, "min": min, "max": max}[aggregate.function]
    return function(values)


def _to_hashable(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def _comparable(value: Any) -> tuple:
    """Return a key that sorts null first, then numbers, then strings."""
    if value is None:
        return (0, 0, "")
    if isinstance(value, (int, float)):
        return (1, value, "")
    return (2, 0, str(value))
