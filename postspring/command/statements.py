"""What a text of the language means: typed statements."""

import dataclasses

__all__ = [
    "Aggregate",
    "Cancel",
    "Comparison",
    "DeclareLost",
    "Drain",
    "EngineOrder",
    "Order",
    "Query",
    "SetField",
    "Statement",
    "Value",
]

Value = str | int | float | bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """``field operator value``."""

    field: str
    operator: str
    value: Value


@dataclasses.dataclass(frozen=True, slots=True)
class Aggregate:
    """``count``, or ``sum``, ``min``, ``max`` or ``avg`` of a field."""

    function: str
    field: str | None = None

    @property
    def name(self) -> str:
        """The column's name."""
        return (
            self.function
            if self.field is None
            else (f"{self.function}({self.field})")
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Sort by a column."""

    field: str
    descending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """``show``: columns or aggregates of a collection."""

    collection: str
    fields: tuple[str, ...] = ()
    aggregates: tuple[Aggregate, ...] = ()
    where: tuple[Comparison, ...] = ()
    group_by: tuple[str, ...] = ()
    order: tuple[Order, ...] = ()
    limit: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """``drain`` or ``return`` an upstream or VM."""

    kind: str
    name: str
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetField:
    """``set``: change a field of a service, model, tool or upstream."""

    kind: str
    name: str
    field: str
    value: Value


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """``cancel program``."""

    program: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """``load``, ``unload`` a model or adapter on an engine, or its role."""

    order: str
    engine: str
    argument: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeclareLost:
    """``declare``: a data centre is lost, or is back."""

    data_center: str
    lost: bool


Statement = Query | Drain | SetField | Cancel | EngineOrder | DeclareLost
