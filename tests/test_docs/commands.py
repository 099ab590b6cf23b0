"""Extracts and runs the commands of the documentation pages.

Convention: a code block marked `console` contains commands on lines that start
with "$ ". A backslash at the end of a line continues the command. A command
that ends in "&" runs in the background and prints a line once it is ready. A
command that ends in a comment "# exit N" must exit with that code, all others
with 0. `export NAME=VALUE` applies to the rest of the page. Ports from 7000 to
7999 are replaced by free ones.
"""

import dataclasses
import os
import pathlib
import re
import select
import shlex
import shutil
import socket
import subprocess
import sys

_BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_PORT = re.compile(r"\b7\d{3}\b")
_EXIT = re.compile(r"\s+# exit (\d+)$")
_READY_TIMEOUT_S = 20.0
_COMMAND_TIMEOUT_S = 90.0
_END_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True)
class Command:
    """One command of a page.

    Attributes:
        text: The command as written on the page.
        is_background: True if it runs in the background.
        exit_code: Expected exit code.
    """

    text: str
    is_background: bool = False
    exit_code: int = 0


def extract(page: str) -> tuple[Command, ...]:
    """Return the commands of a page in order."""
    found = []
    for block in _BLOCK.findall(page):
        joined = block.replace("\\\n", " ")
        for line in joined.splitlines():
            if line.startswith("$ "):
                found.append(_parse(line.removeprefix("$ ").strip()))
    return tuple(found)


def _parse(text: str) -> Command:
    code = _EXIT.search(text)
    text = _EXIT.sub("", text)
    is_background = text.endswith("&")
    text = text.removesuffix("&").strip()
    if re.search(r"[|<>;&`$]", text):
        raise ValueError(f"commands are run without a shell: {text}")
    return Command(text, is_background, int(code[1]) if code else 0)


class Runner:
    """Runs the commands of one page in its own folder."""

    def __init__(self, folder: pathlib.Path, root: pathlib.Path):
        self._folder = folder
        self._ports: dict[str, str] = {}
        self._processes: list[subprocess.Popen] = []
        scripts = pathlib.Path(sys.executable).parent
        self._environment = {
            "PATH": f"{scripts}{os.pathsep}{os.environ['PATH']}"
        }
        shutil.copytree(root / "examples", folder / "examples")
        for path in (folder / "examples").iterdir():
            path.write_text(self._with_free_ports(path.read_text()))

    def run(self, command: Command) -> None:
        """Run one command; assert its exit code."""
        words = shlex.split(self._with_free_ports(command.text))
        if words[0] == "export":
            name, _, value = words[1].partition("=")
            self._environment[name] = value
        elif command.is_background:
            self._start(words)
        else:
            self._run(words, command.exit_code)

    def stop(self) -> None:
        """Terminate the started processes in reverse order."""
        for process in reversed(self._processes):
            process.terminate()
        for process in reversed(self._processes):
            try:
                process.wait(_END_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            remaining_output = process.stdout.read().decode()
            process.stdout.close()
            assert "Traceback" not in remaining_output, remaining_output

    def _start(self, words: list[str]) -> None:
        process = subprocess.Popen(
            words,
            cwd=self._folder,
            env=self._environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        self._processes.append(process)
        ready, _, _ = select.select([process.stdout], [], [], _READY_TIMEOUT_S)
        assert ready, f"{words} printed no line before the timeout"
        line = os.read(process.stdout.fileno(), 4096).decode()
        assert process.poll() is None, f"{words}: {line}"

    def _run(self, words: list[str], exit_code: int) -> None:
        completed = subprocess.run(
            words,
            cwd=self._folder,
            env=self._environment,
            capture_output=True,
            text=True,
            timeout=_COMMAND_TIMEOUT_S,
            check=False,
        )
        output = f"{words}: {completed.stdout}{completed.stderr}"
        assert completed.returncode == exit_code, output
        assert "Traceback" not in completed.stderr, output

    def _with_free_ports(self, text: str) -> str:
        return _PORT.sub(lambda found: self._port(found[0]), text)

    def _port(self, name: str) -> str:
        if name not in self._ports:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                self._ports[name] = str(probe.getsockname()[1])
        return self._ports[name]
