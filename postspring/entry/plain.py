"""Plain services, routed for callers that have no program."""

from typing import Any

from postspring import configuration
from postspring import coordination
from postspring.entry import attempts
from postspring.entry import callers
from postspring import errors
from postspring import transport

__all__ = ["PlainExchange"]

Reason = coordination.RefusalReason
Ran = coordination.Ran
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
MAX_ATTEMPTS = 3
HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length"}
)
FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key")


class PlainExchange(transport.HttpListener):
    """One request to a plain service.

    A request that may be repeated is tried on another upstream when it
    fails; one that may not, only when it certainly did not run.
    """

    def __init__(
        self, api: callers.CallerApi, incoming: Any, name: str, path: str
    ):
        self._api = api
        self._node = api.node
        self._incoming = incoming
        self._name = name
        self._path = path
        self._tried: set[str] = set()
        self._upstream = ""
        self._status = 0
        self._content_type = "application/octet-stream"
        self._body = bytearray()

    def start(self) -> None:
        """Send the request to an upstream, or refuse it."""
        upstream = self._choose()
        if upstream is None:
            self._refuse(Reason.NO_UPSTREAM, Ran.NOT_RUN)
            return
        self._tried.add(upstream.id)
        self._upstream = upstream.id
        upstream.in_flight += 1
        incoming = self._incoming
        headers = tuple(
            (name, incoming.header(name))
            for name in FORWARDED_HEADERS
            if incoming.header(name)
        )
        request = transport.HttpRequest(
            address=configuration.parse_address(upstream.address),
            method=incoming.method,
            path=f"/services/{self._name}/{self._path}".rstrip("/"),
            body=incoming.body,
            headers=headers,
            connect_timeout=attempts.CONNECT_SECONDS,
            fresh=not self._repeatable,
        )
        self._node.http.send(request, self)

    @property
    def _repeatable(self) -> bool:
        return self._incoming.method in IDEMPOTENT_METHODS

    def _choose(self):
        now = self._node.timers.now()
        candidates = [
            upstream
            for upstream in self._node.pool.upstream_by_id.values()
            if upstream.kind is configuration.UpstreamKind.SERVICE
            and self._name in upstream.serves
            and upstream.id not in self._tried
            and upstream.has_room(now)
        ]
        return min(
            candidates, key=lambda upstream: upstream.load, default=None
        )

    def head(self, status, headers):
        """Keep the status and the content's type."""
        self._status = status
        self._content_type = headers.get("content-type", self._content_type)

    def data(self, chunk):
        """Keep a part of the body."""
        self._body += chunk

    def end(self):
        """Hand the whole answer to the caller."""
        self._release(failed=False)
        if self._status == 503 and self._again("upstream_busy"):
            return
        self._incoming.respond(
            self._status, bytes(self._body), self._content_type
        )

    def failed(self, error: errors.TransportError):
        """Try another upstream if that is safe, else say what is known."""
        self._release(failed=True)
        safe = self._repeatable or not error.sent
        if safe and self._again("upstream_failed"):
            return
        ran = Ran.UNKNOWN if error.sent else Ran.NOT_RUN
        self._refuse(Reason.UPSTREAM_FAILED, ran)

    def _again(self, reason: str) -> bool:
        if len(self._tried) >= MAX_ATTEMPTS or self._choose() is None:
            return False
        if not self._node.slots.owner.retry_budget.take():
            return False
        self._node.meters.retries.add(1, {"reason": reason})
        self._body.clear()
        self.start()
        return True

    def _release(self, *, failed: bool) -> None:
        self._node.pool.release(
            self._upstream, failed=failed, now=self._node.timers.now()
        )

    def _refuse(self, reason: Reason, ran: Ran) -> None:
        self._api.refuse(
            self._incoming,
            coordination.Refused(reason=reason, ran=ran, retry_after_ms=1000),
        )


def _route(
    api: callers.CallerApi, incoming: Any, service: str, plain: str, rest: str
) -> None:
    """Pass a request on to a plain service of a service."""
    state = api.node.configuration.state.configuration
    found = state.services.get(service)
    if found is None:
        reason = Reason.UNKNOWN_SERVICE
    elif plain not in found.plain:
        reason = Reason.UNKNOWN_TARGET
    else:
        PlainExchange(api, incoming, plain, rest.lstrip("/")).start()
        return
    api.refuse(incoming, coordination.Refused(reason=reason))


for _method in ("GET", "POST", "PUT", "DELETE"):
    callers.router.route(_method, "/v1/services/<service>/<plain><rest>")(
        _route
    )
