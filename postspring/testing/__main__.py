"""``python -m postspring.testing <stand-in> --listen=ip:port``."""

import fire

from postspring import settings
from postspring.testing import base
from postspring.testing import engine as engine_module
from postspring.testing import link as link_module
from postspring.testing import platform_service
from postspring.testing import services


class StandIns:
    """Stand-ins for the demo and tests; each runs until it is stopped."""

    def platform(self, listen: str, retain: int = 1_000_000) -> None:
        """Run the platform's log and list of VMs."""
        bind = settings.parse_address(listen)
        base.run_until_signal(
            platform_service.PlatformService(bind, int(retain))
        )

    def engine(self, listen: str, models: str, **options) -> None:
        """Run an engine; ``models`` is a comma-separated list."""
        names = models.split(",") if isinstance(models, str) else models
        bind = settings.parse_address(listen)
        base.run_until_signal(
            engine_module.Engine(bind, tuple(names), **options)
        )

    def link(self, listen: str, forward: str, to: str) -> None:
        """Run a link that takes connections at ``forward``."""
        base.run_until_signal(
            link_module.Link(
                settings.parse_address(listen),
                settings.parse_address(forward),
                settings.parse_address(to),
            )
        )

    def tool(self, listen: str) -> None:
        """Run a tool service."""
        bind = settings.parse_address(listen)
        base.run_until_signal(services.ToolService(bind))

    def plain(self, listen: str) -> None:
        """Run a plain service."""
        bind = settings.parse_address(listen)
        base.run_until_signal(services.PlainService(bind))


if __name__ == "__main__":
    fire.Fire(StandIns)
