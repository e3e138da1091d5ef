"""Root of the exception tree.

Each layer derives its own branch from :class:`PostspringError` and turns
the errors of the layer below into its own before they leave it.
"""

__all__ = [
    "CodecError",
    "CommandError",
    "ConfigurationError",
    "IdentifierError",
    "PeerError",
    "PlatformError",
    "PostspringError",
    "SettingsError",
    "TransportError",
    "UpstreamError",
]


class PostspringError(Exception):
    """Any error that postspring raises itself."""


class IdentifierError(PostspringError):
    """An id does not have the form that its kind requires."""


class CodecError(PostspringError):
    """Bytes that are not a message of the expected registry."""


class CommandError(PostspringError):
    """A text of the command language is wrong; it says where and why."""


class SettingsError(PostspringError):
    """The settings of a process are wrong; the text names every fault."""


class ConfigurationError(PostspringError):
    """A configuration document is wrong; the text names every fault."""


class TransportError(PostspringError):
    """A connection could not be made, or broke.

    Parameters
    ----------
    sent : bool
        Whether any byte of the request may have left this process.  A
        request with ``sent=False`` certainly did not run.
    is_unreachable : bool
        Whether the other side's machine does not even acknowledge.
    is_broken : bool
        Whether the connection ended, by the other side or on the way.
    """

    def __init__(
        self,
        message: str,
        sent: bool = True,
        is_unreachable: bool = False,
        is_broken: bool = False,
    ):
        super().__init__(message)
        self.sent = sent
        self.is_unreachable = is_unreachable
        self.is_broken = is_broken


class PlatformError(PostspringError):
    """The platform's log or VM list did not answer as its API says."""


class PeerError(PostspringError):
    """Another VM could not be reached, or broke the peer protocol."""


class UpstreamError(PostspringError):
    """An engine, tool or plain service gave no usable answer."""
