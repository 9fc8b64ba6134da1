"""Configuration, endpoint watch, log, event loop, and the dispatcher's process from start to end."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Callable, Generator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from thornshelf import syslog
from thornshelf.configuration import Config, ConfigError, read_config
from thornshelf.configuration.descriptors import descriptor_limits
from thornshelf.core import EndpointListUpdate
from thornshelf.discovery import endpoint_watch
from thornshelf.discovery.endpoint_watch import EndpointWatch
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG, HOST, TIMEOUT_S, FakeCluster
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.loop import IN
from thornshelf.syslog import Syslog

ROOT = Path(__file__).parent.parent


def changed_environment(tmp_path: Path, change: Callable[[dict[str, Any]], object]) -> dict[str, str]:
    """Return the environment variables of a dispatcher with a changed copy of the example configuration."""
    value = json.loads(EXAMPLE_CONFIG.read_text())
    change(value)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(value))
    return {"LB_CONFIG": str(path)}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (lambda v: v.update(listen="nowhere"), "listen"),
        (lambda v: v.update(changelog="x:y"), "changelog"),
        (lambda v: v.update(seed="not hex"), "seed"),
        (lambda v: v.update(known=[]), "known"),
        (lambda v: v["limits"].update(sockets="many"), "limits.sockets"),
        (lambda v: v.pop("settings"), "settings"),
        (lambda v: v["settings"]["limits"].pop("send-cap"), "limits.send-cap"),
        (lambda v: v["settings"]["categories"][1].update({"effect": "odd"}), "categories.1.effect"),
        (lambda v: v["settings"]["rules"].update({"drain-grace-s": "nan"}), "rules.drain-grace-s"),
    ],
)
def test_a_bad_configuration_names_its_key(
    tmp_path: Path, change: Callable[[dict[str, Any]], object], key: str
) -> None:
    with pytest.raises(ConfigError, match=key.replace(".", r"\.")):
        read_config(changed_environment(tmp_path, change))


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("grpc = 5", "grpc"),
        ("[grpc]\nlisten = 5", "grpc.listen"),
        ("[grpc]\nnodes = [5]", "grpc.nodes"),
        ("[grpc]\nlisen = ''", "grpc.lisen"),
        ("[syslog]\ncollector = 'x'", "syslog.collector"),
        ("[syslog]\ncollector = 'tcp:x'", "syslog.collector"),
        ("[", "not TOML"),
    ],
)
def test_a_bad_operator_file_names_its_key(tmp_path: Path, text: str, key: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=key.replace(".", r"\.")):
        read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)}, str(path))


def test_the_operator_files_of_the_repository_are_good() -> None:
    config = read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)}, str(ROOT / "deploy" / "grpc.toml"))
    assert config.grpc.listen is not None
    assert not config.grpc.is_grpc_node("s-00000001")
    assert read_config({"LB_CONFIG": str(EXAMPLE_CONFIG), "LB_LISTEN": "127.0.0.2:5"}).listen == (
        "127.0.0.2",
        5,
    )


def start(environment: dict[str, str]) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "thornshelf"], cwd=ROOT, env={**os.environ, **environment},
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip


def test_the_process_ends_with_a_plain_message_or_on_sigterm(tmp_path: Path) -> None:
    with start({"LB_CONFIG": str(tmp_path / "none.json")}) as process:
        _, error_output = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 2
    assert error_output.startswith("thornshelf: LB_CONFIG: ")
    assert error_output.count("\n") == 1
    with start({"LB_CONFIG": str(EXAMPLE_CONFIG), "LB_LISTEN": f"{HOST}:0"}) as process:
        assert process.stdout is not None
        assert " dispatcher-started [" in process.stdout.readline()
        process.send_signal(signal.SIGHUP)  # without a handler, it would terminate the process
        assert " config-reloaded " in process.stdout.readline()
        process.send_signal(signal.SIGTERM)
        log_lines, error_output = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0
    assert " dispatcher-stopped [" in log_lines
    assert not error_output


class ScriptedEndpointSource:
    """A change log with scripted responses: the bytes for each request, or None to leave it unanswered."""

    def __init__(self, loop: Loop, script: list[bytes | None]) -> None:
        self.loop, self.script = loop, script
        self.polled_paths: list[str] = []
        self.sock = socket.create_server((HOST, 0))
        self.sock.setblocking(False)
        loop.spawn(self._accept())

    def _accept(self) -> Generator[Wait, int, None]:
        while True:
            yield Wait(self.sock.fileno(), IN)
            sock, _ = self.sock.accept()
            self.loop.spawn(self._serve(Stream(self.loop, sock, "dispatcher")))

    def _serve(self, stream: Stream) -> Generator[Wait, int, None]:
        while data := (yield from stream.read()):
            self.polled_paths.append(data.split(b" ")[1].decode())
            response = self.script.pop(0) if self.script else None
            if response is not None:
                stream.send(response)
                if b"chunked" not in response and b"\r\n\r\n{" not in response:
                    stream.end()


def json_response(value: object) -> bytes:
    body = json.dumps(value).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def event(seq: int, name: str) -> dict[str, object]:
    node = {"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": "in_service", "startedAtMs": 0}
    return {"seq": seq, "fleet": {"generation": seq, "reset": False, "instances": [node]}}


def test_the_endpoint_watch_goes_on_after_breaks_silence_and_garbage(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (("POLL_TIMEOUT_MS", 50), ("RESPONSE_GRACE_US", 50_000), ("MIN_BACKOFF_US", 2_000)):
        monkeypatch.setattr(endpoint_watch, name, value)
    cluster = FakeCluster(node_count=0)
    source = ScriptedEndpointSource(
        cluster.loop,
        [
            json_response({"seq": 4, "results": [event(4, "a")]}),
            json_response({"seq": 4, "results": []}),  # the poll timed out without an event
            json_response({"seq": 6, "results": [event(4, "again"), event(5, "b"), event(6, "c")]}),
            b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{",  # incomplete
            b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
            b"no HTTP at all\r\n\r\n",
            None,  # unanswered
            json_response({"seq": 7, "results": 5}),  # invalid, so that it is polled again
            json_response({"seq": 7, "results": [event(7, "d")]}),
        ],
    )
    updates: list[EndpointListUpdate] = []
    logged: list[str] = []

    def receive(update: EndpointListUpdate) -> None:
        updates.append(update)
        if len(updates) == 4:
            raise KeyError("whatever")

    EndpointWatch(
        cluster.loop,
        source.sock.getsockname(),
        3,
        lambda us: us,
        receive,
        lambda *line: logged.append(line[3]),
    )
    cluster.run_until(
        lambda: any(text.startswith("unexpected KeyError: ") for text in logged)
        and len(source.polled_paths) > 9
    )
    source.sock.close()
    assert [update.endpoints[0].name for update in updates] == ["a", "b", "c", "d"]
    assert polled_sequences(source)[:9] == [3, 4, 4, 6, 6, 6, 6, 6, 6]
    # The first poll does not wait for events: nothing is sent before the changes made during the start are known.
    assert [path.partition("timeout=")[2] for path in source.polled_paths[:3]] == ["1", "50", "50"]


def polled_sequences(source: ScriptedEndpointSource) -> list[int]:
    """Return the sequence numbers after which an endpoint source was polled."""
    return [int(path.partition("since=")[2].partition("&")[0]) for path in source.polled_paths]


def test_reload_moves_the_endpoint_watch_at_once_and_keeps_its_number() -> None:
    """The old address stays open and does not respond, and the new one must not wait for it."""
    cluster = FakeCluster(node_count=1)
    old_source = ScriptedEndpointSource(
        cluster.loop, [json_response({"seq": 7, "results": [event(7, "a")]}), None]
    )
    new_source = ScriptedEndpointSource(
        cluster.loop, [json_response({"seq": 8, "results": [event(8, "b")]}), None]
    )
    initial_config = cluster.service.config
    configs: list[Config | ConfigError] = [
        replace(initial_config, endpoint_source=old_source.sock.getsockname()),
        ConfigError("changelog: not of the form host:port"),
        replace(initial_config, endpoint_source=new_source.sock.getsockname(), max_descriptors=256, seed=5),
    ]

    def reread() -> Config:
        config = configs.pop(0)
        if isinstance(config, ConfigError):
            raise config
        return config

    cluster.service._reread = reread
    cluster.service.reload()
    cluster.run_until(lambda: len(old_source.polled_paths) == 2)
    cluster.service.reload()  # invalid: the old configuration stays in force
    cluster.run_for(10)
    assert cluster.logged[-1][:3] == (4, "config-reload-failed", {"kept": "old", "code": "TS1001"})
    assert not new_source.polled_paths
    reloaded_us = cluster.loop.now
    cluster.service.reload()
    assert cluster.logged[-1][:3] == (5, "config-reloaded", {"restart": "seed"})
    cluster.run_until(lambda: len(new_source.polled_paths) == 2)
    assert cluster.loop.now - reloaded_us < endpoint_watch.POLL_TIMEOUT_MS * 1000
    assert polled_sequences(old_source) == [1, 7]
    assert polled_sequences(new_source) == [7, 8]
    assert {"a", "b"} <= cluster.service.core.endpoints._machine_by_name.keys()
    assert (
        cluster.service.json_frontend.listener.budget.total
        == descriptor_limits(cluster.service.config).total
        < 256
    )


def test_the_log_never_blocks_and_reports_what_it_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, writer = os.pipe()
    monkeypatch.setattr(syslog, "STDOUT", writer)
    loop = Loop()
    log = Syslog(loop, "n0", "thornshelf", 0)
    for number in range(6000):  # far more than the pipe and the buffer hold, while nobody reads
        log(6, f"flood{number}", {"number": number, "odd": 'a"]\\'}, "x" * 60)
        log.flush()
    output = b""
    os.set_blocking(reader, False)
    while b'dropped="' not in output:
        try:
            output += os.read(reader, 1 << 16)
        except BlockingIOError:
            log.flush()
    assert b'[thornshelf@32473 number="0" odd="a\\"\\]\\\\"] ' in output.splitlines()[0]
    os.close(reader)
    os.close(writer)
    loop.close()


def test_a_flood_of_one_kind_of_line_is_cut_in_number_and_length(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against misbehaving clients that fill the log and keep the dispatcher busy."""
    monkeypatch.setattr(syslog, "MAX_LINES_PER_SECOND", 5)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
        collector.bind((HOST, 0))
        collector.settimeout(TIMEOUT_S)
        loop = Loop()
        log = Syslog(loop, "n0", "thornshelf", 0, ("udp", collector.getsockname()))
        loop.now = 5_000_000
        for _ in range(syslog.MAX_LINES_PER_SECOND + 7):
            log(4, "bad-line", {"odd": "v" * 9999}, "x" * 9999)
        log(6, "other", {}, "goes through")
        log.flush()
        lines = [collector.recv(1 << 16) for _ in range(syslog.MAX_LINES_PER_SECOND + 1)]
        loop.now = 6_000_000
        log(6, "later", {}, "")
        log.flush()
        report = collector.recv(1 << 16)
    assert lines[-1].endswith(b" goes through")
    assert max(map(len, lines)) < 2 * syslog.MAX_TEXT_CHARS + 200
    assert b' log [thornshelf@32473 id="bad-line" left_out="7"]' in report
    loop.close()


