"""The component that translates between protocol generations (see docs/translation.md)."""

from __future__ import annotations

from dataclasses import replace

from thornshelf.components import Component, Host
from thornshelf.core import Dispatcher, NodeConnection, NodeEndpoint
from thornshelf.nodes.negotiated import NegotiatedNodeConnection
from thornshelf.translation.translator import Translator

_INFORMATIONAL = 6  # severity of syslog


class TranslationComponent(Component):
    """Creates the translator, and connections to nodes of mixed generations."""

    def prepare(self) -> None:
        """Creates the translator, and the factory of negotiated node connections."""
        host = self.host
        if (config := host.config.translation) is None:
            return
        max_wait_us = int(host.config.settings.limits.max_retry_after_s * 1e6)
        jitter = replace(config.jitter, max_wait_us=max_wait_us)
        translator = Translator(replace(config, jitter=jitter), host.loop.now)

        def make_node(machine: int, entry: NodeEndpoint, core: Dispatcher) -> NodeConnection:
            return NegotiatedNodeConnection(host.loop, machine, entry, core, translator)

        host.translator = translator
        host.node_factories.append(make_node)

    def stop(self) -> None:
        """Logs the counters of the translation."""
        if (translator := self.host.translator) is not None:
            values: dict[str, object] = {
                key.replace(" ", "-"): count for key, count in translator.counters.items()
            }
            self.host.log(_INFORMATIONAL, "translation-summary", values, "translations since the start")


def make(host: Host) -> Component:
    """The component."""
    return TranslationComponent(host)
