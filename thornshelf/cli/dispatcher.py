"""The commands that start a dispatcher, check its configuration, or print reference material."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import click

from thornshelf.cli.options import EXIT_ERROR, EXIT_FAILED
from thornshelf.configuration import Config, read_config
from thornshelf.errors import ConfigError

if TYPE_CHECKING:
    from thornshelf.admission.controller import Limits
    from thornshelf.frontends.admission_filter import AdmissionFilterConfig
    from thornshelf.membership.config import FleetConfig
    from thornshelf.translation.translator import TranslationConfig

_operator_file_argument = click.argument("operator_file", required=False)


@click.command()
@_operator_file_argument
@click.pass_obj
def serve(run: Callable[[str | None], int], operator_file: str | None) -> None:
    """Serve until a signal ends the process."""
    sys.exit(run(operator_file))


@click.command("check-config")
@_operator_file_argument
def check_config(operator_file: str | None) -> None:
    """Read the configuration as a dispatcher would at its start, and print the settings in force."""
    try:
        config = read_config(os.environ, operator_file)
    except ConfigError as error:
        click.echo(f"thornshelf: {error} [{error.code}]", err=True)
        sys.exit(EXIT_ERROR)
    for line in _describe(config):
        click.echo(line)


def _describe(config: Config) -> Iterator[str]:
    """Yields the lines of the output, whose wording scripts may rely on."""
    host, port = config.listen
    yield f"name {config.name}, listen {host}:{port}, sockets {config.max_descriptors}"
    if config.fleet is not None:
        yield from _describe_fleet(config.name, config.fleet)
    if (control := config.control) is not None:
        yield f"control socket {control.socket}, {control.readers} shells, {control.history} steps kept"
    yield f"gRPC {'at ' + '%s:%d' % config.grpc.listen if config.grpc.listen else 'off'}"
    if config.admission is not None:
        yield from _describe_admission(config.admission)
        yield f"  order by share {'on' if config.fair_queue else 'off'}"
    if config.translation is None:
        yield "translation layer off"
    else:
        yield from _describe_translation(config.translation)


def _describe_fleet(name: str, fleet: FleetConfig) -> Iterator[str]:
    yield f"fleet {fleet.membership.fleet} as {name}, {len(fleet.membership.seeds)} seeds; used for: "
    yield "  " + (", ".join(sorted(fleet.policies)) or "nothing")


def _describe_admission(admission: AdmissionFilterConfig) -> Iterator[str]:
    connections = admission.controller.reserved_connections
    reserved = f"{connections.reserved} of {connections.capacity} connections"
    yield f"door on; {reserved} are kept for known counties"
    for rule in admission.controller.rules:
        yield f"  {rule.name}{', known' if rule.known else ''}: {_format_limits(rule.prefix_limits)}"


def _format_limits(limits: Limits) -> str:
    """Format limits under the names that scripts know from earlier versions."""
    connections = f"connections={limits.max_connections}"
    connection_rate = f"connection_rate={limits.connection_rate}"
    request_rate = f"set_up_rate={limits.request_rate}"
    return f"Limits({connections}, {connection_rate}, {request_rate})"


def _describe_translation(translation: TranslationConfig) -> Iterator[str]:
    formats = ", ".join(wire_format.value for wire_format in translation.default_formats)
    yield f"translation layer on; nodes speak {formats}"
    for name, node_formats in sorted(translation.node_formats.items()):
        yield f"  {name}: " + ", ".join(wire_format.value for wire_format in node_formats)
    for name, policy in sorted(translation.missing_field_policies.items()):
        hint_us = policy.assumed_hint_us
        assumed = f" of {hint_us // 1000} ms" if hint_us else ""
        yield f"  class {name}: a missing hint is {policy.on_missing_hint.value}d{assumed}"
    yield f"  retry budget {'on' if translation.limits_retries else 'off'}"


@click.command()
def schema() -> None:
    """Print the schema of the operator's file (JSON Schema)."""
    from thornshelf.configuration.schema import render_json_schema

    click.echo(render_json_schema())


@click.command("field-mapping")
@click.option("--check", is_flag=True, help="Only check that every field has a mapping.")
def field_mapping(check: bool) -> None:
    """Print how each field and message is translated between the wire formats.

    The exit code is 1 if the mapping has a gap or a contradiction.
    """
    from thornshelf.translation import field_mapping_audit

    if problems := field_mapping_audit.find_problems():
        click.echo("\n".join(problems), err=True)
        sys.exit(EXIT_FAILED)
    if not check:
        click.echo(field_mapping_audit.render_page(), nl=False)


@click.command()
@click.argument("code", required=False)
@click.option("--page", is_flag=True, help="Print the page docs/errors.md.")
def explain(code: str | None, page: bool) -> None:
    """Print what an error code means and what to do about it; without a code, list all."""
    from thornshelf import errors

    if page:
        click.echo(errors.render_page(), nl=False)
        return
    for known_code in [code] if code else sorted(errors.ERRORS_BY_CODE):
        text = errors.explain(known_code)
        if text is None:
            click.echo(f"unknown error code {known_code}; `thornshelf explain` lists all codes", err=True)
            sys.exit(EXIT_ERROR)
        click.echo(text if code else text.splitlines()[0])
