"""Operator settings of a front VM, from flags and environment variables."""

from collections.abc import Mapping
import dataclasses

from postspring import errors

__all__ = ["FrontSettings", "load_front_settings"]

PREFIX = "POSTSPRING_FRONT_"


@dataclasses.dataclass(frozen=True, slots=True)
class FrontSettings:
    """Settings that operators may choose for a front VM.

    Parameters
    ==========

    placement : str
        Name of the policy that chooses an upstream for each call, such as
        ``shared_affinity`` or ``expected_wait``.
    cut_detection : str
        Name of the way in which network partitions are detected:
        ``timeouts`` or ``silence``.
    urgency : str
        Name of the policy that sets the urgency sent to upstreams with each
        call: ``none``, ``rank`` or ``slack``.
    admission : str
        Name of the policy that decides whether a program may begin while
        upstreams are full: ``none`` or ``deadline``.
    quarantine : str
        Name of the policy for requests under which upstreams crash: ``none``
        or ``crashes``.
    upstream_subset : int
        Smallest number of upstreams of a service that calls without affinity
        are limited to; 0 for no limit.
    log_level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    log_lines_per_second : float
        Rate limit of the log; further lines are dropped and counted.
    metrics_port : int
        Port of the metrics page; 0 disables it.
    """

    placement: str = "shared_affinity"
    cut_detection: str = "timeouts"
    urgency: str = "none"
    admission: str = "none"
    quarantine: str = "none"
    upstream_subset: int = 0
    log_level: str = "info"
    log_lines_per_second: float = 200.0
    metrics_port: int = 0


def load_front_settings(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> FrontSettings:
    """Return the settings; a flag overrides an environment variable.

    Raises
    ------
    SettingsError
        If a flag is unknown or a value has the wrong type; the message
        names all of them.

    Examples
    --------
    >>> load_front_settings({"placement": "random"}, {}).placement
    'random'
    """
    values = {}
    problems = []
    fields = {field.name: field for field in dataclasses.fields(FrontSettings)}
    for name in flags:
        if name not in fields:
            known = ", ".join(sorted(fields))
            problems.append(f"--{name} is unknown; there are: {known}")
    for name, field in fields.items():
        text = flags.get(name, environment.get(PREFIX + name.upper()))
        if text is None:
            continue
        try:
            values[name] = type(field.default)(text)
        except ValueError:
            expected = type(field.default).__name__
            problems.append(f"{name}: {text!r} is not of type {expected}")
    if problems:
        raise errors.SettingsError("; ".join(problems))
    return FrontSettings(**values)
