"""Operators' queries and commands on an entry VM."""

from collections.abc import Callable
import hmac
import json
import secrets
from typing import Any

from postspring import command
from postspring.command import formats
from postspring import configuration
from postspring import coordination
from postspring.entry import api_models
from postspring.entry import callers
from postspring.entry import collections
from postspring.entry import configuration_edits
from postspring import errors
from postspring import identifiers
from postspring import peers
from postspring import programs
from postspring import transport

__all__ = ["CommandRunner"]

GATHER_SECONDS = 2.0
ORDER_SECONDS = 10.0
Reason = coordination.RefusalReason


class CommandRunner:
    """Runs one text of the command language.

    Parameters
    ==========

    node : EntryNode
        The VM's parts.
    text : str
        The text.
    change_id : str
        Names the change: asking again does not repeat it.
    on_answer : callable
        Called with the answer's fields.
    on_error : callable
        Called with a PostspringError.
    """

    def __init__(
        self,
        node: Any,
        text: str,
        change_id: str,
        on_answer: Callable[[dict[str, Any]], None],
        on_error: Callable[[errors.PostspringError], None],
    ):
        self._node = node
        self._text = text
        self._change_id = change_id
        self._on_answer = on_answer
        self._on_error = on_error
        self._run_by_type = {
            command.Query: self._query,
            command.CancelProgram: self._cancel,
            command.Drain: self._edit,
            command.SetField: self._edit,
            command.DeclareDataCenter: self._edit,
            command.EngineOrder: self._order,
        }

    def run(self) -> None:
        """Parse the text and carry it out."""
        try:
            statement = command.parse(self._text)
            self._run_by_type[type(statement)](statement)
        except errors.PostspringError as error:
            self._on_error(error)

    # -- queries ------------------------------------------------------------

    def _query(self, query: command.Query) -> None:
        collection = collections.collection_by_name[query.collection]
        # Faults are told before anybody else is asked.
        command.evaluate(query, [], collection.fields)
        _Gathering(self._node, collection, query, self._on_answer).start()

    # -- changes ------------------------------------------------------------

    def _cancel(self, statement: command.CancelProgram) -> None:
        address = identifiers.parse_program_id(statement.program)
        message = coordination.EndProgram(
            program=statement.program,
            reason=programs.EndReason.CANCELLED,
        )

        def replied(reply: Any) -> None:
            if isinstance(reply, coordination.Refused):
                text = f"{reply.reason.value}: {reply.detail}"
                self._on_error(errors.CommandError(text))
            else:
                self._on_answer({"cancelled": reply.program})

        self._node.router.ask(
            message, address.data_center, address.slot, ORDER_SECONDS, replied
        )

    def _edit(self, statement: Any) -> None:
        state = self._node.configuration.state
        document = configuration_edits.edit(state.document, statement)
        configuration.parse_configuration(document)
        self._node.configuration.publish(
            document,
            state.version,
            self._change_id,
            lambda version: self._on_answer({"version": version}),
            self._on_error,
        )

    def _order(self, statement: command.EngineOrder) -> None:
        upstreams = self._node.configuration.state.configuration.upstreams
        engine = upstreams.get(statement.engine)
        if engine is None or engine.kind is not (
            configuration.UpstreamKind.ENGINE
        ):
            raise errors.CommandError(f"no engine {statement.engine!r}")
        _EngineOrdering(
            self._node, statement, engine, self._on_answer, self._on_error
        ).start()


class _Gathering:
    """Collects the rows of all VMs, and says whom it could not reach."""

    def __init__(self, node, collection, query, on_answer):
        self._node = node
        self._collection = collection
        self._query = query
        self._on_answer = on_answer
        self._rows = list(collection.rows(node))
        self._missing: set[str] = set()
        self._unreachable: list[str] = []

    def start(self) -> None:
        """Ask the other VMs, if they have rows of their own."""
        node = self._node
        if self._collection.everywhere:
            self._missing = set(node.vm_list.entry_by_vm) - {node.settings.vm}
        for vm in list(self._missing):
            node.peers.ask(
                vm,
                peers.GatherRows(collection=self._collection.name),
                GATHER_SECONDS,
                lambda reply, vm=vm: self._got(vm, reply),
                lambda error, vm=vm: self._failed(vm),
            )
        self._finish_if_whole()

    def _got(self, vm: str, reply: Any) -> None:
        self._missing.discard(vm)
        self._rows.extend(json.loads(reply.rows))
        self._finish_if_whole()

    def _failed(self, vm: str) -> None:
        self._missing.discard(vm)
        self._unreachable.append(vm)
        self._finish_if_whole()

    def _finish_if_whole(self) -> None:
        if self._missing:
            return
        table = command.evaluate(
            self._query,
            self._rows,
            self._collection.fields,
            tuple(sorted(self._unreachable)),
        )
        self._on_answer(
            {
                "columns": list(table.columns),
                "rows": [list(row) for row in table.rows],
                "unreachable": list(table.unreachable),
            }
        )


