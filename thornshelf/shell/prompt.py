"""The interactive shell, which takes SQL and commands that begin with a dot."""

from __future__ import annotations

import os
import shlex
import sys
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import suppress
from pathlib import Path

from rich.console import Console
from rich.text import Text

from thornshelf.errors import ThornshelfError
from thornshelf.shell import output, saved_queries
from thornshelf.shell.client import ControlClient
from thornshelf.shell.engine import ORIGIN_COLUMNS, UNANSWERED_TABLE, QueryEngine, QueryLimits
from thornshelf.shell.explanations import explain_node, explain_task, is_task_id

HISTORY_FILE = Path("~/.thornshelf_history")
OUTPUT_WIDTH = 200  # columns, if the output is not a terminal
MIN_WATCH_INTERVAL_S = 0.1
MAX_WATCH_INTERVAL_S = 3600.0
SQL_KEYWORDS = (
    "SELECT", "FROM", "WHERE", "GROUP BY", "ORDER BY", "HAVING", "LIMIT", "JOIN", "USING", "count(*)", "sum(", "max(",
    "min(", "avg(", "group_concat(", "DISTINCT", "DESC", "AND", "OR", "NOT", "NULL", "LIKE", "IN", "AS",
)  # fmt: skip
HELP_TEXT = """\
SQL: one SELECT over the tables, e.g.  SELECT node, health, standing FROM nodes ORDER BY standing DESC
Each row has `member` (its sender) and `at_ms` (its time). `unanswered` lists members with missing rows, and why.

.tables             list the tables               .columns TABLE     list the columns of a table
.queries            list the saved queries        .run NAME          run a saved query
.fleet / .here      query all members / only this dispatcher
.why NODE|TASK      why a node is not chosen; what became of a task (by its id or its idempotency key)
.diff [TABLE]       rows in which members differ (nodes, members, settings, allowances)
.watch SECONDS SQL  repeat a query or command until Ctrl-C, e.g. .watch 2 .run down
.help               print this help               .quit              leave (or Ctrl-D)"""


