"""Uneven load: engines and demand that differ, and change over time."""

from collections.abc import Callable
import dataclasses
import math
import random

from postspring.testing.load import engine as engine_module

__all__ = ["DemandSwing", "SlowPeriods", "Unevenness"]


@dataclasses.dataclass(frozen=True, slots=True)
class Unevenness:
    """How the speed of engines differs.

    Parameters
    ==========

    factor : float
        A third of the engines is slower or faster than the rest by this
        factor.
    slow_factor : float
        How many times as slow any engine is in a slow period.
    slow_share : float
        Share of the time that is in slow periods; 0 for none.
    slow_seconds : float
        Length of a slow period.
    silent : dict
        Number of an engine that stands still, and from when to when.
    """

    factor: float = 1.3
    slow_factor: float = 2.5
    slow_share: float = 0.15
    slow_seconds: float = 0.6
    silent: dict[int, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )

    def permanent_factor(self, number: int) -> float:
        """Return how many times as slow an engine always is.

        Examples
        --------
        >>> [round(Unevenness().permanent_factor(n), 2) for n in range(7)]
        [1.3, 1.0, 1.0, 0.77, 1.0, 1.0, 1.3]
        """
        if number % 3:
            return 1.0
        return self.factor if number % 2 == 0 else 1.0 / self.factor

    def engine_shape(
        self, number: int, usual: engine_module.EngineShape, factor: float
    ) -> engine_module.EngineShape:
        """Return the shape of an engine that is slower by a further factor.

        Parameters
        ----------
        factor : float
            How many times as slow it is, beside its permanent factor.
        """
        factor *= self.permanent_factor(number)
        return dataclasses.replace(
            usual,
            step=usual.step * factor,
            tokens_per_second=usual.tokens_per_second / factor,
        )

    def slowness_of(
        self, number: int, step: float, seed: int
    ) -> Callable[[float], float]:
        """Return how many times as slow an engine's next step is, by time.

        It is the same for all policies.

        Parameters
        ----------
        step : float
            Seconds of the engine's usual step.
        """
        if number in self.silent:
            begin, end = self.silent[number]
            return lambda passed: (
                (end - passed) / step if begin <= passed < end else 1.0
            )
        if not self.slow_share:
            return lambda passed: 1.0
        draw = random.Random(1000 * seed + number)
        return SlowPeriods(self, draw).factor_at


class SlowPeriods:
    """The slow periods of one engine, drawn as time passes.

    Examples
    ========

    >>> periods = SlowPeriods(Unevenness(), random.Random(1))
    >>> factors = [periods.factor_at(step * 0.01) for step in range(100_000)]
    >>> sorted(set(factors)), round(factors.count(2.5) / len(factors), 2)
    ([1.0, 2.5], 0.15)
    """

    def __init__(self, shape: Unevenness, draw: random.Random):
        self._shape = shape
        self._draw = draw
        share = shape.slow_share
        self._mean_pause = shape.slow_seconds * (1.0 - share) / share
        self._begins_at = self._draw_pause()

    def factor_at(self, passed: float) -> float:
        """Return how many times as slow the engine is; time only grows."""
        while passed >= self._begins_at + self._shape.slow_seconds:
            self._begins_at += self._shape.slow_seconds + self._draw_pause()
        return self._shape.slow_factor if passed >= self._begins_at else 1.0

    def _draw_pause(self) -> float:
        return self._draw.expovariate(1.0 / self._mean_pause)


@dataclasses.dataclass(frozen=True, slots=True)
class DemandSwing:
    """Demand that varies out of phase between data centres.

    Parameters
    ==========

    share : float
        Part of its mean by which a data centre's demand varies.
    seconds : float
        Period of the variation.
    """

    share: float = 0.0
    seconds: float = 6.0

    def weights(self, means: tuple[float, ...], passed: float) -> list[float]:
        """Return the demand of each data centre at a time.

        Examples
        --------
        >>> DemandSwing(0.5, 8.0).weights((2.0, 2.0), 2.0)
        [3.0, 1.0]
        """
        weights = []
        for number, mean in enumerate(means):
            turns = passed / self.seconds + number / len(means)
            factor = 1.0 + self.share * math.sin(math.tau * turns)
            weights.append(mean * factor)
        return weights
