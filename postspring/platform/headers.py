"""Header fields of calls and answers, decoded once."""

from collections.abc import Iterable
import math

from postspring import forwarding
from postspring import histories
from postspring.platform import names
from postspring import transport

__all__ = ["PlatformWireFormat"]

# Fields that concern one connection only, and those that are set anew.
_HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_SYSTEM_ONLY = frozenset(
    name.lower()
    for name in (
        names.CREDENTIAL,
        names.DEADLINE_MS,
        names.EXPECTED_VERSION,
        names.HOLD,
        names.KV_BACKUP,
        names.KV_FETCH,
        names.KV_FROM,
        names.NOT_EXECUTED,
        names.PIN_MS,
        names.TARGET_INSTANCE,
        names.TENANT,
        names.URGENCY,
    )
)

_LAST_EVENT = names.LAST_EVENT_ID.lower()
_EVENT_ID = b"id"
_EVENT_WEIGHTS = names.WEIGHT_VERSIONS.lower().encode()

Fields = list[tuple[str, str]]


class PlatformWireFormat(forwarding.WireFormat):
    """The platform's header fields, in both directions."""

    def decode_call(self, header: forwarding.HeaderGetter):
        """Return what a call's header fields say."""
        prompt_tokens, ceiling = _pair(header(names.TOKEN_USAGE))
        previous = header(names.PREVIOUS_TURN)
        request = header(names.REQUEST_ID)
        return forwarding.CallFacts(
            request=request,
            turn=histories.TurnId(request),
            deadline=_seconds(header(names.DEADLINE_MS)),
            prompt_tokens=prompt_tokens,
            ceiling=ceiling,
            prompt_parts=_parts(header(names.PROMPT_PREFIX)),
            affinity_key=header(names.AFFINITY_KEY),
            program=histories.ProgramId(header(names.PROGRAM_ID)),
            line=header(names.SESSION_ID),
            program_deadline=_seconds(header(names.PROGRAM_DEADLINE_MS)),
            budget=transport.integer_in(header(names.TOKEN_BUDGET)),
            previous=histories.TurnId(previous) if previous else None,
        )

    def decode_key(self, fields: Fields) -> str:
        """Return the API key among a call's fields; empty if not just one."""
        keys = [
            value
            for name, value in fields
            if name.lower() == names.CREDENTIAL.lower()
        ]
        if len(keys) != 1:
            return ""
        # bytes beyond ASCII were read one by one
        return keys[0].encode("latin-1", "replace").decode("utf-8", "replace")

    def decode_workspace(self, header: forwarding.HeaderGetter) -> str:
        """Return the workspace that another VM has found out."""
        return header(names.TENANT)

    def upstream_fields(self, fields: Fields, extra) -> Fields:
        """Return the header fields to send to an upstream."""
        kept = _end_to_end(fields, _SYSTEM_ONLY)
        if extra.remaining is not None:
            milliseconds = max(1, int(extra.remaining * 1000))
            kept.append((names.DEADLINE_MS, str(milliseconds)))
        if extra.upstream:
            kept.append((names.TARGET_INSTANCE, extra.upstream))
        if extra.workspace:
            kept.append((names.TENANT, extra.workspace))
        if extra.urgency is not None:
            kept.append((names.URGENCY, str(extra.urgency)))
        if extra.last_event is not None:
            kept = [item for item in kept if item[0].lower() != _LAST_EVENT]
            kept.append((names.LAST_EVENT_ID, str(extra.last_event)))
        if extra.weights:
            kept.append((names.EXPECTED_VERSION, extra.weights))
        return kept

    def decode_answer(self, status: int, headers: dict[str, str]):
        """Return what an upstream's answer says, names in lower case."""
        return forwarding.AnswerFacts(
            request=headers.get(names.REQUEST_ID.lower(), ""),
            not_run=(names.NOT_EXECUTED.lower() in headers or status == 421),
            wrong_upstream=status == 421,
            sealed=names.SERVER_SEAL.lower() in headers,
            upstream=headers.get(names.INSTANCE_ID.lower(), ""),
            weights=headers.get(names.WEIGHT_VERSIONS.lower(), ""),
        )

    def decode_event(self, event: bytes):
        """Return what a whole event of a stream says.

        Examples
        --------
        >>> PlatformWireFormat().decode_event(b"id: 7\\ndata: x\\n\\n")
        EventFacts(number=7, weights='')
        """
        number = None
        weights = ""
        for line in event.splitlines():
            name, _, value = line.partition(b":")
            if name == _EVENT_ID:
                number = transport.integer_in(value.strip().decode("latin-1"))
            elif name == _EVENT_WEIGHTS:
                weights = value.strip().decode("latin-1")
        return forwarding.EventFacts(number, weights)

    def caller_fields(self, fields: Fields, sealed: bool) -> Fields:
        """Return the header fields of an upstream's answer to pass on."""
        dropped = frozenset(() if sealed else (names.SERVER_SEAL.lower(),))
        return _end_to_end(fields, dropped)

    def own_fields(self, request: str, retry_after: float | None) -> Fields:
        """Return the header fields of an answer of our own."""
        fields = []
        if request:
            fields.append((names.REQUEST_ID, request))
        if retry_after is not None:
            fields.append((names.RETRY_AFTER, f"{retry_after:.2f}"))
        return fields


def _end_to_end(fields: Iterable, dropped: frozenset) -> Fields:
    """Return the fields that do not concern one connection only."""
    fields = list(fields)
    named: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            named.update(token.strip().lower() for token in value.split(","))
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in _HOP_BY_HOP
        and name.lower() not in dropped
        and name.lower() not in named
    ]


def _seconds(text: str) -> float | None:
    """Return milliseconds in a header as seconds; None if there are none.

    Examples
    --------
    >>> _seconds("2500"), _seconds("-1"), _seconds("nan"), _seconds("")
    (2.5, 0.0, None, None)
    """
    try:
        seconds = float(text) / 1000 if text else math.nan
    except ValueError:
        return None
    return max(0.0, seconds) if math.isfinite(seconds) else None


def _pair(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    return transport.integer_in(first.strip()) or 0, transport.integer_in(
        second.strip()
    ) or 0


def _parts(text: str) -> tuple[tuple[str, int], ...]:
    """Return the parts of a prompt: id and tokens of each, in order."""
    parts = []
    for item in text.split(","):
        part, _, text = item.strip().rpartition(":")
        tokens = transport.integer_in(text)
        if part and tokens is not None:
            parts.append((part, tokens))
    return tuple(parts)
