"""The interactive shell: SQL and a few commands that begin with a dot."""

from __future__ import annotations

import os
import shlex
import sys
import time
from collections.abc import Callable, Iterable, Iterator
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
OUTPUT_WIDTH = 200
SQL_KEYWORDS = (
    "SELECT", "FROM", "WHERE", "GROUP BY", "ORDER BY", "HAVING", "LIMIT", "JOIN", "USING", "count(*)", "sum(", "max(",
    "min(", "avg(", "group_concat(", "DISTINCT", "DESC", "AND", "OR", "NOT", "NULL", "LIKE", "IN", "AS",
)  # fmt: skip
HELP_TEXT = """\
SQL: one SELECT over the tables, e.g.  SELECT node, health, standing FROM nodes ORDER BY standing DESC
Every row has `member` (who tells it) and `at_ms` (of which moment). `unanswered` names who told nothing, and why.

.tables             the tables                    .columns TABLE     its columns and what they mean
.queries            ready queries                 .run NAME          run one of them
.fleet / .here      ask all members / only this dispatcher
.why NODE|TASK      why a node is not chosen; what became of a task (by its id or its name)
.diff [TABLE]       what members hold differently (nodes, members, settings, allowances)
.watch SECONDS SQL  again and again, until Ctrl-C; also .watch 2 .run down
.help               this                          .quit              leave (or Ctrl-D)"""


class Shell:
    """Reads lines, and writes to a console."""

    def __init__(self, place: str, limits: QueryLimits, fleet: bool | None, console: Console) -> None:
        self.socket_path, self.limits, self.console = place, limits, console
        self.engine = QueryEngine(ControlClient(place, limits.timeout_s), limits)
        self.fleet = self.engine.catalog.in_fleet if fleet is None else fleet
        self.failed = False
        self.commands: dict[str, Callable[[str], None]] = {
            ".tables": self._tables, ".columns": self._columns, ".queries": self._queries, ".run": self._run_saved,
            ".fleet": lambda _: self._set_scope(True), ".here": lambda _: self._set_scope(False), ".why": self._why,
            ".diff": self._diff, ".watch": self._watch, ".help": lambda _: self.print_lines(HELP_TEXT),
        }  # fmt: skip

    # what it writes

    def print_lines(self, *lines: str, style: str = "") -> None:
        """Plain lines."""
        for line in lines:
            self.console.print(Text(line, style=style), soft_wrap=True)

    @property
    def scope(self) -> str:
        """Whom it asks."""
        return "fleet" if self.fleet else output.sanitize(self.engine.catalog.member)

    def print_banner(self) -> None:
        """The first lines."""
        known = self.engine.catalog
        version, name = output.sanitize(known.version), output.sanitize(known.member)
        asks = "all members of its fleet" if self.fleet else "this dispatcher alone"
        self.print_lines(
            f"thornshelf {version}, dispatcher {name}; asking {asks}. `.help` helps, `.queries` gives a start."
        )

    def run_query(self, sql: str, fleet: bool | None = None) -> None:
        """A query and its result."""
        result = self.engine.query(sql, self.fleet if fleet is None else fleet)
        if result.rows:
            self.console.print(output.render_table(result))
        for line in output.summary_lines(result):
            self.print_lines(line, style="bold red" if line.startswith("NOT ALL") else "dim")

    # what it reads

    def handle_line(self, line: str) -> bool:
        """One line; false where it ends the shell. An error costs the line, and a lost dispatcher is called again."""
        line = line.strip()
        if line in (".quit", ".exit"):
            return False
        if not line:
            return True
        try:
            self._execute(line)
        except ThornshelfError as fault:
            self.failed = True
            self.print_lines(f"{fault} [{fault.code}]", style="red")
            self.print_lines(f"What to do: {fault.remedy}", style="dim")
            self._reconnect()
        return True

    def _execute(self, line: str) -> None:
        if not line.startswith("."):
            self.run_query(line.rstrip(";"))
            return
        word, _, rest = line.partition(" ")
        if (command := self.commands.get(word)) is None:
            self.failed = True
            self.print_lines(f"no command is called {output.sanitize(word)}; `.help` lists them", style="red")
            return
        command(rest.strip())

    def _reconnect(self) -> None:
        """A new connection: what was still to come on the old one answers nothing any more."""
        self.engine.client.close()
        with suppress(ThornshelfError):  # the next line says so
            self.engine = QueryEngine(ControlClient(self.socket_path, self.limits.timeout_s), self.limits)

    def _set_scope(self, fleet: bool) -> None:
        if fleet and not self.engine.catalog.in_fleet:
            self.print_lines(
                "this dispatcher is in no fleet (no table `fleet` in its operator's file)", style="red"
            )
            return
        self.fleet = fleet
        self.print_lines("asking all members" if fleet else "asking this dispatcher alone")

    def _tables(self, _: str) -> None:
        for shape in self.engine.schemas.values():
            self.print_lines(f"{output.sanitize(shape.name):<12} {output.sanitize(shape.meaning)}")
        self.print_lines(
            f"{UNANSWERED_TABLE:<12} Who told nothing, or not all, and why; filled by the other tables of a query."
        )

    def _columns(self, name: str) -> None:
        if (shape := self.engine.schemas.get(name)) is None:
            self.print_lines(
                "`.columns TABLE`; the tables are: " + ", ".join(self.engine.schemas), style="red"
            )
            return
        beside = [(one, kind, "beside every row") for one, kind in ORIGIN_COLUMNS]
        for column, kind, meaning in [*beside, *shape.columns]:
            self.print_lines(f"{output.sanitize(column):<14} {kind:<8} {output.sanitize(meaning)}")

    def _queries(self, _: str) -> None:
        for one in saved_queries.SAVED_QUERIES:
            self.print_lines(f".run {one.name:<12} {one.question}")

    def _run_saved(self, name: str) -> None:
        one = saved_queries.QUERIES_BY_NAME.get(name)
        if one is None:
            self.print_lines(
                "`.run NAME`; the names are: " + ", ".join(saved_queries.QUERIES_BY_NAME), style="red"
            )
        elif any(table not in self.engine.schemas for table in self._fleet_tables(one.sql)):
            self.print_lines("this dispatcher is in no fleet, and has no such table", style="red")
        else:
            self.print_lines(one.question, style="bold")
            self.run_query(one.sql)

    def _fleet_tables(self, sql: str) -> Iterable[str]:
        return ["members"] if "FROM members" in sql else ["allowances"] if "FROM allowances" in sql else []

    def _why(self, what: str) -> None:
        if not what:
            self.print_lines("`.why NODE` or `.why TASK` (its id or its name, in hex digits)", style="red")
            return
        lines = (
            explain_task(self.engine, what) if is_task_id(what) else explain_node(self.engine, unquote(what))
        )
        for line in lines:
            self.print_lines(line, style="bold red" if line.startswith("NOT HEARD") else "")

    def _diff(self, table: str) -> None:
        if not self.engine.catalog.in_fleet:
            self.print_lines("this dispatcher is in no fleet: there is nothing to compare", style="red")
            return
        for name in [table] if table else ["members", "nodes"]:
            if (sql := saved_queries.difference_query(name)) is None:
                self.print_lines(
                    "`.diff TABLE`; what can be compared: " + ", ".join(saved_queries.COMPARED_COLUMNS),
                    style="red",
                )
                return
            self.print_lines(f"{name}: what members hold differently", style="bold")
            self.run_query(sql, True)

    def _watch(self, rest: str) -> None:
        seconds, _, line = rest.partition(" ")
        try:
            pause = float(seconds)
        except ValueError:
            pause = 0.0
        if not 0.1 <= pause <= 3600.0 or not line.strip() or line.strip().startswith(".watch"):
            self.print_lines("`.watch SECONDS SQL`, at least 0.1", style="red")
            return
        try:
            while True:
                if self.console.is_terminal:
                    self.console.clear()
                self.print_lines(f"every {pause:g} s, Ctrl-C ends: {output.sanitize(line)}", style="dim")
                self._execute(line.strip())
                time.sleep(pause)
        except KeyboardInterrupt:
            self.print_lines("")


