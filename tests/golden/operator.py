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
from thornshelf.configuration import read_config
from thornshelf.control import fleet_tables, framing
from thornshelf.control.core_tables import CoreTables
from thornshelf.control.history import ErrorCounters, History
from thornshelf.control.settings_table import flatten_settings
from thornshelf.control.tables import Table
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG
from thornshelf.shell import saved_queries

# the control socket

ASKED = framing.QueryRequest(
    number=7, table="tasks", columns=["uid", "node"], filters={"node": "s-1", "hint_ms": None}, fleet=True
)
SAID: dict[str, framing.Reply] = {
    "page": framing.RowPage(number=7, member="n0", at_ms=1_700_000_000_123, rows=[["a", 1, 0.5, None], []]),
    "end": framing.QueryEnd(number=7, answered=["n0"], missing=[("n1", "it does not answer")]),
    "declined": framing.ErrorReply(number=7, code="TS2001", text="no table is called 'x'"),
    "known": framing.CatalogReply(
        number=7,
        member="n0",
        version="0.3.0",
        in_fleet=True,
        tables=[framing.TableSchema(name="tasks", meaning="each task", columns=[("uid", "TEXT", "its id")])],
    ),
}


def body_of(data: bytes) -> bytes:
    (body,) = framing.FrameDecoder(max_bytes=framing.MAX_REPLY_BYTES).feed(data)
    return body


def said_sample(name: str, word: framing.Reply) -> Sample:
    return Sample(
        name, lambda: framing.encode_frame(word), lambda data: framing.decode_reply(body_of(data)), word
    )


CONTROL = Format(
    "control.txt",
    [
        Sample(
            "asked",
            lambda: framing.encode_frame(ASKED),
            lambda data: framing.decode_request(body_of(data)),
            ASKED,
        ),
        Sample(
            "asked-with-least",
            lambda: framing.encode_frame(framing.QueryRequest(number=0)),
            lambda data: framing.decode_request(body_of(data)),
            framing.QueryRequest(number=0),
        ),
        *(said_sample(name, word) for name, word in SAID.items()),
    ],
)

# the command line

DEPLOY = EXAMPLE_CONFIG.parent.parent / "deploy"


ENVIRONMENT = {"LB_CONFIG": str(EXAMPLE_CONFIG), "LB_LISTEN": "127.0.0.1:0"}


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
    return json.dumps([key for key, _ in flatten_settings(config)]).encode() + b"\n"


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
    core: Any = SimpleNamespace(page_tasks=lambda: None)
    made = list(CoreTables(core, History(1), ErrorCounters(), nothing).tables(nothing))
    made += [fleet_tables.members_table(nothing), fleet_tables.outlier_evidence_table(nothing, nothing)]
    return [*made, fleet_tables.drain_gossip_table(nothing), fleet_tables.quota_table(nothing)]


def shape(table: Table) -> bytes:
    return json.dumps([[column.name, column.sql_type] for column in table.columns]).encode() + b"\n"


def query(one: saved_queries.SavedQuery) -> bytes:
    return json.dumps([one.sql, one.fleet]).encode() + b"\n"


SHELL = Format(
    "shell.txt",
    [
        *(Sample(f"table-{one.name}", partial(shape, one)) for one in all_tables()),
        *(Sample(f"query-{one.name}", partial(query, one)) for one in saved_queries.SAVED_QUERIES),
        *(
            Sample(f"settings-{name}", partial(setting_keys, f"{name}.toml"))
            for name in SHIPPED
            if name != "balancer"
        ),
        Sample(
            "alike",
            lambda: json.dumps([saved_queries.COMPARED_COLUMNS, saved_queries.MEMBER_SPECIFIC_KEYS]).encode()
            + b"\n",
        ),
    ],
    binary=False,
)
FORMATS = [CONTROL, OPERATOR_FILE, COMMANDS, SHELL]
