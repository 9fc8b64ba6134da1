"""The translation component, for nodes of different protocol generations (see docs/translation.md)."""

from __future__ import annotations

from dataclasses import replace

from thornshelf.components import Component, Host
from thornshelf.core import Dispatcher, NodeConnection, NodeEndpoint
from thornshelf.nodes.negotiated import NegotiatedNodeConnection
from thornshelf.translation.translator import Translator

_INFORMATIONAL = 6  # syslog severity


class TranslationComponent(Component):
    """Creates the translator, and node connections that negotiate the protocol generation."""

    def prepare(self) -> None:
        """Create the translator, and add the factory of negotiated node connections."""
        host = self.host
        if (config := host.config.translation) is None:
            return
        max_wait_us = int(host.config.settings.limits.max_retry_after_s * 1e6)
        jitter = replace(config.jitter, max_wait_us=max_wait_us)
        translator = Translator(replace(config, jitter=jitter), host.loop.now)

        def make_connection(machine: int, endpoint: NodeEndpoint, core: Dispatcher) -> NodeConnection:
            return NegotiatedNodeConnection(host.loop, machine, endpoint, core, translator)

        host.translator = translator
        host.node_factories.append(make_connection)

    def stop(self) -> None:
        """Log the translator's counters."""
        if (translator := self.host.translator) is not None:
            parameters: dict[str, object] = {
                key.replace(" ", "-"): count for key, count in translator.counters.items()
            }
            self.host.log(_INFORMATIONAL, "translation-summary", parameters, "translations since the start")


def create_component(host: Host) -> Component:
    """Create the translation component."""
    return TranslationComponent(host)
