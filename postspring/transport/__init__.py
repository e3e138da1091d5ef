"""Timers, TCP connections and HTTP/1.1 on the circuits event loop."""

from postspring.transport.address_probe import probe_address
from postspring.transport.caller_memory import CallerMemory
from postspring.transport.caller_memory import MemoryUse
from postspring.transport.connection_end import ConnectionEnd
from postspring.transport.exchange import Exchange
from postspring.transport.exchange_observer import ExchangeObserver
from postspring.transport.http_client import HttpClient
from postspring.transport.http_messages import content_length
from postspring.transport.http_messages import HttpListener
from postspring.transport.http_messages import HttpRequest
from postspring.transport.http_messages import parse_integer
from postspring.transport.http_messages import ResponseCollector
from postspring.transport.http_server import HttpServer
from postspring.transport.incoming import EndedBy
from postspring.transport.incoming import IncomingCall
from postspring.transport.incoming import InterruptedResponse
from postspring.transport.incoming import ServerLimits
from postspring.transport.listeners import Listeners
from postspring.transport.listeners import open_listeners
from postspring.transport.sockets import ConnectionHandler
from postspring.transport.sockets import SocketHub
from postspring.transport.timers import TimerHandle
from postspring.transport.timers import Timers

__all__ = [
    "CallerMemory",
    "ConnectionEnd",
    "ConnectionHandler",
    "EndedBy",
    "Exchange",
    "ExchangeObserver",
    "HttpClient",
    "HttpListener",
    "HttpRequest",
    "HttpServer",
    "IncomingCall",
    "InterruptedResponse",
    "Listeners",
    "MemoryUse",
    "ResponseCollector",
    "ServerLimits",
    "SocketHub",
    "TimerHandle",
    "Timers",
    "content_length",
    "open_listeners",
    "parse_integer",
    "probe_address",
]
