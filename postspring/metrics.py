"""OpenTelemetry metrics for a Prometheus scraper."""

import collections
from typing import Any

__all__ = ["Metrics"]


class Metrics:
    """The metrics of one process.

    Explanation
    ===========

    Metrics are collected when ``GET /metrics`` is served, so no export
    thread is needed.  The reason of a refusal or retry is an attribute of
    its counter.

    Parameters
    ==========

    is_scraped : bool
        Whether the process serves a metrics page.  If not, OpenTelemetry is
        not imported, which saves a VM memory and a fifth of its start.
    """

    def __init__(self, is_scraped: bool = True):
        self._meter = _PrometheusMeter() if is_scraped else _UnscrapedMeter()
        self.refusals = self._counter(
            "refusals", "Requests refused, by reason and whether they ran"
        )
        self.refusal_counts: collections.Counter = collections.Counter()
        self.retries = self._counter("retries", "Attempts retried, by reason")
        self.response_ends = self._counter(
            "response_ends",
            "Responses of upstreams that did not end by their own framing, by "
            "the end of their connection and whether they count as complete",
        )
        self.subset_departures = self._counter(
            "subset_departures",
            "Calls sent outside of this VM's subset of upstreams, by reason",
        )
        self.calls = self._counter("calls", "Calls answered, by kind")
        self.admissions = self._counter(
            "program_admissions",
            "First turns by decision of admission control",
        )
        self.held = self._counter(
            "held_answers", "Answers given before they were in the log"
        )
        self.interrupted_responses = self._counter(
            "connections_cut",
            "Callers' connections that ended with something owed, by whom",
        )
        self.appends = self._counter("log_appends", "Batches appended")
        self.records = self._counter(
            "log_records", "Records folded, by verdict"
        )
        self.releases = self._counter(
            "cache_releases", "Orders to drop a program's cache, by outcome"
        )
        self.strays = self._counter(
            "cache_strays", "Sessions of programs that are gone, found held"
        )
        self.claims = self._counter("claims", "Slots claimed by this VM")
        self.peers_lost = self._counter("peers_lost", "Peer links lost")
        self.relayed_bytes = self._counter(
            "relayed_bytes", "Bytes of streams relayed to callers"
        )
        self.stalled_callers = self._counter(
            "stalled_callers", "Streams paused for a slow caller"
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the platform's store, by outcome"
        )
        self.partition_suspicions = self._counter(
            "partition_suspicions",
            "Suspicions of a network partition, by outcome",
        )
        self.entries_refused = self._counter(
            "entries_refused", "Upstreams' entries that can't be read"
        )
        self.call_seconds = self._meter.create_histogram(
            "postspring_call_seconds", unit="s", description="Call latency"
        )

    def refused(self, reason: str, ran: str) -> None:
        """Count a refused request."""
        self.refusal_counts[reason, ran] += 1
        self.refusals.add(1, {"reason": reason, "ran": ran})

    def count_store_call(self, name: str, outcome: str) -> None:
        """Count a call to the platform's store."""
        self.store_calls.add(1, {"call": name, "outcome": outcome})

    def count_suspicion(self, outcome: str) -> None:
        """Count a suspicion of a network partition that has ended."""
        self.partition_suspicions.add(1, {"outcome": outcome})

    def count_unreadable_entry(self) -> None:
        """Count an upstream's entry that can't be decoded."""
        self.entries_refused.add(1)

    def add_gauge(self, name: str, description: str, function: Any) -> None:
        """Add a gauge whose value ``function()`` returns at each scrape."""
        self._meter.add_gauge(f"postspring_{name}", description, function)

    def scrape(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return self._meter.render()

    def close(self) -> None:
        """Shut the meter provider down."""
        self._meter.close()

    def _counter(self, name: str, description: str):
        return self._meter.create_counter(
            f"postspring_{name}", description=description
        )


class _PrometheusMeter:
    """OpenTelemetry's meter and exporter, imported only when needed."""

    def __init__(self):
        from opentelemetry.exporter import prometheus
        from opentelemetry import metrics as api
        from opentelemetry.sdk import metrics as sdk_metrics
        import prometheus_client

        self._observation = api.Observation
        self._client = prometheus_client
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        self._provider = sdk_metrics.MeterProvider(metric_readers=[reader])
        self._meter = self._provider.get_meter("postspring")
        self.create_counter = self._meter.create_counter
        self.create_histogram = self._meter.create_histogram

    def add_gauge(self, name: str, description: str, function: Any) -> None:
        """Add a gauge whose value ``function()`` returns at each scrape."""
        self._meter.create_observable_gauge(
            name,
            callbacks=[lambda options: [self._observation(function())]],
            description=description,
        )

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return self._client.generate_latest(self._registry)

    def close(self) -> None:
        """Shut the meter provider down."""
        self._provider.shutdown()


class _UnscrapedInstrument:
    """A counter or histogram that nothing reads."""

    def add(self, amount: float, attributes: Any = None) -> None:
        """Ignore the amount."""

    def record(self, amount: float, attributes: Any = None) -> None:
        """Ignore the amount."""


class _UnscrapedMeter:
    """Takes the place of a meter in a process without a metrics page."""

    def create_counter(self, name: str, **options) -> _UnscrapedInstrument:
        """Return a counter that nothing reads."""
        return _UnscrapedInstrument()

    def create_histogram(self, name: str, **options) -> _UnscrapedInstrument:
        """Return a histogram that nothing reads."""
        return _UnscrapedInstrument()

    def add_gauge(self, name: str, description: str, function: Any) -> None:
        """Ignore the gauge."""

    def render(self) -> bytes:
        """Return an empty page."""
        return b""

    def close(self) -> None:
        """Do nothing."""
