"""Filter, group, order and limit over rows."""

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
    """An answer: columns and rows, and who could not be asked."""

    columns: tuple[str, ...]
    rows: tuple[tuple, ...]
    unreachable: tuple[str, ...] = ()


def _contains(value: Any, part: Any) -> bool:
    return str(part) in str(value)


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
    """Return the table that a query asks for.

    Parameters
    ----------
    rows
        All rows of the collection, as far as they could be had.
    fields
        The collection's fields, in order.
    unreachable
        Who could not be asked.

    Raises
    ------
    CommandError
        If the query names a field that the collection lacks.

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
    kept = [row for row in rows if _matches(row, query.where)]
    if query.aggregates or query.group_by:
        columns, kept = _grouped(query, kept)
    else:
        columns = query.fields or fields
    for order in reversed(query.order):
        kept.sort(
            key=lambda row: _sort_key(row.get(order.field)),
            reverse=order.descending,
        )
    if query.limit is not None:
        kept = kept[: query.limit]
    return Table(
        tuple(columns),
        tuple(tuple(row.get(column) for column in columns) for row in kept),
        unreachable,
    )


def _check_fields(query: statements.Query, fields: tuple[str, ...]) -> None:
    names = [*query.fields, *query.group_by]
    names += [comparison.field for comparison in query.where]
    names += [item.field for item in query.aggregates if item.field]
    aggregates = {aggregate.name for aggregate in query.aggregates}
    for order in query.order:
        if order.field not in aggregates:
            names.append(order.field)
    for name in names:
        if name not in fields:
            raise errors.CommandError(
                f"{query.collection} have no field {name!r}; "
                f"there are: {', '.join(fields)}"
            )
    if query.aggregates or query.group_by:
        for name in query.fields:
            if name not in query.group_by:
                raise errors.CommandError(
                    f"{name!r} must stand after 'by' to be shown beside "
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


def _grouped(
    query: statements.Query, rows: list[Row]
) -> tuple[tuple[str, ...], list[Row]]:
    aggregates = query.aggregates or (statements.Aggregate("count"),)
    rows_by_key: dict[tuple, list[Row]] = {}
    if not query.group_by:
        rows_by_key[()] = []
    for row in rows:
        key = tuple(_hashable(row.get(name)) for name in query.group_by)
        rows_by_key.setdefault(key, []).append(row)
    columns = (*query.group_by, *(item.name for item in aggregates))
    grouped = []
    for key, members in rows_by_key.items():
        values = [_aggregate(item, members) for item in aggregates]
        grouped.append(dict(zip(columns, (*key, *values))))
    return columns, grouped


def _aggregate(aggregate: statements.Aggregate, rows: list[Row]) -> Any:
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


def _hashable(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def _sort_key(value: Any) -> tuple:
    """Order numbers before texts, and nothing first."""
    if value is None:
        return (0, 0, "")
    if isinstance(value, (int, float)):
        return (1, value, "")
    return (2, 0, str(value))