class Shell:
    """Executes lines of input, and prints the results to a console."""

    def __init__(self, socket_path: str, limits: QueryLimits, fleet: bool | None, console: Console) -> None:
        """``fleet``: query all members, or this dispatcher alone; None: all members if it is in a fleet.

        Raises the errors of ``ControlClient``.
        """
        self.socket_path = socket_path
        self.limits = limits
        self.console = console
        self.engine = QueryEngine(ControlClient(socket_path, limits.timeout_s), limits)
        self.fleet = self.engine.catalog.in_fleet if fleet is None else fleet
        self.failed = False
        self.commands: dict[str, Callable[[str], None]] = {
            ".tables": self._tables, ".columns": self._columns, ".queries": self._queries, ".run": self._run_saved,
            ".fleet": lambda _: self._set_scope(True), ".here": lambda _: self._set_scope(False), ".why": self._why,
            ".diff": self._diff, ".watch": self._watch, ".help": lambda _: self.print_lines(HELP_TEXT),
        }  # fmt: skip

    def print_lines(self, *lines: str, style: str = "") -> None:
        """Print lines without interpreting markup in them."""
        for line in lines:
            self.console.print(Text(line, style=style), soft_wrap=True)

    @property
    def scope(self) -> str:
        """What is queried, as the prompt shows it: ``fleet``, or the name of the dispatcher."""
        return "fleet" if self.fleet else output.sanitize(self.engine.catalog.member)

    def print_banner(self) -> None:
        """Print the greeting of an interactive shell."""
        version = output.sanitize(self.engine.catalog.version)
        name = output.sanitize(self.engine.catalog.member)
        scope = "all members of its fleet" if self.fleet else "this dispatcher alone"
        self.print_lines(
            f"thornshelf {version}, dispatcher {name}; querying {scope}. `.help` lists all commands."
        )

    def run_query(self, sql: str, fleet: bool | None = None) -> None:
        """Run a query and print its result; ``fleet``: as of the shell if None. Raises the errors of the engine."""
        result = self.engine.query(sql, self.fleet if fleet is None else fleet)
        if result.rows:
            self.console.print(output.render_table(result))
        for line in output.summary_lines(result):
            self.print_lines(line, style="bold red" if line.startswith("NOT ALL") else "dim")

    def handle_line(self, line: str) -> bool:
        """Execute one line; returns whether the shell goes on. After an error it reconnects."""
        line = line.strip()
        if line in (".quit", ".exit"):
            return False
        if not line:
            return True
        try:
            self._execute(line)
        except ThornshelfError as error:
            self.failed = True
            self.print_lines(f"{error} [{error.code}]", style="red")
            self.print_lines(f"What to do: {error.remedy}", style="dim")
            self.reconnect()
        return True

    def _execute(self, line: str) -> None:
        """Run a query or a command."""
        if not line.startswith("."):
            self.run_query(line.rstrip(";"))
            return
        name, _, argument = line.partition(" ")
        command = self.commands.get(name)
        if command is None:
            self.failed = True
            self.print_lines(
                f"unknown command {output.sanitize(name)}; `.help` lists the commands", style="red"
            )
            return
        command(argument.strip())

    def reconnect(self) -> None:
        """Open a new connection, because replies to a failed query may still arrive on the old one."""
        self.engine.client.close()
        with suppress(ThornshelfError):  # the next query fails with the same error
            self.engine = QueryEngine(ControlClient(self.socket_path, self.limits.timeout_s), self.limits)

    def _set_scope(self, fleet: bool) -> None:
        if fleet and not self.engine.catalog.in_fleet:
            self.print_lines(
                "this dispatcher is not in a fleet (its operator's file has no table `fleet`)", style="red"
            )
            return
        self.fleet = fleet
        self.print_lines("querying all members" if fleet else "querying this dispatcher alone")

    def _tables(self, _: str) -> None:
        for schema in self.engine.schemas.values():
            self.print_lines(f"{output.sanitize(schema.name):<12} {output.sanitize(schema.meaning)}")
        self.print_lines(
            f"{UNANSWERED_TABLE:<12} Members whose rows are missing from the other tables of the query, and why."
        )

    def _columns(self, name: str) -> None:
        schema = self.engine.schemas.get(name)
        if schema is None:
            self.print_lines(
                "usage: `.columns TABLE`; the tables are: " + ", ".join(self.engine.schemas), style="red"
            )
            return
        origin_columns = [(column, sql_type, "in every table") for column, sql_type in ORIGIN_COLUMNS]
        for column, sql_type, meaning in [*origin_columns, *schema.columns]:
            self.print_lines(f"{output.sanitize(column):<14} {sql_type:<8} {output.sanitize(meaning)}")

    def _queries(self, _: str) -> None:
        for query in saved_queries.SAVED_QUERIES:
            self.print_lines(f".run {query.name:<12} {query.question}")

    def _run_saved(self, name: str) -> None:
        query = saved_queries.QUERIES_BY_NAME.get(name)
        if query is None:
            self.print_lines(
                "usage: `.run NAME`; the names are: " + ", ".join(saved_queries.QUERIES_BY_NAME), style="red"
            )
        elif any(table not in self.engine.schemas for table in _fleet_tables(query.sql)):
            self.print_lines(
                "this dispatcher is not in a fleet, and lacks the table of this query", style="red"
            )
        else:
            self.print_lines(query.question, style="bold")
            self.run_query(query.sql)

    def _why(self, subject: str) -> None:
        if not subject:
            self.print_lines(
                "usage: `.why NODE` or `.why TASK` (its id or its idempotency key, in hexadecimal digits)",
                style="red",
            )
            return
        if is_task_id(subject):
            lines = explain_task(self.engine, subject)
        else:
            lines = explain_node(self.engine, unquote(subject))
        for line in lines:
            self.print_lines(line, style="bold red" if line.startswith("NOT HEARD") else "")

    def _diff(self, table: str) -> None:
        if not self.engine.catalog.in_fleet:
            self.print_lines("this dispatcher is not in a fleet: there is nothing to compare", style="red")
            return
        for name in [table] if table else ["members", "nodes"]:
            sql = saved_queries.difference_query(name)
            if sql is None:
                self.print_lines(
                    "usage: `.diff TABLE`; tables that can be compared: "
                    + ", ".join(saved_queries.COMPARED_COLUMNS),
                    style="red",
                )
                return
            self.print_lines(f"{name}: rows in which members differ", style="bold")
            self.run_query(sql, True)

    def _watch(self, argument: str) -> None:
        seconds, _, line = argument.partition(" ")
        line = line.strip()
        try:
            interval_s = float(seconds)
        except ValueError:
            interval_s = 0.0
        is_valid_interval = MIN_WATCH_INTERVAL_S <= interval_s <= MAX_WATCH_INTERVAL_S
        if not is_valid_interval or not line or line.startswith(".watch"):
            self.print_lines("usage: `.watch SECONDS SQL`, with 0.1 to 3600 seconds", style="red")
            return
        try:
            while True:
                if self.console.is_terminal:
                    self.console.clear()
                self.print_lines(f"every {interval_s:g} s until Ctrl-C: {output.sanitize(line)}", style="dim")
                self._execute(line)
                time.sleep(interval_s)
        except KeyboardInterrupt:
            self.print_lines("")


