"""Base classes of postspring's exceptions.

Each layer derives its exceptions from :class:`PostspringError` and converts
the exceptions of the layer below into its own.
"""

__all__ = [
    "CodecError",
    "CommandError",
    "ConfigurationError",
    "IdentifierError",
    "ListenError",
    "PeerError",
    "PlatformError",
    "PostspringError",
    "SettingsError",
    "TransportError",
    "UpstreamError",
]


class PostspringError(Exception):
    """Base class of all exceptions that postspring defines."""


class IdentifierError(PostspringError):
    """An id does not have the form that its type requires."""


class CodecError(PostspringError):
    """Bytes can't be decoded as a message of the expected registry."""


class CommandError(PostspringError):
    """A command is invalid; the message says where and why."""


class SettingsError(PostspringError):
    """The settings of a process are invalid; the message says why."""


class ListenError(PostspringError):
    """An address can't be listened on; the message names it and why."""


class ConfigurationError(PostspringError):
    """A configuration is invalid; the message says why."""


class TransportError(PostspringError):
    """A connection could not be established, or it failed.

    Parameters
    ----------
    sent : bool
        Whether any byte of the request may have left this process.  A
        request with ``sent=False`` was certainly not executed.
    is_unreachable : bool
        Whether the peer's machine could not be reached or did not
        acknowledge data.
    is_broken : bool
        Whether the connection was closed by the peer or failed.
    is_refused : bool
        Whether the peer's machine refused the connection: no process listens
        at the address.
    """

    def __init__(
        self,
        message: str,
        sent: bool = True,
        is_unreachable: bool = False,
        is_broken: bool = False,
        is_refused: bool = False,
    ):
        super().__init__(message)
        self.sent = sent
        self.is_refused = is_refused
        self.is_unreachable = is_unreachable
        self.is_broken = is_broken


class PlatformError(PostspringError):
    """The platform's log or VM list did not respond as specified."""


class PeerError(PostspringError):
    """Another VM could not be reached, or violated the peer protocol."""


class UpstreamError(PostspringError):
    """An upstream's response, or its entry in the store, is unusable."""
