"""Request routing; decorators register the routes."""

from collections.abc import Callable
import dataclasses
import re

__all__ = ["Route", "Router"]

_PARAMETER = re.compile(r"<([a-z_]+)>")


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """An HTTP method, a path pattern and the function that handles them."""

    method: str
    pattern: str
    expression: re.Pattern
    function: Callable


class Router:
    """Finds the function that handles a request.

    Examples
    ========

    >>> router = Router()
    >>> @router.route("GET", "/programs/<program>")
    ... def read(application, request, program):
    ...     return program
    >>> function, arguments = router.find("GET", "/programs/p-1")
    >>> arguments
    {'program': 'p-1'}
    >>> router.find("GET", "/nothing") is None
    True
    """

    def __init__(self):
        self.routes: list[Route] = []

    def route(self, method: str, pattern: str) -> Callable:
        """Return a decorator that adds a route; ``<name>`` matches a segment.

        A final ``<rest>`` matches the remainder of the path.
        """
        expression_text = _PARAMETER.sub(
            lambda match: (
                f"(?P<{match[1]}>.*)"
                if match[1] == "rest"
                else f"(?P<{match[1]}>[^/]+)"
            ),
            pattern,
        )

        def add(function: Callable) -> Callable:
            expression = re.compile(expression_text)
            self.routes.append(Route(method, pattern, expression, function))
            return function

        return add

    def find(
        self, method: str, path: str
    ) -> tuple[Callable, dict[str, str]] | None:
        """Return the handling function and its path arguments, or None."""
        for route in self.routes:
            if route.method != method:
                continue
            match = route.expression.fullmatch(path)
            if match is not None:
                return route.function, match.groupdict()
        return None
