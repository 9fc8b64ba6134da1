"""The admission control component (see docs/admission.md)."""

from __future__ import annotations

from thornshelf.components import Component, Host
from thornshelf.configuration import Config
from thornshelf.frontends.admission_filter import AdmissionFilter


class AdmissionComponent(Component):
    """Creates the admission filter and applies reloaded settings to it."""

    def prepare(self) -> None:
        """Create the filter before any descriptor is opened, so that all descriptors are counted."""
        host = self.host
        inherited = host.inherited
        predecessor_descriptors = inherited.predecessor_descriptors if inherited is not None else 0
        if host.config.admission is not None:
            host.admission_filter = AdmissionFilter(
                host.loop,
                host.config.admission,
                host.config.max_descriptors,
                host.log,
                predecessor_descriptors,
            )

    def reload(self, config: Config) -> None:
        """Apply new settings; turning admission control on or off takes a restart."""
        if self.host.admission_filter is not None and config.admission is not None:
            self.host.admission_filter.reconfigure(config.admission, config.max_descriptors)


def create_component(host: Host) -> Component:
    """Create the admission control component."""
    return AdmissionComponent(host)
