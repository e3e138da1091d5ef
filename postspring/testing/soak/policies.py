"""The policies that the VMs of a run use, drawn from its seed."""

import random

from postspring.front import settings

__all__ = ["CHOICES_BY_SETTING", "draw_policies"]

# The first choice is the default, which keeps half of the draws.
CHOICES_BY_SETTING = {
    "placement": ("shared_affinity", "expected_wait"),
    "urgency": ("none", "slack"),
    "admission": ("none", "deadline"),
    "upstream_subset": ("0", "2"),
}


def draw_policies(seed: int) -> dict[str, str]:
    """Return environment variables with a run's policies.

    Examples
    --------
    >>> sorted(draw_policies(1))[0]
    'POSTSPRING_FRONT_ADMISSION'
    >>> draw_policies(1) == draw_policies(1)
    True
    """
    draw = random.Random(f"policies of {seed}")
    return {
        settings.PREFIX + name.upper(): draw.choice(choices)
        for name, choices in CHOICES_BY_SETTING.items()
    }