def _fleet_tables(sql: str) -> Sequence[str]:
    """Returns the first table of a saved query that only a dispatcher in a fleet has, as a list."""
    return [table for table in ("members", "allowances") if f"FROM {table}" in sql][:1]


def unquote(text: str) -> str:
    """Remove the quotes of a name; in an unquoted one, decode escapes such as ``\\x1b``, as results show them."""
    if text[:1] not in ("'", '"'):
        return text.encode().decode("unicode_escape") if "\\x" in text else text
    try:
        return shlex.split(text)[0]
    except (ValueError, IndexError):
        return text


def completions(engine: QueryEngine, line: str = "") -> list[str]:
    """Returns completions of a line: the arguments of its command, otherwise all keywords, names and commands."""
    command, space, _ = line.lstrip().partition(" ")
    arguments: dict[str, Iterable[str]] = {
        ".run": saved_queries.QUERIES_BY_NAME,
        ".columns": engine.schemas,
        ".diff": saved_queries.COMPARED_COLUMNS,
    }
    if space and command in arguments:
        return list(arguments[command])
    names = {column for schema in engine.schemas.values() for column, _, _ in schema.columns}
    names |= {column for column, _ in ORIGIN_COLUMNS}
    names |= {UNANSWERED_TABLE, *engine.schemas}
    return [
        *sorted(names),
        *SQL_KEYWORDS,
        *(line.split()[0] for line in HELP_TEXT.splitlines() if line.startswith(".")),
    ]


def _read_lines(shell: Shell) -> Iterator[str]:
    """Yields lines from a terminal, with history and completion, or from another input."""
    if not sys.stdin.isatty():
        yield from sys.stdin
        return
    from prompt_toolkit import PromptSession
    from prompt_toolkit.auto_suggest import AutoSuggestFromHistory
    from prompt_toolkit.completion import DynamicCompleter, WordCompleter
    from prompt_toolkit.history import FileHistory, InMemoryHistory
    from prompt_toolkit.shortcuts import CompleteStyle

    history_file = HISTORY_FILE.expanduser()
    history = FileHistory(str(history_file)) if os.access(history_file.parent, os.W_OK) else InMemoryHistory()

    def completer() -> WordCompleter:
        candidates = completions(shell.engine, session.default_buffer.document.text_before_cursor)
        return WordCompleter(candidates, ignore_case=True, WORD=True)

    session: PromptSession[str] = PromptSession(
        history=history,
        auto_suggest=AutoSuggestFromHistory(),
        completer=DynamicCompleter(completer),
        complete_while_typing=False,
        complete_style=CompleteStyle.READLINE_LIKE,
    )
    while True:
        try:
            yield session.prompt(f"{shell.scope}> ")
        except KeyboardInterrupt:
            continue
        except EOFError:
            return


def run(socket_path: str, limits: QueryLimits, fleet: bool | None) -> int:
    """Run the shell until its input ends; returns the exit code.

    The code is 1 if a line failed and the input is not a terminal, otherwise 0.
    """
    is_interactive = sys.stdin.isatty()
    # Output to a file or a pipe is not wrapped to the width of a terminal.
    console = Console(highlight=False, width=None if sys.stdout.isatty() else OUTPUT_WIDTH)
    shell = Shell(socket_path, limits, fleet, console)
    if is_interactive:
        shell.print_banner()
    for line in _read_lines(shell):
        try:
            if not shell.handle_line(line):
                break
        except KeyboardInterrupt:
            shell.print_lines("stopped")
            shell.reconnect()
    return int(shell.failed and not is_interactive)
