"""Settings of our own for a front VM: flags and environment variables."""

from collections.abc import Mapping
import dataclasses

from postspring import errors

__all__ = ["FrontSettings", "load_front_settings"]

PREFIX = "POSTSPRING_FRONT_"


@dataclasses.dataclass(frozen=True, slots=True)
class FrontSettings:
    """What operators may choose for a front VM.

    Parameters
    ==========

    placement : str
        Name of the placement policy for turns and other calls.
    urgency : str
        Name of the policy by which upstreams admit calls: ``none``, ``rank``.
    log_level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    log_lines_per_second : float
        Lines beyond this are dropped and counted.
    metrics_port : int
        Port of the metrics page; 0 for none.
    """

    placement: str = "shared_affinity"
    urgency: str = "none"
    log_level: str = "info"
    log_lines_per_second: float = 200.0
    metrics_port: int = 0


def load_front_settings(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> FrontSettings:
    """Return the settings; a flag goes before an environment variable.

    Raises
    ------
    SettingsError
        Naming every unknown flag and every value of the wrong type.

    Examples
    --------
    >>> load_front_settings({"placement": "random"}, {}).placement
    'random'
    """
    values = {}
    faults = []
    fields = {field.name: field for field in dataclasses.fields(FrontSettings)}
    for name in flags:
        if name not in fields:
            known = ", ".join(sorted(fields))
            faults.append(f"--{name} is unknown; there are: {known}")
    for name, field in fields.items():
        text = flags.get(name, environment.get(PREFIX + name.upper()))
        if text is None:
            continue
        try:
            values[name] = type(field.default)(text)
        except ValueError:
            wanted = type(field.default).__name__
            faults.append(f"{name}: {text!r} is not of type {wanted}")
    if faults:
        raise errors.SettingsError("; ".join(faults))
    return FrontSettings(**values)
