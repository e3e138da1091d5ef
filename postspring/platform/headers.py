"""Header fields of calls and responses, and their decoding."""

from collections.abc import Iterable
import math

from postspring import forwarding
from postspring import histories
from postspring.platform import names
from postspring import transport

__all__ = ["PlatformWireFormat"]

# Fields of a single connection, and fields that are set again on forwarding.
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
_SYSTEM_FIELDS = frozenset(
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

_CONTENT_ENCODING = "content-encoding"
_LAST_EVENT = names.LAST_EVENT_ID.lower()
_EVENT_ID = b"id"
_EVENT_WEIGHTS = names.WEIGHT_VERSIONS.lower().encode()

Fields = list[tuple[str, str]]


class PlatformWireFormat(forwarding.WireFormat):
    """Decodes and encodes the platform's header fields."""

    def decode_call(self, header: forwarding.HeaderGetter):
        """Return the content of a call's header fields."""
        prompt_tokens, ceiling = _parse_integer_pair(header(names.TOKEN_USAGE))
        previous = header(names.PREVIOUS_TURN)
        request = header(names.REQUEST_ID)
        return forwarding.CallFacts(
            request=request,
            turn=histories.TurnId(request),
            deadline=_parse_milliseconds(header(names.DEADLINE_MS)),
            prompt_tokens=prompt_tokens,
            ceiling=ceiling,
            prompt_parts=_parse_prompt_parts(header(names.PROMPT_PREFIX)),
            affinity_key=header(names.AFFINITY_KEY),
            program=histories.ProgramId(header(names.PROGRAM_ID)),
            line=header(names.SESSION_ID),
            program_deadline=_parse_milliseconds(
                header(names.PROGRAM_DEADLINE_MS)
            ),
            budget=transport.parse_integer(header(names.TOKEN_BUDGET)),
            previous=histories.TurnId(previous) if previous else None,
        )

    def decode_key(self, fields: Fields) -> str:
        """Return a call's API key; empty unless there is exactly one."""
        keys = [
            value
            for name, value in fields
            if name.lower() == names.CREDENTIAL.lower()
        ]
        if len(keys) != 1:
            return ""
        # header fields were decoded as Latin-1, byte by byte
        return keys[0].encode("latin-1", "replace").decode("utf-8", "replace")

    def decode_workspace(self, header: forwarding.HeaderGetter) -> str:
        """Return the workspace that another VM has determined."""
        return header(names.TENANT)

    def upstream_fields(self, fields: Fields, extra) -> Fields:
        """Return the header fields to send to an upstream."""
        forwarded = _without_hop_by_hop(fields, _SYSTEM_FIELDS)
        if extra.remaining is not None:
            milliseconds = max(1, int(extra.remaining * 1000))
            forwarded.append((names.DEADLINE_MS, str(milliseconds)))
        if extra.upstream:
            forwarded.append((names.TARGET_INSTANCE, extra.upstream))
        if extra.workspace:
            forwarded.append((names.TENANT, extra.workspace))
        if extra.urgency is not None:
            forwarded.append((names.URGENCY, str(extra.urgency)))
        if extra.last_event is not None:
            forwarded = [
                item for item in forwarded if item[0].lower() != _LAST_EVENT
            ]
            forwarded.append((names.LAST_EVENT_ID, str(extra.last_event)))
        if extra.weights:
            forwarded.append((names.EXPECTED_VERSION, extra.weights))
        return forwarded

    def decode_response(self, status: int, headers: dict[str, str]):
        """Return the content of a response's headers, names in lower case."""
        return forwarding.ResponseFacts(
            request=headers.get(names.REQUEST_ID.lower(), ""),
            not_run=(names.NOT_EXECUTED.lower() in headers or status == 421),
            wrong_upstream=status == 421,
            sealed=names.SERVER_SEAL.lower() in headers,
            is_encoded=_CONTENT_ENCODING in headers,
            upstream=headers.get(names.INSTANCE_ID.lower(), ""),
            weights=headers.get(names.WEIGHT_VERSIONS.lower(), ""),
        )

    def decode_event(self, event: bytes):
        """Return the number and weights of a complete stream event.

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
                number = transport.parse_integer(
                    value.strip().decode("latin-1")
                )
            elif name == _EVENT_WEIGHTS:
                weights = value.strip().decode("latin-1")
        return forwarding.EventFacts(number, weights)

    def caller_fields(self, fields: Fields, sealed: bool) -> Fields:
        """Return the header fields of an upstream's response to forward."""
        dropped = frozenset(() if sealed else (names.SERVER_SEAL.lower(),))
        return _without_hop_by_hop(fields, dropped)

    def own_fields(self, request: str, retry_after: float | None) -> Fields:
        """Return the header fields of a response that this VM generates."""
        fields = []
        if request:
            fields.append((names.REQUEST_ID, request))
        if retry_after is not None:
            fields.append((names.RETRY_AFTER, f"{retry_after:.2f}"))
        return fields


def _without_hop_by_hop(fields: Iterable, dropped: frozenset) -> Fields:
    """Return the fields except hop-by-hop ones and ``dropped`` ones."""
    fields = list(fields)
    connection_options: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            connection_options.update(
                token.strip().lower() for token in value.split(",")
            )
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in _HOP_BY_HOP
        and name.lower() not in dropped
        and name.lower() not in connection_options
    ]


def _parse_milliseconds(text: str) -> float | None:
    """Return a header's milliseconds in seconds; None if it is no number.

    Examples
    --------
    >>> [_parse_milliseconds(text) for text in ("2500", "-1", "nan", "")]
    [2.5, 0.0, None, None]
    """
    try:
        seconds = float(text) / 1000 if text else math.nan
    except ValueError:
        return None
    return max(0.0, seconds) if math.isfinite(seconds) else None


def _parse_integer_pair(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    return transport.parse_integer(
        first.strip()
    ) or 0, transport.parse_integer(second.strip()) or 0


def _parse_prompt_parts(text: str) -> tuple[tuple[str, int], ...]:
    """Return id and token count of each part of a prompt, in order."""
    parts = []
    for item in text.split(","):
        part, _, text = item.strip().rpartition(":")
        tokens = transport.parse_integer(text)
        if part and tokens is not None:
            parts.append((part, tokens))
    return tuple(parts)