def test_the_log_goes_to_a_collector() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
        collector.bind((HOST, 0))
        collector.settimeout(TIMEOUT_S)
        loop = Loop()
        log = Syslog(loop, "n0", "thornshelf", 0, ("udp", collector.getsockname()))
        log(4, "bad-line", {"peer": HOST}, "two\nlines")
        loop.turn()
        line = collector.recv(4096)
    assert line.startswith(b"<28>1 ")
    assert line.endswith(b'[thornshelf@32473 peer="127.0.0.1"] two lines')
    loop.close()


def test_the_log_goes_on_when_a_collectors_connection_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(syslog, "RECONNECT_US", 5_000)
    with socket.create_server((HOST, 0)) as collector:
        collector.settimeout(TIMEOUT_S)
        cluster = FakeCluster(node_count=0)
        log = Syslog(cluster.loop, "n0", "thornshelf", 0, ("tcp", collector.getsockname()))
        for number in range(2):
            log(6, "test", {}, f"line {number}")
            cluster.loop.turn()
            cluster.run_for(20)  # the log's connection now waits in the listener's backlog
            peer_sock, _ = collector.accept()
            peer_sock.settimeout(TIMEOUT_S)
            cluster.run_for(50)
            length, _, line = peer_sock.recv(4096).partition(b" ")
            assert int(length) == len(line)
            assert line.endswith(b"test - line %d" % number)
            peer_sock.close()
            cluster.run_for(50)


