"""The metrics page of a front VM."""

import socket

from circuits import BaseComponent

from postspring import metrics as metrics_module
from postspring import transport

__all__ = ["serve_metrics"]


def serve_metrics(
    parent: BaseComponent,
    timers: transport.Timers,
    metrics: metrics_module.Metrics,
    bind: tuple[str, int] | socket.socket,
) -> None:
    """Serve the metrics at an address, under any path."""

    def answer(call: transport.IncomingCall) -> None:
        fields = [("Content-Type", "text/plain; version=0.0.4")]
        call.respond(200, fields, metrics.scrape())

    limits = transport.ServerLimits.for_probes()
    server = transport.HttpServer(timers, answer, limits)
    server.listen(parent, bind, "metrics")
