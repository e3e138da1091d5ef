"""Imports of a front VM without the parts of libraries that it never uses.

The smallest VM has half a core, so that a start costs it twice the processor
time of the imports.  circuits imports process pools, TLS and a bridge between
processes, none of which a front VM uses.
"""

from collections.abc import Iterator
import contextlib
import gc
import os
import sys
import types

__all__ = ["placeholders", "without_collector"]


class _UnusedProcess:
    """Describes this process to circuits; no process is ever started."""

    pid = os.getpid()

    def is_alive(self) -> bool:
        """Return True: it is this process."""
        return True


_THIS_PROCESS = _UnusedProcess()


class _UnusedTlsError(OSError):
    """The TLS error that circuits looks for; never raised."""


# Modules that circuits imports and a front VM never uses, with the names that
# circuits expects in them.  They are removed again after the imports, so that
# other code that needs the real modules gets them.
_NAMES_BY_MODULE = {
    "circuits.core.bridge": {"Bridge": None, "ipc": None},
    "circuits.core.workers": {"Worker": None, "task": None},
    "multiprocessing": {
        "Process": _UnusedProcess,
        "current_process": lambda: _THIS_PROCESS,
    },
    "ssl": {
        "CERT_NONE": None,
        "CERT_REQUIRED": None,
        "PROTOCOL_TLS": None,
        "SSL_ERROR_WANT_READ": None,
        "SSL_ERROR_WANT_WRITE": None,
        "Purpose": types.SimpleNamespace(SERVER_AUTH=None, CLIENT_AUTH=None),
        "SSLContext": None,
        "SSLError": _UnusedTlsError,
        "create_default_context": None,
    },
}


@contextlib.contextmanager
def without_collector() -> Iterator[None]:
    """Suspend the garbage collector, which finds nothing during imports.

    What was imported is exempted from later collections, as it lives as long
    as the process.  Otherwise the first collection would visit all of it.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        if was_enabled:
            gc.enable()


@contextlib.contextmanager
def placeholders() -> Iterator[None]:
    """Provide placeholders of unused modules to what is imported meanwhile.

    Modules that are loaded already are used as they are.
    """
    # circuits uses pkg_resources only to declare a namespace package, and the
    # real module takes 9 MB of memory on each VM.  This placeholder stays, as
    # circuits' other packages declare their namespaces when they are imported.
    namespaces = types.ModuleType("pkg_resources")
    namespaces.declare_namespace = lambda name: None
    sys.modules.setdefault("pkg_resources", namespaces)
    added = {}
    if "circuits" not in sys.modules:
        for name, contents in _NAMES_BY_MODULE.items():
            if name not in sys.modules:
                added[name] = types.ModuleType(name)
                vars(added[name]).update(contents)
    sys.modules.update(added)
    try:
        yield
    finally:
        for name, module in added.items():
            if sys.modules.get(name) is module:
                del sys.modules[name]