def test_a_coroutine_that_fails_ends_no_other() -> None:
    loop = Loop()
    errors: list[BaseException] = []
    loop.on_exception = errors.append

    def bad() -> Generator[Wait, int, None]:
        yield Wait(until=loop.now)
        raise ValueError("in a coroutine")

    def good() -> Generator[Wait, int, None]:
        yield Wait(until=loop.now + 2000)
        loop.stop()

    def hook() -> bool:
        if not errors:
            raise ValueError("in a hook")
        return False

    loop.spawn(bad())
    loop.spawn(good())
    loop.turn_hooks.append(hook)
    loop.call_later(0, lambda: [][0])
    loop.run()
    assert [str(error) for error in errors] == ["list index out of range", "in a coroutine"]
    loop.close()


def test_the_build_leaves_nothing_to_be_compiled_at_start(tmp_path: Path) -> None:
    """Guards against compiling all sources at each start, which takes long on a fraction of a core."""
    for name in ("thornshelf", "deploy"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__"))
    (tmp_path / ".venv" / "bin").mkdir(parents=True)
    (tmp_path / ".venv" / "bin" / "python").symlink_to(sys.executable)
    for name in ("requirements.txt", ".venv/requirements.txt"):
        shutil.copy(ROOT / "requirements.txt", tmp_path / name)
    build = tomllib.loads((tmp_path / "deploy" / "balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True, timeout=TIMEOUT_S * 3)
    cached_paths = "[m.__cached__ for name, m in sys.modules.items() if name.startswith('thornshelf')]"
    script = f"import sys, thornshelf.__main__; print(*{cached_paths}, sep='\\n')"
    command = [sys.executable, "-B", "-c", script]

    def run() -> list[str]:
        return subprocess.run(
            command, cwd=tmp_path, capture_output=True, text=True, check=True
        ).stdout.split()

    assert len(run()) > 20
    assert all(Path(path).exists() for path in run())
    # A source that is changed without a build takes effect, even with the same modification time and size.
    changed_file = tmp_path / "thornshelf" / "__init__.py"
    before, text = changed_file.stat(), changed_file.read_text()
    changed_file.write_text(text.replace("a", "b", 1))
    os.utime(changed_file, ns=(before.st_atime_ns, before.st_mtime_ns))
    script = "import thornshelf; print(repr(thornshelf.__doc__))"
    command[-1] = script
    assert text.replace("a", "b", 1).splitlines()[0].strip('"') in " ".join(run())
