"""An entry VM's sockets and loop, by circuits."""

from collections.abc import Callable
import json
import logging

from circuits import BaseComponent
from circuits.core import pollers
from circuits import handler

from postspring import coordination
from postspring.entry import answers
from postspring.entry import core as core_module
from postspring import peers
from postspring import settings as settings_module
from postspring import transport
from postspring import web

__all__ = ["EntryNode"]

LOG = logging.getLogger(__name__)


class EntryNode(BaseComponent):
    """One entry VM: the core on circuits' loop.

    Parameters
    ==========

    settings : EntrySettings
        The daemon's settings.
    on_stopped : callable
        Called once a graceful shutdown is complete.
    """

    channel = "entry"

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        on_stopped: Callable[[], None],
    ):
        super().__init__()
        self._settings = settings
        self._on_stopped = on_stopped
        # circuits would take select(), which ends at 1024 descriptors.
        pollers.EPoll().register(self)
        self._timers = transport.Timers().register(self)
        outbound = transport.SocketHub(self._timers, channel="outbound")
        outbound.register(self)
        self.core = core_module.EntryCore(
            settings,
            self._timers,
            transport.HttpClient(outbound, self._timers),
            self._build_hub,
            lambda: self._web.active,
        )
        self._web = web.WebServer(
            settings_module.parse_address(settings.listen),
            self.core.callers.handle,
            self._timers,
            self.core.web_limits,
            self._too_large_body,
        ).register(self)

    def start(self) -> None:
        """Begin to follow the platform and to talk to the other VMs."""
        self.core.start()

    def shut_down(self) -> None:
        """Stop gracefully: take nothing new, finish, hand over, close."""
        self._web.stop_accepting()
        self.core.shut_down(self._on_stopped)

    @property
    def leaving(self) -> bool:
        """Whether a shutdown has begun."""
        return self.core.leaving

    def _build_hub(self, *functions: Callable) -> peers.PeerHub:
        settings = self._settings
        hub = peers.PeerHub(
            self._timers,
            settings.vm,
            settings_module.parse_address(settings.peer_listen),
            settings.peer_key.get_secret_value(),
            *functions,
            settings.peer_interval,
            settings.peer_silence,
        )
        hub.sockets.register(self)
        return hub

    def _too_large_body(self) -> bytes:
        refused = coordination.Refused(
            reason=coordination.RefusalReason.BODY_TOO_LARGE
        )
        self.core.meters.refused(refused.reason.value, refused.ran.value)
        return json.dumps(answers.refusal_body(refused)).encode()

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, traceback, **details):
        LOG.error(
            "a handler failed: %s: %s",
            error_type.__name__,
            value,
            exc_info=value if isinstance(value, BaseException) else None,
        )
