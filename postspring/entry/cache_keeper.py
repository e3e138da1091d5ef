"""Engine memory of programs that are gone: released, and reconciled."""

import json
import logging
from typing import Any

from postspring import configuration
from postspring import coordination
from postspring.entry import slot_hosts
from postspring import errors
from postspring import identifiers
from postspring import metrics
from postspring import ownership
from postspring import scheduling
from postspring import transport

__all__ = ["CacheKeeper"]

LOG = logging.getLogger(__name__)
POLL_SECONDS = 5.0
GRACE_SECONDS = 15.0
ATTEMPTS = 5
FIRST_RETRY_SECONDS = 0.5


class _JsonAnswer(transport.HttpListener):
    """Hands on the status and the JSON of a whole answer."""

    def __init__(self, on_answer, on_error):
        self._on_answer = on_answer
        self._on_error = on_error
        self._status = 0
        self._body = bytearray()

    def head(self, status, headers):
        """Keep the status."""
        self._status = status

    def data(self, chunk):
        """Keep a part of the body."""
        self._body += chunk

    def end(self):
        """Hand the answer on."""
        try:
            parsed = json.loads(self._body)
        except ValueError as error:
            self._on_error(errors.UpstreamError(f"not JSON: {error}"))
            return
        self._on_answer(self._status, parsed)

    def failed(self, error):
        """Turn the transport's error into an upstream's."""
        self._on_error(errors.UpstreamError(str(error)))


class CacheKeeper:
    """Has engines drop the cache of programs that are gone.

    Explanation
    ===========

    When a program ends, its owner orders every engine that it ran on to
    release it, under the slot's epoch as fencing number; an owner that
    takes a slot over orders the same again for programs that had ended.
    Besides, each engine's cache events are followed by one VM of every data
    centre, chosen by rendezvous hashing: a session that seems held although
    its program is gone for a while is released too.  Events come late and
    with gaps, so a session counts as held from its first event until a
    release is acknowledged.

    Parameters
    ==========

    vm : str
        This VM.
    http : HttpClient
        Sends the orders.
    timers : Timers
        For polls and retries.
    hosts : SlotHosts
        Tell which programs live.
    pool : UpstreamPool
        The engines.
    meters : Metrics
        Counters.
    """

    def __init__(
        self,
        vm: str,
        http: transport.HttpClient,
        timers: transport.Timers,
        hosts: slot_hosts.SlotHosts,
        pool: scheduling.UpstreamPool,
        meters: metrics.Metrics,
    ):
        self._vm = vm
        self._http = http
        self._timers = timers
        self._hosts = hosts
        self._pool = pool
        self._meters = meters
        self._next_event_by_engine: dict[str, int] = {}
        self._held_since: dict[tuple[str, str], float] = {}
        self._poller: transport.TimerHandle | None = None

    def start(self) -> None:
        """Begin to follow cache events."""
        self._poller = self._timers.call_every(POLL_SECONDS, self._poll)

    def close(self) -> None:
        """Stop following them."""
        if self._poller is not None:
            self._poller.cancel()

    def release(self, effect: coordination.ReleaseCache) -> None:
        """Order a program's cache released on the engines it ran on."""
        for engine in effect.upstreams:
            self._order(engine, effect.program, effect.fencing, ATTEMPTS)

    # -- orders -------------------------------------------------------------

    def _order(
        self, engine: str, program: str, fencing: int, attempts: int
    ) -> None:
        upstream = self._pool.upstream_by_id.get(engine)
        if upstream is None:
            return

        def answered(status: int, body: Any) -> None:
            outcome = {200: "released", 409: "fenced"}.get(status, "failed")
            self._meters.releases.add(1, {"outcome": outcome})
            self._held_since.pop((engine, program), None)

        def failed(error: errors.UpstreamError) -> None:
            self._meters.releases.add(1, {"outcome": "lost"})
            if attempts <= 1:
                return
            pause = FIRST_RETRY_SECONDS * 2 ** (ATTEMPTS - attempts)
            self._timers.call_later(
                pause, self._order, engine, program, fencing, attempts - 1
            )

        body = {
            "order": "release",
            "session": program,
            "scope": program,
            "fencing": fencing,
        }
        request = transport.HttpRequest(
            address=configuration.parse_address(upstream.address),
            method="POST",
            path="/orders",
            body=json.dumps(body).encode(),
            headers=(("Content-Type", "application/json"),),
            timeout=5.0,
        )
        self._http.send(request, _JsonAnswer(answered, failed))

    # -- reconciliation -----------------------------------------------------

    def _poll(self) -> None:
        for host in self._hosts.all:
            self._release_strays(host)
        alive = self._hosts.alive(self._hosts.home.data_center)
        for upstream in list(self._pool.upstream_by_id.values()):
            if upstream.kind is not configuration.UpstreamKind.ENGINE:
                continue
            if self._watches(upstream.id, alive):
                self._ask_events(upstream)

    def _watches(self, engine: str, alive: list[str]) -> bool:
        by_weight = {f"{engine}/{vm}": vm for vm in alive}
        chosen = ownership.preferred_owner(0, by_weight)
        return by_weight.get(chosen) == self._vm

    def _ask_events(self, upstream: Any) -> None:
        first = self._next_event_by_engine.get(upstream.id, 0)

        def answered(status: int, body: Any) -> None:
            if status == 200 and isinstance(body, dict):
                self._take_events(upstream.id, body)

        request = transport.HttpRequest(
            address=configuration.parse_address(upstream.address),
            method="GET",
            path=f"/cache/events?from={first}",
            timeout=5.0,
        )
        self._http.send(request, _JsonAnswer(answered, lambda error: None))

    def _take_events(self, engine: str, body: dict[str, Any]) -> None:
        events = body.get("events", ())
        known = self._next_event_by_engine.get(engine, 0)
        if int(body.get("next", 0)) < known:
            # The engine was restarted: its cache is empty.
            known = 0
        for event in events:
            key = (engine, str(event.get("session", "")))
            known = max(known, int(event.get("offset", 0)) + 1)
            if event.get("kind") == "stored":
                self._held_since.setdefault(key, self._timers.now())
            elif event.get("kind") == "released":
                self._held_since.pop(key, None)
        self._next_event_by_engine[engine] = known

    def _release_strays(self, host: Any) -> None:
        """Release sessions of the host's programs that are gone."""
        if not host.tail.has_caught_up:
            return
        now = self._timers.now()
        for (engine, session), since in list(self._held_since.items()):
            place = _place_of(session)
            if place is None or place.data_center != host.data_center:
                continue
            slot = host.fold.slot_by_number.get(place.slot)
            if slot is None or not slot.established:
                continue
            program = slot.program_by_id.get(session)
            if program is not None and program.live:
                self._held_since[engine, session] = now
                continue
            if now - since >= GRACE_SECONDS:
                self._held_since[engine, session] = now
                self._meters.strays.add(1)
                self._order(engine, session, slot.epoch, 1)


def _place_of(session: str) -> identifiers.ProgramAddress | None:
    try:
        return identifiers.parse_program_id(session)
    except errors.IdentifierError:
        return None
