"""Configuration files that are read again on SIGHUP: a broken one leaves the old configuration in force, whole."""

from __future__ import annotations

import copy
import errno
import json
import re
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from thornshelf.configuration import Config, ConfigError, read_config
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG, FakeCluster, NodeBehavior
from thornshelf.lab.fakes.network import FakeEndpointSource
from thornshelf.lifecycle import socket_handover

ROOT = Path(__file__).parent.parent
OPERATOR_FILES = sorted((ROOT / "deploy").glob("*.toml"))
NOT_FOR_OPERATORS = "balancer.toml"

Document = dict[str, Any]
KeyPath = tuple[str | int, ...]


def example_document() -> Document:
    """Return the example's configuration, with a change log."""
    document: Document = json.loads(EXAMPLE_CONFIG.read_text())
    document["changelog"] = "127.0.0.1:9"
    return document


def key_paths(value: object, path: KeyPath = ()) -> Iterator[KeyPath]:
    """Yield the path of each key of a document, but for the content of ``known``."""
    children: Any = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        if isinstance(key, str):
            yield (*path, key)
        if key != "known":
            yield from key_paths(child, (*path, key))


def without(document: Document, path: KeyPath) -> Document:
    """Return a copy of a document that lacks one key."""
    changed = copy.deepcopy(document)
    *parents, key = path
    owner: Any = changed
    for parent in parents:
        owner = owner[parent]
    del owner[key]
    return changed


def reload(tmp_path: Path, text: str | bytes) -> Config:
    """Return the configuration in force after the example's file was replaced by another."""
    path = tmp_path / "config.json"
    environment = {"LB_CONFIG": str(path), "LB_NAME": "n0", "LB_LISTEN": "127.0.0.1:0"}
    path.write_text(json.dumps(example_document()))
    config = read_config(environment)
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    return config.reloaded(read_config(environment)).config


@pytest.mark.parametrize(
    "path", list(key_paths(example_document())), ids=lambda path: ".".join(map(str, path))
)
def test_a_file_that_is_short_of_a_key_is_rejected(path: KeyPath, tmp_path: Path) -> None:
    """Guards against defaults that take the place of a lost key, as with `changelog`, which ended the watch."""
    with pytest.raises(ConfigError, match=str(path[-1])):
        reload(tmp_path, json.dumps(without(example_document(), path)))


def set_deadline(value: object) -> Callable[[Document], object]:
    return lambda document: document["settings"]["categories"][1].update({"deadline-s": value})


def set_attempts(value: object) -> Callable[[Document], object]:
    return lambda document: document["settings"]["limits"].update({"send-cap": value})


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (set_deadline(0), "categories.1.deadline-s"),
        (set_deadline(0.0), "categories.1.deadline-s"),
        (set_deadline(-1.5), "categories.1.deadline-s"),
        (set_deadline(None), "categories.1.deadline-s"),
        (set_attempts(0), "limits.send-cap"),
        (set_attempts(-1), "limits.send-cap"),
        (set_attempts(None), "limits.send-cap"),
        (lambda document: document.update(changelog=None), "changelog"),
        (lambda document: document.update(settings={}), "settings"),
    ],
)
def test_a_value_that_cannot_be_used_is_rejected(
    change: Callable[[Document], object], key: str, tmp_path: Path
) -> None:
    """Guards against a deadline or a number of attempts that is not over 0, at a start as well."""
    document = example_document()
    change(document)
    with pytest.raises(ConfigError, match=key.replace(".", r"\.")):
        reload(tmp_path, json.dumps(document))


def test_a_file_that_is_empty_or_cut_off_anywhere_is_rejected(tmp_path: Path) -> None:
    """Guards against a part of a file that can be read."""
    text = json.dumps(example_document(), indent=1)
    for length in range(0, len(text), 7):
        with pytest.raises(ConfigError):
            reload(tmp_path, text[:length])
    with pytest.raises(ConfigError, match="not JSON"):
        reload(tmp_path, b"\xff\xfe{}")


def test_classes_may_be_added_and_dropped_and_values_changed(tmp_path: Path) -> None:
    """Guards against rejecting what operators change on purpose."""
    document = example_document()
    document["changelog"] = "127.0.0.1:10"
    document["settings"]["limits"]["send-cap"] = 1
    classes = document["settings"]["categories"]
    classes[0] = {key: classes[0][key] for key in ("aim-s", "deadline-s", "effect")} | {"name": "added"}
    del document["settings"]["tenants"][0]
    config = reload(tmp_path, json.dumps(document))
    assert config.endpoint_source == ("127.0.0.1", 10)


