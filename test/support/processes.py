"""Starts the project's binaries on ports that the kernel chooses, and ends them."""

import json
import os
import pathlib
import select
import signal
import subprocess
import tempfile
import time

START_BOUND_S = 20.0
STOP_BOUND_S = 20.0


def binary(name):
    """Path of a binary; EELGRASSCLEAT_BIN names the directory."""
    return str(pathlib.Path(os.environ["EELGRASSCLEAT_BIN"]) / name)


def has_binary(name):
    return os.path.exists(binary(name))


def run(name, *arguments, bound_s=60.0):
    """Runs a binary to its end and returns the completed process."""
    return subprocess.run(
        [binary(name), *map(str, arguments)], capture_output=True, text=True, timeout=bound_s, check=False
    )


class Process:
    """A running binary with a settings file of its own. Use it as a context manager."""

    def __init__(self, name, settings):
        self.name = name
        self._directory = tempfile.TemporaryDirectory()
        self.settings_path = pathlib.Path(self._directory.name) / "settings.toml"
        self.settings_path.write_text(settings, encoding="utf-8")
        self._log_path = pathlib.Path(self._directory.name) / "stderr"
        with open(self._log_path, "wb") as log:
            self._process = subprocess.Popen(
                [binary(name), "--settings", str(self.settings_path)], stdout=subprocess.PIPE, stderr=log
            )
        try:
            self.listening = self._read_listening_line()
        except BaseException:
            self.kill()
            raise

    @property
    def port(self):
        return self.listening["listening"]

    @property
    def pid(self):
        return self._process.pid

    def _read_listening_line(self):
        """The first line on standard output: JSON with the ports."""
        line = b""
        give_up_at = time.monotonic() + START_BOUND_S
        while not line.endswith(b"\n"):
            left = give_up_at - time.monotonic()
            ready, _, _ = select.select([self._process.stdout], [], [], max(left, 0))
            byte = os.read(self._process.stdout.fileno(), 1) if ready else b""
            if not byte:
                raise AssertionError(f"{self.name} did not start: {line!r} {self.log()}")
            line += byte
        return json.loads(line)

    def log(self):
        """What it wrote on standard error."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    def is_running(self):
        return self._process.poll() is None

    def send_signal(self, number):
        self._process.send_signal(number)

    def freeze(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def wait(self, bound_s=STOP_BOUND_S):
        """Waits for its end and returns the exit code."""
        return self._process.wait(timeout=bound_s)

    def terminate(self):
        """Planned stop; returns the exit code."""
        self.send_signal(signal.SIGTERM)
        return self.wait()

    def kill(self):
        if self.is_running():
            self._process.kill()
            self._process.wait(timeout=STOP_BOUND_S)

    def resident_kilobytes(self):
        """Memory in use, from the kernel."""
        return self._kilobytes("VmRSS:")

    def peak_kilobytes(self):
        """The most memory that has been in use."""
        return self._kilobytes("VmHWM:")

    def _kilobytes(self, name):
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith(name):
                return int(line.split()[1])
        raise AssertionError(f"no {name}")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill()
        self._process.stdout.close()
        self._directory.cleanup()


def platform(**settings):
    """Starts the platform's stand-in."""
    return Process("eelgrasscleat-platform", to_toml({"port": 0, **settings}))


def target(name="t1", **settings):
    """Starts a target's stand-in."""
    return Process("eelgrasscleat-target", to_toml({"port": 0, "name": name, **settings}))


def to_toml(settings):
    """A flat settings file."""
    return "".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items())
