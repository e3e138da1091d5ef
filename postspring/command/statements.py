"""The statements of the language as data classes."""

import dataclasses

__all__ = [
    "Aggregate",
    "CancelProgram",
    "Comparison",
    "DeclareDataCenter",
    "Drain",
    "EngineOrder",
    "Query",
    "SetField",
    "SortKey",
    "Statement",
    "Value",
]

Value = str | int | float | bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """A condition ``field operator value`` of ``where``."""

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
        """The name of the result's column."""
        return (
            self.function
            if self.field is None
            else (f"{self.function}({self.field})")
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SortKey:
    """A column to sort by; ``field`` is a field or an aggregate's name."""

    field: str
    descending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """``show``: query fields or aggregates of a collection."""

    collection: str
    fields: tuple[str, ...] = ()
    aggregates: tuple[Aggregate, ...] = ()
    where: tuple[Comparison, ...] = ()
    group_by: tuple[str, ...] = ()
    order_by: tuple[SortKey, ...] = ()
    limit: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """``drain`` or ``return``: start or end draining an upstream or VM."""

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
class CancelProgram:
    """``cancel program``: cancel a program by its id."""

    program: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """``load``, ``unload`` or ``set role``: an order for an engine.

    ``argument`` is the model or adapter to load, the model to unload, or
    the engine's new role.
    """

    order: str
    engine: str
    argument: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeclareDataCenter:
    """``declare``: mark a data centre as lost, or as back."""

    data_center: str
    lost: bool


Statement = (
    Query | Drain | SetField | CancelProgram | EngineOrder | DeclareDataCenter
)
