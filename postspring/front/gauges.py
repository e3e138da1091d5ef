"""Gauges of a front VM on its metrics page."""

import time

from postspring import forwarding
from postspring.front import memory_watch
from postspring import histories
from postspring import keyedlog
from postspring import metrics as metrics_module
from postspring import quarantine
from postspring import transport

__all__ = ["observe_vm"]

MEBIBYTE = 1024 * 1024


def observe_vm(
    metrics: metrics_module.Metrics,
    configuration: keyedlog.Follower,
    upstreams: keyedlog.Follower,
    http: transport.HttpClient,
    callers: transport.HttpServer,
    journal: histories.Journal,
    timers: transport.Timers,
    quarantine_policy: quarantine.Quarantine,
    answers: forwarding.AnswerMemory,
    peers: transport.HttpServer,
    memory_mb: int,
) -> memory_watch.MemoryWatch:
    """Register the gauges of a front VM; return the watch of its memory.

    Parameters
    ----------
    configuration, upstreams : Follower
        Followers of the configuration and of the upstreams.
    http : HttpClient
        Sends calls to upstreams.
    callers : HttpServer
        Receives callers' requests.
    answers : AnswerMemory
        Collects answers of upstreams.
    peers : HttpServer
        Receives requests of other VMs.
    memory_mb : int
        Memory of the VM in MiB; 0 if unknown.
    """
    metrics.add_gauge(
        "configuration_age_seconds",
        "Seconds since when versions may be missing here",
        lambda: configuration.age,
    )
    metrics.add_gauge(
        "upstreams_age_seconds",
        "Seconds since when entries of upstreams may be missing here",
        lambda: upstreams.age,
    )
    metrics.add_gauge(
        "follower_failures",
        "Exceptions raised while records of the log were applied or read",
        lambda: configuration.failures + upstreams.failures,
    )
    metrics.add_gauge(
        "upstream_connections_opened",
        "Connections opened to upstreams",
        lambda: http.connections_opened,
    )
    metrics.add_gauge(
        "blocked_requests",
        "Requests that are rejected, as upstreams have crashed under them",
        lambda: quarantine_policy.blocked_requests,
    )
    metrics.add_gauge(
        "held_turns",
        "Whole turns whose records the log lacks",
        lambda: journal.held,
    )
    metrics.add_gauge(
        "connections_without_room",
        "Connections that had to wait or were not opened, for want of files",
        lambda: http.hub.shortage.count + callers.hub.shortage.count,
    )
    metrics.add_gauge(
        "unsent_response_bytes",
        "Response bytes buffered for callers that have not read them",
        lambda: callers.unsent_bytes,
    )
    metrics.add_gauge(
        "unsent_request_bytes",
        "Request bytes buffered for upstreams that have not read them",
        lambda: http.hub.all_unsent_bytes,
    )
    metrics.add_gauge(
        "collected_answer_bytes",
        "Bytes of upstreams' answers that are not complete",
        lambda: answers.held,
    )
    metrics.add_gauge(
        "unread_responses_discarded",
        "Connections closed for what their callers had not read",
        lambda: callers.discarded_responses,
    )
    metrics.add_gauge(
        "pauses",
        "How often the process stood still for longer than callers notice",
        lambda: timers.pauses,
    )
    metrics.add_gauge(
        "paused_seconds",
        "How long the process stood still in all",
        lambda: timers.paused_seconds,
    )
    metrics.add_gauge(
        "timer_wake_ups",
        "How often the process woke up as calls were due",
        lambda: timers.wake_ups,
    )
    metrics.add_gauge(
        "processor_seconds", "Processor time used", time.process_time
    )
    metrics.add_gauge(
        "resident_peak_bytes",
        "Most resident memory that the process has had",
        memory_watch.peak_resident_bytes,
    )
    metrics.add_gauge(
        "caller_memory_bytes",
        "Bytes held for callers, without unsent responses",
        lambda: callers.caller_memory.held,
    )
    metrics.add_gauge(
        "peer_memory_bytes",
        "Bytes held for requests of other VMs",
        lambda: peers.caller_memory.held,
    )

    return memory_watch.MemoryWatch(
        timers,
        memory_mb * MEBIBYTE,
        {
            "callers": lambda: callers.caller_memory.held,
            "collected_answers": lambda: answers.held,
            "unsent_responses": lambda: callers.unsent_bytes,
            "unsent_requests": lambda: http.hub.all_unsent_bytes,
            "peers": lambda: peers.caller_memory.held,
        },
    )