def test_a_key_counts_as_present_only_after_a_file_with_it_was_taken(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    environment = {"LB_CONFIG": str(path)}
    without_changelog = {key: value for key, value in example_document().items() if key != "changelog"}
    path.write_text(json.dumps(without_changelog))
    config = read_config(environment).reloaded(read_config(environment)).config
    assert config.endpoint_source is None
    path.write_text(json.dumps(example_document()))
    config = config.reloaded(read_config(environment)).config
    path.write_text(json.dumps(without_changelog))
    with pytest.raises(ConfigError, match="changelog"):
        config.reloaded(read_config(environment))


def operator_texts() -> list[str]:
    return [path.read_text() for path in OPERATOR_FILES if path.name != NOT_FOR_OPERATORS]


@pytest.mark.parametrize("text", operator_texts(), ids=lambda text: text.partition("\n")[0][:30])
def test_an_operator_file_that_is_cut_off_is_rejected(text: str, tmp_path: Path) -> None:
    """Guards against tables and values that are lost with the end of the file, or all of them with an empty one."""
    path = tmp_path / "operator.toml"
    (tmp_path / "fleet.key").write_text("0123456789abcdef" * 2)
    (tmp_path / "fleet.key").chmod(0o600)
    environment = {"LB_CONFIG": str(EXAMPLE_CONFIG)}
    path.write_text(text)
    in_force = read_config(environment, str(path))
    accepted = []
    for length in range(len(text)):
        path.write_text(text[:length])
        try:
            in_force.reloaded(read_config(environment, str(path)))
        except ConfigError:
            continue
        accepted.append(text[:length])
    # Whole lines of the last table may be missing: such a file can't be told from one that was edited.
    headers = re.findall(r"^\[.*\]", text, re.MULTILINE)
    assert all(part.endswith("\n") and all(header in part for header in headers) for part in accepted)


class Reloading:
    """A dispatcher whose configuration files are read again, and two change logs."""

    def __init__(self, tmp_path: Path) -> None:
        self.cluster = FakeCluster(node_count=2)
        self.old_source = FakeEndpointSource(self.cluster.loop, 1)
        self.new_source = FakeEndpointSource(self.cluster.loop, 1)
        self.old_source.publish([self.cluster.endpoint(0)])  # known from the start
        self.path = tmp_path / "config.json"
        self.operator_path = tmp_path / "operator.toml"
        self.operator_path.write_text("[grpc]\nnodes = []\n")
        self.cluster.service._reread = self._read
        self.reload(self.document(self.old_source))
        assert self.cluster.logged[-1][1] == "config-reloaded"

    def _read(self) -> Config:
        return read_config({"LB_CONFIG": str(self.path)}, str(self.operator_path))

    def document(self, source: FakeEndpointSource) -> Document:
        return example_document() | {"changelog": f"127.0.102.1:{source.ports[0]}"}

    def reload(self, document: Document) -> None:
        self.path.write_text(json.dumps(document))
        self.cluster.service.reload()

    def check_old_configuration(self) -> None:
        """Check that nothing of the files was taken over, and that the change log is still followed."""
        cluster = self.cluster
        assert cluster.logged[-1][1] == "config-reload-failed"
        assert cluster.service.config.max_descriptors == 1024
        self.old_source.publish([cluster.endpoint(0, "terminating")])
        cluster.run_until(lambda: not cluster.service.core.endpoints.is_up(1))
        cluster.client.send_request(5, NodeBehavior.RUN)
        cluster.wait_for_events(5)
        assert [node.offer_count(5) for node in cluster.nodes] == [0, 1]
        assert not self.new_source.sent[0]


@pytest.mark.parametrize(
    "change",
    [
        lambda document: document.pop("changelog"),
        lambda document: document.pop("known"),
        set_deadline(0.0),
        set_attempts(0),
    ],
)
def test_nothing_of_a_broken_file_is_taken_over(change: Callable[[Document], object], tmp_path: Path) -> None:
    """Guards against a watch of the change log that ends, or moves, with a file that is broken elsewhere."""
    reloading = Reloading(tmp_path)
    document = reloading.document(reloading.new_source)
    document["limits"]["sockets"] = 256
    change(document)
    reloading.reload(document)
    reloading.check_old_configuration()


@pytest.mark.parametrize(
    "text", ["", "[grpc", "[grpc]\nnodes = ", "[grpc]\nnodes = 5\n", "[grpc]\nnodes = []"]
)
def test_nothing_is_taken_over_beside_a_broken_operator_file(text: str, tmp_path: Path) -> None:
    """Guards against half a reload: the JSON file of that reload is good."""
    reloading = Reloading(tmp_path)
    reloading.operator_path.write_text(text)
    reloading.reload(
        reloading.document(reloading.new_source) | {"limits": {"cores": 1, "memory_mb": 1, "sockets": 256}}
    )
    reloading.check_old_configuration()


def test_no_successor_is_started_on_a_broken_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a successor without a watch of the change log: it can't know which keys were in force."""
    spawned: list[object] = []

    def spawn_successor(*arguments: object) -> None:
        spawned.append(arguments)
        raise OSError(errno.ECANCELED, "not in this test")

    monkeypatch.setattr(socket_handover, "spawn_successor", spawn_successor)
    reloading = Reloading(tmp_path)
    document = reloading.document(reloading.old_source)
    del document["changelog"]
    reloading.path.write_text(json.dumps(document))
    reloading.cluster.service.hand_over()
    reloading.cluster.run_for(30)
    assert [line[1:3] for line in reloading.cluster.logged[-1:]] == [
        ("successor-failed", {"kept": "old", "code": "TS1001"})
    ]
    assert not spawned
    reloading.path.write_text(json.dumps(reloading.document(reloading.old_source)))
    reloading.cluster.service.hand_over()
    reloading.cluster.run_until(lambda: len(spawned) == 1)
