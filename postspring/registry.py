"""Registries of interchangeable implementations, filled by decorators."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

from postspring import errors

__all__ = ["Registry"]

Item = TypeVar("Item")


class Registry(Generic[Item]):
    """Implementations of one interface, by name.

    Parameters
    ==========

    subject : str
        What is registered, used in error messages.

    Examples
    ========

    >>> greetings = Registry("greeting")
    >>> @greetings.register("hello")
    ... class Hello:
    ...     pass
    >>> greetings["hello"] is Hello
    True
    """

    def __init__(self, subject: str):
        self.subject = subject
        self._item_by_name: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Return a decorator that adds an implementation under ``name``."""

        def add(item: Item) -> Item:
            if name in self._item_by_name:
                raise ValueError(f"{self.subject} {name!r} exists already")
            self._item_by_name[name] = item
            return item

        return add

    def __getitem__(self, name: str) -> Item:
        try:
            return self._item_by_name[name]
        except KeyError:
            known = ", ".join(sorted(self._item_by_name))
            raise errors.ConfigurationError(
                f"no {self.subject} is called {name!r}; there are: {known}"
            ) from None

    def __contains__(self, name: str) -> bool:
        return name in self._item_by_name

    def __iter__(self) -> Iterator[str]:
        return iter(self._item_by_name)
