"""The language's grammar for lark, and its parser."""

import lark

from postspring.command import statements
from postspring import errors

__all__ = ["GRAMMAR", "parse"]

GRAMMAR = r"""
start: statement [";"]
?statement: query | drain | give_back | set_field | cancel
          | load | unload | set_role | declare

query: "show"i collection ["(" columns ")"] [where] [group] [order] [limit]
collection: NAME
columns: column ("," column)*
?column: aggregate | NAME -> field
aggregate: "count"i -> count
         | FUNCTION "(" NAME ")" -> function
where: "where"i comparison ("and"i comparison)*
comparison: NAME OPERATOR value
group: "by"i NAME ("," NAME)*
order: "order"i "by"i sort ("," sort)*
sort: sort_column [DIRECTION]
?sort_column: aggregate | NAME -> field
limit: "limit"i INT

drain: "drain"i TARGET ID
give_back: "return"i TARGET ID
set_field: "set"i SETTABLE ID NAME "=" value
cancel: "cancel"i "program"i ID
load: "load"i LOADABLE ID "on"i ID
unload: "unload"i "model"i ID "on"i ID
set_role: "set"i "role"i "of"i ID "to"i ID
declare: "declare"i "data_center"i ID STATE

?value: STRING -> text | NUMBER -> number
      | "true"i -> true | "false"i -> false | "null"i -> null | ID -> word

TARGET: "upstream"i | "vm"i
SETTABLE: "service"i | "model"i | "tool"i | "upstream"i
LOADABLE: "model"i | "adapter"i
STATE: "lost"i | "back"i
FUNCTION: "sum"i | "min"i | "max"i | "avg"i
DIRECTION: "asc"i | "desc"i
OPERATOR: "<=" | ">=" | "!=" | "=" | "<" | ">" | "~"
NAME: /[a-z_]+/
ID.-1: /[A-Za-z0-9][A-Za-z0-9._-]*/
INT: /\d+/
NUMBER.1: /-?\d+(\.\d+)?(?![A-Za-z0-9._-])/
STRING: /"[^"\n]*"/
%import common.WS
%ignore WS
"""


class _StatementBuilder(lark.Transformer):
    """Transforms a parse tree into a statement, one method per rule."""

    def start(self, children):
        return children[0]

    def text(self, children):
        return str(children[0])[1:-1]

    def number(self, children):
        text = str(children[0])
        return float(text) if "." in text else int(text)

    def word(self, children):
        return str(children[0])

    def true(self, children):
        return True

    def false(self, children):
        return False

    def null(self, children):
        return None

    def collection(self, children):
        return str(children[0])

    def field(self, children):
        return str(children[0])

    def count(self, children):
        return statements.Aggregate("count")

    def function(self, children):
        function, field = children
        return statements.Aggregate(str(function).lower(), str(field))

    def columns(self, children):
        return list(children)

    def comparison(self, children):
        field, operator, value = children
        return statements.Comparison(str(field), str(operator), value)

    def where(self, children):
        return tuple(children)

    def group(self, children):
        return tuple(str(child) for child in children)

    def sort(self, children):
        column, direction = children
        name = column if isinstance(column, str) else column.name
        descending = str(direction or "asc").lower() == "desc"
        return statements.SortKey(name, descending)

    def order(self, children):
        return tuple(children)

    def limit(self, children):
        return int(children[0])

    def query(self, children):
        collection, columns, where, group, order, limit = children
        columns = columns or []
        aggregates = [
            column
            for column in columns
            if isinstance(column, statements.Aggregate)
        ]
        fields = [column for column in columns if isinstance(column, str)]
        return statements.Query(
            collection,
            tuple(fields),
            tuple(aggregates),
            where or (),
            group or (),
            order or (),
            limit,
        )

    def drain(self, children):
        kind, name = children
        return statements.Drain(str(kind).lower(), str(name), True)

    def give_back(self, children):
        kind, name = children
        return statements.Drain(str(kind).lower(), str(name), False)

    def set_field(self, children):
        kind, name, field, value = children
        return statements.SetField(
            str(kind).lower(), str(name), str(field), value
        )

    def cancel(self, children):
        return statements.CancelProgram(str(children[0]))

    def load(self, children):
        kind, name, engine = children
        order = f"load_{str(kind).lower()}"
        return statements.EngineOrder(order, str(engine), str(name))

    def unload(self, children):
        name, engine = children
        return statements.EngineOrder("unload_model", str(engine), str(name))

    def set_role(self, children):
        engine, role = children
        return statements.EngineOrder("set_role", str(engine), str(role))

    def declare(self, children):
        data_center, state = children
        lost = str(state).lower() == "lost"
        return statements.DeclareDataCenter(str(data_center), lost)


_PARSER = lark.Lark(GRAMMAR, parser="earley", maybe_placeholders=True)
_STATEMENT_BUILDER = _StatementBuilder()
MAX_STATEMENT_CHARACTERS = 4096


def parse(text: str) -> statements.Statement:
    """Parse the text of one statement.

    Raises
    ------
    CommandError
        If the text is too long or is not a statement; for a syntax error,
        the message shows the column and the expected terminals.

    Examples
    --------
    >>> parse("show programs where spent > 100 limit 2").limit
    2
    >>> parse("drain upstream engine-1").name
    'engine-1'
    """
    if len(text) > MAX_STATEMENT_CHARACTERS:
        raise errors.CommandError(
            f"statement exceeds {MAX_STATEMENT_CHARACTERS} characters"
        )
    try:
        return _STATEMENT_BUILDER.transform(_PARSER.parse(text))
    except lark.UnexpectedEOF as error:
        column = len(text) + 1
        raise errors.CommandError(
            _syntax_error_message(
                text, column, "unexpected end of statement", error.expected
            )
        ) from error
    except lark.UnexpectedInput as error:
        expected = getattr(error, "allowed", None) or getattr(
            error, "expected", ()
        )
        raise errors.CommandError(
            _syntax_error_message(text, error.column, "syntax error", expected)
        ) from error
    except lark.exceptions.LarkError as error:
        raise errors.CommandError(str(error)) from error


def _syntax_error_message(
    text: str, column: int, problem: str, expected
) -> str:
    """Return a message that shows the text with a mark under the column."""
    terminals = ", ".join(sorted(str(name).lower() for name in expected or ()))
    text_line = text.replace("\n", " ")
    hint = f"; expected one of: {terminals}" if terminals else ""
    mark = " " * (column - 1) + "^"
    return f"column {column}: {problem}{hint}\n{text_line}\n{mark}"
