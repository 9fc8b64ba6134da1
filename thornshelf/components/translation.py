"""The translation layer (see docs/translation.md)."""

from __future__ import annotations

from dataclasses import replace

from thornshelf.components import Component, Host
from thornshelf.core import Dispatcher, NodeConnection, NodeEndpoint
from thornshelf.nodes.negotiated import NegotiatedNodeConnection
from thornshelf.translation.translator import Translator


class TranslationComponent(Component):
    """Nodes of mixed generations."""

    def prepare(self) -> None:
        """The desk, and nodes that ask it."""
        host = self.host
        if (terms := host.config.translation) is None:
            return
        longest_us = int(host.config.settings.limits.max_retry_after_s * 1e6)
        desk = Translator(replace(terms, jitter=replace(terms.jitter, max_wait_us=longest_us)), host.loop.now)

        def make_node(machine: int, entry: NodeEndpoint, core: Dispatcher) -> NodeConnection:
            return NegotiatedNodeConnection(host.loop, machine, entry, core, desk)

        host.translator = desk
        host.node_factories.append(make_node)

    def stop(self) -> None:
        """The account of what was translated."""
        if (desk := self.host.translator) is not None:
            values: dict[str, object] = {key.replace(" ", "-"): count for key, count in desk.counters.items()}
            self.host.log(6, "translation-summary", values, "account")


def make(host: Host) -> Component:
    """The part."""
    return TranslationComponent(host)
