"""The command line and the operator's file, as an operator uses them, and a small run of the translation lab."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from thornshelf import __version__
from thornshelf.__main__ import COMMANDS
from thornshelf.cli import cli
from thornshelf.configuration import ConfigError, read_config
from thornshelf.lab import translation
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG
from thornshelf.translation.failures import WireFormat

ROOT = Path(__file__).parent.parent
ENVIRONMENT = {"LB_CONFIG": str(EXAMPLE_CONFIG), "LB_LISTEN": "127.0.0.1:0"}


def test_help_and_version_need_no_configuration() -> None:
    for arguments, expected in ((["--help"], "check-config"), (["--version"], __version__)):
        result = subprocess.run(
            [sys.executable, "-m", "thornshelf", *arguments],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=60,
        )
        assert result.returncode == 0
        assert expected in result.stdout


def test_a_dispatcher_without_an_operators_file_loads_no_optional_module() -> None:
    """Guards against a larger memory footprint of dispatchers that use none of these features."""
    code = (
        "import os, sys; from thornshelf.configuration import read_config; from thornshelf.service import Service\n"
        "Service(read_config(os.environ)).close()\n"
        "optional = ('click', 'msgspec', 'google', 'h2', 'thornshelf.translation.translator',"
        " 'thornshelf.translation.field_mapping', 'thornshelf.core.idempotency', 'thornshelf.admission',"
        " 'thornshelf.lifecycle.socket_handover', 'thornshelf.retries.budget',"
        " 'thornshelf.retries.jitter', 'thornshelf.configuration.schema',"
        " 'thornshelf.configuration.operator_file', 'thornshelf.lab')\n"
        "print([module for module in optional if module in sys.modules])"
    )
    environment = os.environ | ENVIRONMENT
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, env=environment, timeout=60
    )
    assert result.stdout.strip() == "[]", result.stderr


def test_the_shipped_operator_files_are_valid() -> None:
    config = read_config(ENVIRONMENT, str(ROOT / "deploy" / "admission.toml"))
    assert config.admission is not None
    assert config.fair_queue is not None
    assert config.translation is None
    assert [rule.known for rule in config.admission.controller.rules] == [True, True]
    assert config.fair_queue.weights == {"hollis-county": 0.72, "pruett-county": 0.28}
    for name in ("grpc.toml", "translate.toml"):
        config = read_config(ENVIRONMENT, str(ROOT / "deploy" / name))
        assert (config.translation is not None) == (name == "translate.toml")
    assert config.translation is not None
    assert config.translation.limits_retries
    assert config.translation.default_formats == (WireFormat.GRPC_V2, WireFormat.BINARY)
    assert config.translation.missing_field_policies["lookup"].assumed_hint_us == 15_000_000


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[translate]\notherwise = []", "translate.otherwise"),
        ("[translate]\notherwise = ['v9']", "translate.otherwise"),
        ("[translate]\nhello_ms = 0", "translate.hello_ms"),
        ("[translate]\nhelo_ms = 5", "translate.helo_ms"),
        ("[translate.nodes]\ns-1 = 'v2'", "translate.nodes"),
        ("[translate.class.lookup]\nmissing_hint = 'guess'", "translate.class.lookup.missing_hint"),
        ("[translate.class.lookup]\nassumed_hint_ms = 5", "translate.class.lookup.assumed_hint_ms"),
        ("[translate.class.lookup]\nmissing_hint = 'assume'", "translate.class.lookup.assumed_hint_ms"),
        ("[translate.class.nothing]\ngeneration = 1", "translate.class.nothing"),
        ("[translate.retries]\nservice_share = -1", "translate.retries.service_share"),
    ],
)
def test_an_invalid_key_is_named_in_the_error(tmp_path: Path, text: str, key: str) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as error:
        read_config(ENVIRONMENT, str(file))
    assert str(error.value).startswith(key)


def test_check_config_prints_the_settings_in_force(tmp_path: Path) -> None:
    run = CliRunner(env=ENVIRONMENT).invoke
    result = run(cli, ["check-config", str(ROOT / "deploy" / "translate.toml")])
    assert result.exit_code == 0
    assert "class lookup: a missing hint is assumed of 15000 ms" in result.output
    assert "translation layer off" in run(cli, ["check-config"]).output
    invalid = tmp_path / "bad.toml"
    invalid.write_text("[translate]\nx = 1")
    result = run(cli, ["check-config", str(invalid)])
    assert result.exit_code == 2
    assert "translate.x: not known" in result.output


@pytest.mark.parametrize("command", ["field-mapping", "fates"])
def test_the_schema_and_the_field_mapping_can_be_printed(command: str) -> None:
    run = CliRunner().invoke
    schema = json.loads(run(cli, ["schema"]).output)
    assert "RetryTable" in schema["$defs"]
    assert run(cli, [command, "--check"]).exit_code == 0
    assert "| hint |" in run(cli, [command]).output


def find_command(path: str) -> click.Command:
    """Returns the command at a path of names, such as ``lab scale``."""
    command: click.Command = cli
    for name in path.split():
        assert isinstance(command, click.Group)
        command = command.commands[name]
    return command


@pytest.mark.parametrize(
    ("path", "options"),
    [
        ("check-config", ""),
        ("explain", "--page"),
        ("fates", "--check"),
        ("lab", ""),
        ("lab door", "--seed --door --plant --json"),
        ("lab fleet-view", "--seed --plant --json"),
        ("lab members-at-size", "--members --seed --json --plot"),
        ("lab restart", "--seed --handovers --json"),
        ("lab scale", "--seed --short --plant --json --page"),
        ("lab shell", "--seed --plant --json"),
        ("lab show", ""),
        ("lab translation", "--seed --tasks --seconds --plant --calm --json --report"),
        ("query", "--rows --seconds --fleet --here --at --json --csv"),
        ("record", ""),
        ("record inspect", ""),
        ("record verify", ""),
        ("schema", ""),
        ("serve", ""),
        ("shell", "--rows --seconds --fleet --here --at"),
    ],
)
def test_each_command_and_option_of_version_0_3_is_accepted(path: str, options: str) -> None:
    """Guards scripts against renamed commands and options: old names stay as aliases for one version."""
    command = find_command(path)
    accepted = {name for param in command.params for name in (*param.opts, *param.secondary_opts)}
    assert set(options.split()) <= accepted
    result = CliRunner().invoke(cli, [*path.split(), "--help"])
    assert result.exit_code == 0
    assert "--plant" not in result.output
    assert "--door" not in result.output


@pytest.mark.parametrize(
    ("path", "old", "new"),
    [
        ("lab admission", ["--plant", "no-reserve"], ["--inject-fault", "no-reserve"]),
        ("lab admission", ["--door", "off"], ["--admission", "off"]),
        ("lab translation", ["--plant", "silent-hint"], ["--inject-fault", "silent-hint"]),
        ("lab scale", ["--plant", "leak"], ["--inject-fault", "leak"]),
        ("lab shell", ["--plant", "silent-gap"], ["--inject-fault", "silent-gap"]),
        ("lab fleet-view", ["--plant", "replay"], ["--inject-fault", "replay"]),
    ],
)
def test_an_old_option_means_the_same_as_the_new_one(path: str, old: list[str], new: list[str]) -> None:
    command = find_command(path)
    params = command.make_context(path, list(new)).params
    assert command.make_context(path, list(old)).params == params
    assert old[1] in params.values()
    assert command.make_context(path, []).params != params


@pytest.mark.parametrize(("group", "alias"), [("", "fates"), ("lab", "door")])
def test_the_help_does_not_list_an_alias(group: str, alias: str) -> None:
    listed = CliRunner().invoke(cli, [*group.split(), "--help"]).output.split("Commands:")[1]
    assert alias not in [line.split()[0] for line in listed.splitlines() if line.strip()]


def test_each_command_is_known_to_main_so_that_none_is_taken_for_an_operators_file() -> None:
    assert set(COMMANDS) == set(cli.commands)


def test_lab_show_prints_the_reasons_that_clients_receive() -> None:
    result = CliRunner().invoke(cli, ["lab", "show"])
    assert result.exit_code == 0
    assert "hint needed" in result.output
    assert "LICENCE" in result.output


def test_a_small_run_of_the_translation_lab_passes_and_detects_an_injected_fault() -> None:
    plan = translation.Plan("old to new", seed=1, tasks=150, seconds=4.0, faults=True)
    result = translation.run(plan)
    assert result.tasks == 150
    assert sum(result.outcomes.values()) == 150
    assert (result.lost, result.doubled, result.silent_hints, result.dispatcher_ended) == (0, 0, 0, 0)
    assert result.ledger_batch_max_starts <= 1
    plan.plant = "silent-hint"
    assert translation.run(plan).silent_hints > 0
