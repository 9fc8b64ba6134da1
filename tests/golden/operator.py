"""Samples of the operator interfaces: control socket, command line and its output, and shell tables."""

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

REQUEST = framing.QueryRequest(
    number=7, table="tasks", columns=["uid", "node"], filters={"node": "s-1", "hint_ms": None}, fleet=True
)
REPLIES: dict[str, framing.Reply] = {
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


def frame_body(data: bytes) -> bytes:
    (body,) = framing.FrameDecoder(max_bytes=framing.MAX_REPLY_BYTES).feed(data)
    return body


def reply_sample(name: str, reply: framing.Reply) -> Sample:
    return Sample(
        name, lambda: framing.encode_frame(reply), lambda data: framing.decode_reply(frame_body(data)), reply
    )


CONTROL = Format(
    "control.txt",
    [
        Sample(
            "asked",
            lambda: framing.encode_frame(REQUEST),
            lambda data: framing.decode_request(frame_body(data)),
            REQUEST,
        ),
        Sample(
            "asked-with-least",
            lambda: framing.encode_frame(framing.QueryRequest(number=0)),
            lambda data: framing.decode_request(frame_body(data)),
            framing.QueryRequest(number=0),
        ),
        *(reply_sample(name, reply) for name, reply in REPLIES.items()),
    ],
)

# the command line

DEPLOY = EXAMPLE_CONFIG.parent.parent / "deploy"


ENVIRONMENT = {"LB_CONFIG": str(EXAMPLE_CONFIG), "LB_LISTEN": "127.0.0.1:0"}


def copy_deploy_files(folder: Path) -> Path:
    """Copy the files of deploy/ into a folder, together with the key file that one of them needs."""
    for file in DEPLOY.glob("*.toml"):
        shutil.copy(file, folder)
    (folder / "fleet.key").write_bytes(bytes(range(32)))
    (folder / "fleet.key").chmod(0o600)
    return folder


def setting_keys(name: str) -> bytes:
    """Returns the keys in the table `settings` with an operator's file of deploy/."""
    with tempfile.TemporaryDirectory() as directory:
        config = read_config(ENVIRONMENT, str(copy_deploy_files(Path(directory)) / name))
    return json.dumps([key for key, _ in flatten_settings(config)]).encode() + b"\n"


def check_config(name: str) -> bytes:
    """Returns the exit code and output of `check-config` for an operator's file of deploy/."""
    with tempfile.TemporaryDirectory() as directory:
        folder = copy_deploy_files(Path(directory).resolve())
        result = CliRunner(env=ENVIRONMENT).invoke(cli, ["check-config", str(folder / name)])
    output = result.output.replace(str(folder), "FOLDER")
    return json.dumps({"exit_code": result.exit_code, "output": output}).encode() + b"\n"


def schema() -> bytes:
    """Returns the JSON schema of the operator's file, in one line."""
    return json.dumps(json.loads(CliRunner().invoke(cli, ["schema"]).output)).encode() + b"\n"


DEPLOY_FILES = ["admission", "balancer", "control", "fleet", "grpc", "subset", "translate"]
OPERATOR_FILE = Format(
    "operator-file.txt",
    [
        Sample("schema", schema),
        *(Sample(name, partial(check_config, f"{name}.toml")) for name in DEPLOY_FILES),
    ],
    binary=False,
)


def options(command: click.Command) -> bytes:
    """Returns the parameters of a command: names, types, choices and defaults."""
    parameters = [
        {
            "names": [*parameter.opts, *parameter.secondary_opts],
            "required": parameter.required,
            "type": parameter.type.to_info_dict(),
            "default": str(parameter.default),
        }
        for parameter in command.params
    ]
    return json.dumps(parameters).encode() + b"\n"


def commands(group: click.Group, path: str) -> list[Sample]:
    """Returns a sample for a group and each command below it, named by its path."""
    samples = [Sample(path, lambda: options(group))]
    for name, command in sorted(group.commands.items()):
        if isinstance(command, click.Group):
            samples += commands(command, f"{path}/{name}")
        else:
            samples.append(Sample(f"{path}/{name}", partial(options, command)))
    return samples


COMMANDS = Format("commands.txt", commands(cli, "thornshelf"), binary=False)

# the shell


def all_tables() -> list[Table]:
    """Returns all tables of a dispatcher in a fleet, without what their rows need."""
    missing: Any = None
    core: Any = SimpleNamespace(page_tasks=lambda: None)
    tables = list(CoreTables(core, History(1), ErrorCounters(), missing).tables(missing))
    tables += [fleet_tables.members_table(missing), fleet_tables.outlier_evidence_table(missing, missing)]
    return [*tables, fleet_tables.drain_gossip_table(missing), fleet_tables.quota_table(missing)]


def column_types(table: Table) -> bytes:
    return json.dumps([[column.name, column.sql_type] for column in table.columns]).encode() + b"\n"


def saved_query(query: saved_queries.SavedQuery) -> bytes:
    return json.dumps([query.sql, query.fleet]).encode() + b"\n"


SHELL = Format(
    "shell.txt",
    [
        *(Sample(f"table-{table.name}", partial(column_types, table)) for table in all_tables()),
        *(
            Sample(f"query-{query.name}", partial(saved_query, query))
            for query in saved_queries.SAVED_QUERIES
        ),
        *(
            Sample(f"settings-{name}", partial(setting_keys, f"{name}.toml"))
            for name in DEPLOY_FILES
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
