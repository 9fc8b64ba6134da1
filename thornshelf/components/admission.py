"""The component that controls admission (see docs/admission.md)."""

from __future__ import annotations

from thornshelf.components import Component, Host
from thornshelf.configuration import Config
from thornshelf.frontends.admission_filter import AdmissionFilter


class AdmissionComponent(Component):
    """Creates the admission filter, and reconfigures it."""

    def prepare(self) -> None:
        """Creates the filter before anything opens a descriptor, so that all are counted."""
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
        """Applies new settings; admission control can't be turned on or off without a restart."""
        if self.host.admission_filter is not None and config.admission is not None:
            self.host.admission_filter.reconfigure(config.admission, config.max_descriptors)


def make(host: Host) -> Component:
    """The component."""
    return AdmissionComponent(host)
