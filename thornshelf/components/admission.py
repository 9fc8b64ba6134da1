"""The door (see docs/admission.md)."""

from __future__ import annotations

from thornshelf.components import Component, Host
from thornshelf.configuration import Config
from thornshelf.frontends.admission_filter import AdmissionFilter


class AdmissionComponent(Component):
    """Who gets in."""

    def prepare(self) -> None:
        """The door stands before anything takes a descriptor."""
        host = self.host
        held = host.inherited.predecessor_descriptors if host.inherited is not None else 0
        if host.config.admission is not None:
            host.admission_filter = AdmissionFilter(
                host.loop, host.config.admission, host.config.max_descriptors, host.log, held
            )

    def reload(self, config: Config) -> None:
        """A door can change, but neither come nor go."""
        if self.host.admission_filter is not None and config.admission is not None:
            self.host.admission_filter.reconfigure(config.admission, config.max_descriptors)


def make(host: Host) -> Component:
    """The part."""
    return AdmissionComponent(host)