class _EngineOrdering(transport.HttpListener):
    """Sends an order to an engine under a fencing number from the log.

    The number is the offset of a record appended for this order, so a
    later order always carries a larger one, whoever sends it.  Of an
    engine that does not check the number, its report is read back.
    """

    def __init__(self, node, statement, engine, on_answer, on_error):
        self._node = node
        self._statement = statement
        self._engine = engine
        self._on_answer = on_answer
        self._on_error = on_error
        self._status = 0
        self._body = bytearray()
        self._fencing = 0

    def start(self) -> None:
        """Get a fencing number."""
        marker = json.dumps([self._statement.order, self._statement.argument])
        self._node.log_client.append(
            f"orders.{self._statement.engine}",
            [marker.encode()],
            self._send,
            self._on_error,
        )

    def _send(self, offset: int) -> None:
        self._fencing = offset + 1
        statement = self._statement
        field = "role" if statement.order == "set_role" else "model"
        body = {
            "order": statement.order,
            "scope": "engine",
            "fencing": self._fencing,
            field: statement.argument,
        }
        request = transport.HttpRequest(
            address=configuration.parse_address(self._engine.address),
            method="POST",
            path="/orders",
            body=json.dumps(body).encode(),
            headers=(("Content-Type", "application/json"),),
            timeout=ORDER_SECONDS,
            fresh=True,
        )
        self._node.http.send(request, self)

    def head(self, status, headers):
        """Keep the status."""
        self._status = status

    def data(self, chunk):
        """Keep a part of the answer."""
        self._body += chunk

    def end(self):
        """Tell what the engine said."""
        text = bytes(self._body[:200]).decode(errors="replace")
        if self._status == 409:
            message = "a later order was there first"
            self._on_error(errors.CommandError(f"{message}: {text}"))
        elif self._status != 200:
            message = f"engine answered {self._status}: {text}"
            self._on_error(errors.UpstreamError(message))
        else:
            self._on_answer(
                {
                    "ordered": self._statement.order,
                    "engine": self._statement.engine,
                    "fencing": self._fencing,
                    "checked": self._engine.checks_fencing,
                }
            )

    def failed(self, error):
        """Tell that the outcome is not known."""
        self._on_error(errors.UpstreamError(str(error)))


def _permitted(api: callers.CallerApi, incoming: Any) -> bool:
    key = api.node.settings.operator_key.get_secret_value()
    given = incoming.header("Authorization").removeprefix("Bearer ")
    return not key or hmac.compare_digest(key.encode(), given.encode())


@callers.router.route("POST", "/v1/command")
def run_command(api: callers.CallerApi, incoming: Any) -> None:
    """Run a text of the query and command language."""
    if not _permitted(api, incoming):
        api.refuse(incoming, coordination.Refused(reason=Reason.NOT_PERMITTED))
        return
    body = api_models.parse_body(api_models.CommandBody, incoming.body)
    if body.format not in formats.format_by_name:
        raise errors.CodecError(f"format: there is no {body.format!r}")

    def on_answer(answer: dict[str, Any]) -> None:
        if "columns" in answer:
            table = command.Table(
                tuple(answer["columns"]),
                tuple(tuple(row) for row in answer["rows"]),
                tuple(answer["unreachable"]),
            )
            answer["text"] = command.format_table(table, body.format)
        incoming.respond_json(200, answer)

    def on_error(error: errors.PostspringError) -> None:
        conflict = isinstance(error, configuration.PublishConflictError)
        status = 409 if conflict else 400
        if isinstance(error, (errors.PlatformError, errors.UpstreamError)):
            status = 503
        incoming.respond_json(
            status, {"error": str(error), "kind": type(error).__name__}
        )

    change_id = body.change_id or secrets.token_hex(8)
    CommandRunner(api.node, body.text, change_id, on_answer, on_error).run()
