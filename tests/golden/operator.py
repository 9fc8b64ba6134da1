"""Samples of what operators meet: the control socket, the command line, its output, and the shell's tables."""

from __future__ import annotations

import json
import shutil
import tempfile
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click
from click.testing import CliRunner

from tests.golden.sample import Format, Sample
from thornshelf.cli import cli
from thornshelf.config import read_config
from thornshelf.control import fleet_tables, frames
from thornshelf.control.core_tables import CoreTables, flat
from thornshelf.control.history import History, Tallies
from thornshelf.control.tables import Table
from thornshelf.lab.standins import CONFIG
from thornshelf.shell import ready

# the control socket

ASKED = frames.Asked(
    number=7, table="tasks", columns=["uid", "node"], only={"node": "s-1", "hint_ms": None}, fleet=True
)
SAID: dict[str, frames.Answer] = {
    "page": frames.Page(number=7, member="n0", at_ms=1_700_000_000_123, rows=[["a", 1, 0.5, None], []]),
    "end": frames.End(number=7, told=["n0"], missing=[("n1", "it does not answer")]),
    "declined": frames.Declined(number=7, code="TS2001", text="no table is called 'x'"),
    "known": frames.Known(
        number=7,
        member="n0",
        version="0.3.0",
        in_fleet=True,
        tables=[frames.Shape(name="tasks", meaning="each task", columns=[("uid", "TEXT", "its id")])],
    ),
}


def body_of(data: bytes) -> bytes:
    (body,) = frames.Words(most=frames.MOST_SAID).take(data)
    return body


def said_sample(name: str, word: frames.Answer) -> Sample:
    return Sample(name, lambda: frames.pack(word), lambda data: frames.read_answer(body_of(data)), word)


CONTROL = Format(
    "control.txt",
    [
        Sample("asked", lambda: frames.pack(ASKED), lambda data: frames.read_asked(body_of(data)), ASKED),
        Sample(
            "asked-with-least",
            lambda: frames.pack(frames.Asked(number=0)),
            lambda data: frames.read_asked(body_of(data)),
            frames.Asked(number=0),
        ),
        *(said_sample(name, word) for name, word in SAID.items()),
    ],
)

# the command line

DEPLOY = CONFIG.parent.parent / "deploy"


ENVIRONMENT = {"LB_CONFIG": str(CONFIG), "LB_LISTEN": "127.0.0.1:0"}


def copied(folder: Path) -> Path:
    """The files of deploy/, in a folder that has the key that one of them names."""
    for file in DEPLOY.glob("*.toml"):
        shutil.copy(file, folder)
    (folder / "fleet.key").write_bytes(bytes(range(32)))
    (folder / "fleet.key").chmod(0o600)
    return folder


def setting_keys(name: str) -> bytes:
    """The keys of the table `settings` under a file of deploy/."""
    with tempfile.TemporaryDirectory() as place:
        config = read_config(ENVIRONMENT, str(copied(Path(place)) / name))
    return json.dumps([key for key, _ in flat(config)]).encode() + b"\n"


def check_config(name: str) -> bytes:
    """What `check-config` says of a file of deploy/."""
    with tempfile.TemporaryDirectory() as place:
        folder = copied(Path(place).resolve())
        done = CliRunner(env=ENVIRONMENT).invoke(cli, ["check-config", str(folder / name)])
    said = done.output.replace(str(folder), "FOLDER")
    return json.dumps({"exit_code": done.exit_code, "output": said}).encode() + b"\n"


def schema() -> bytes:
    """The schema of the operator's file, in one line."""
    return json.dumps(json.loads(CliRunner().invoke(cli, ["schema"]).output)).encode() + b"\n"


SHIPPED = ["admission", "balancer", "control", "fleet", "grpc", "subset", "translate"]
OPERATOR_FILE = Format(
    "operator-file.txt",
    [
        Sample("schema", schema),
        *(Sample(name, partial(check_config, f"{name}.toml")) for name in SHIPPED),
    ],
    binary=False,
)


def options(command: click.Command) -> bytes:
    """The parameters of a command: names, kinds, choices and defaults."""
    told = [
        {
            "names": [*one.opts, *one.secondary_opts],
            "required": one.required,
            "type": one.type.to_info_dict(),
            "default": str(one.default),
        }
        for one in command.params
    ]
    return json.dumps(told).encode() + b"\n"


def commands(group: click.Group, path: str) -> list[Sample]:
    """All commands below a group, each by its whole name."""
    found = [Sample(path, lambda: options(group))]
    for name, command in sorted(group.commands.items()):
        if isinstance(command, click.Group):
            found += commands(command, f"{path}/{name}")
        else:
            found.append(Sample(f"{path}/{name}", partial(options, command)))
    return found


COMMANDS = Format("commands.txt", commands(cli, "thornshelf"), binary=False)

# the shell


def all_tables() -> list[Table]:
    """All tables that a dispatcher in a fleet declares; their rows are never made here."""
    nothing: Any = None
    core: Any = SimpleNamespace(in_runs=lambda: None)
    made = list(CoreTables(core, History(1), Tallies(), nothing).tables(nothing))
    made += [fleet_tables.members(nothing), fleet_tables.evidence(nothing, nothing)]
    return [*made, fleet_tables.news(nothing), fleet_tables.allowances(nothing)]


def shape(table: Table) -> bytes:
    return json.dumps([[column.name, column.kind] for column in table.columns]).encode() + b"\n"


def query(one: ready.Ready) -> bytes:
    return json.dumps([one.sql, one.fleet]).encode() + b"\n"


SHELL = Format(
    "shell.txt",
    [
        *(Sample(f"table-{one.name}", partial(shape, one)) for one in all_tables()),
        *(Sample(f"query-{one.name}", partial(query, one)) for one in ready.READY),
        *(
            Sample(f"settings-{name}", partial(setting_keys, f"{name}.toml"))
            for name in SHIPPED
            if name != "balancer"
        ),
        Sample("alike", lambda: json.dumps([ready.ALIKE, ready.OWN]).encode() + b"\n"),
    ],
    binary=False,
)
FORMATS = [CONTROL, OPERATOR_FILE, COMMANDS, SHELL]