def unquote(text: str) -> str:
    """A name as it is, or in quotes, where it holds what can't be typed: 'a\\x1b' is read as Python writes it."""
    if text[:1] not in ("'", '"'):
        return text.encode().decode("unicode_escape") if "\\x" in text else text
    try:
        return shlex.split(text)[0]
    except (ValueError, IndexError):
        return text


def completions(engine: QueryEngine, line: str = "") -> list[str]:
    """What may come next: after some commands names of ready queries or of tables, else all words and commands."""
    word, space, _ = line.lstrip().partition(" ")
    named: dict[str, Iterable[str]] = {
        ".run": saved_queries.QUERIES_BY_NAME,
        ".columns": engine.schemas,
        ".diff": saved_queries.COMPARED_COLUMNS,
    }
    if space and word in named:
        return list(named[word])
    names = {column for shape in engine.schemas.values() for column, _, _ in shape.columns}
    names |= set(engine.schemas) | {UNANSWERED_TABLE} | {name for name, _ in ORIGIN_COLUMNS}
    return [
        *sorted(names),
        *SQL_KEYWORDS,
        *(line.split()[0] for line in HELP_TEXT.splitlines() if line.startswith(".")),
    ]


def _read_lines(shell: Shell) -> Iterator[str]:
    """From a terminal with history and completion, else as they come."""
    if not sys.stdin.isatty():
        yield from sys.stdin
        return
    from prompt_toolkit import PromptSession
    from prompt_toolkit.auto_suggest import AutoSuggestFromHistory
    from prompt_toolkit.completion import DynamicCompleter, WordCompleter
    from prompt_toolkit.history import FileHistory, InMemoryHistory
    from prompt_toolkit.shortcuts import CompleteStyle

    place = HISTORY_FILE.expanduser()
    kept = FileHistory(str(place)) if os.access(place.parent, os.W_OK) else InMemoryHistory()

    def completer() -> WordCompleter:
        words = completions(shell.engine, session.default_buffer.document.text_before_cursor)
        return WordCompleter(words, ignore_case=True, WORD=True)

    session: PromptSession[str] = PromptSession(
        history=kept,
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


def run(place: str, limits: QueryLimits, fleet: bool | None) -> int:
    """Until its input ends; 0, or 1 where lines came from no terminal and one of them failed."""
    typed = sys.stdin.isatty()
    # What goes to a file or another program is not folded to some terminal's width.
    shell = Shell(
        place, limits, fleet, Console(highlight=False, width=None if sys.stdout.isatty() else OUTPUT_WIDTH)
    )
    if typed:
        shell.print_banner()
    for line in _read_lines(shell):
        try:
            if not shell.handle_line(line):
                break
        except KeyboardInterrupt:
            shell.print_lines("stopped")
            shell._reconnect()
    return int(shell.failed and not typed)
