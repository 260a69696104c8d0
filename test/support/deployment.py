"""A whole deployment of real processes: the platform, entry instances in zones, targets, and proxies between zones."""

import contextlib
import itertools
import json
import pathlib
import random
import socket
import tempfile
import time

from support import caller, processes
from support.proxy import FaultProxy
from support.waiting import wait_until

SECRET = "correct-horse-battery-staple-0001"
SERVICE = "engrave-desk"


def hold_ports(count, stack):
    """Ports from the kernel, bound here until `stack` closes, so that no other process is given them meanwhile.

    A process of ours can listen on one all the same: both sides allow the address to be reused, and this one doesn't
    listen.
    """
    ports = []
    for _ in range(count):
        holder = stack.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        ports.append(holder.getsockname()[1])
    return ports


def contract_toml(customer, limit=100, **fields):
    """A contract file for eelgrasscleatctl."""
    values = {
        "customer": customer, "service": SERVICE, "in_flight_limit": limit, "urgency": "urgent",
        "max_run_ms": 5000, "max_queued": 100000, **fields,
    }
    return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())


class Entry:
    """One entry instance: its place, its settings and its present process."""

    def __init__(self, name, zone, peer_port, caller_port):
        self.name = name
        self.zone = zone
        self.peer_port = peer_port
        self.caller_port = caller_port  # Kept over restarts, as behind a balancer.
        self.settings = ""
        self.process = None

    @property
    def port(self):
        return self.process.listening["listening"]

    @property
    def operator_port(self):
        return self.process.listening["operators"]

    def start(self):
        """Starts its process; one before it must have ended."""
        self.stop()
        self.process = processes.Process("eelgrasscleatd", self.settings)

    def stop(self):
        """Ends its process at once, if there is one."""
        if self.process:
            self.process.__exit__()
            self.process = None

    def status(self):
        return caller.get(self.operator_port, "/status").json()

    def is_ready(self):
        return caller.get(self.operator_port, "/ready").status == 200

    def metric(self, name, label=""):
        """Sum of a metric's values whose labels contain `label`."""
        total = 0.0
        for line in caller.get(self.operator_port, "/metrics").body.decode().splitlines():
            if line.startswith(name) and label in line and not line.startswith("#"):
                total += float(line.rsplit(" ", 1)[1])
        return total


class Deployment:
    """Use it as a context manager. Zones are named z1, z2, ...; instances z1-1, z1-2, ...; targets z1-t1, ..."""

    def __init__(self, zones=1, per_zone=1, targets_per_zone=2, target_settings=None, platform=None, proxied=False,
                 entry_settings=None):
        self._stack = contextlib.ExitStack()
        self._directory = pathlib.Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self._entry_settings = entry_settings or {}
        self.zones = [f"z{i + 1}" for i in range(zones)]
        self.proxied = proxied
        self.peer_proxies = {}
        self.platform_proxies = {}
        try:
            self.platform = self._stack.enter_context(processes.platform(**(platform or {})))
            self.targets = self._start_targets(targets_per_zone, target_settings or [{}])
            self.entries = self._make_entries(per_zone)
            self._write_settings()
            for it in self.entries:
                it.start()
        except BaseException:
            self.close()
            raise

    def _start_targets(self, per_zone, settings):
        targets = {}
        kinds = itertools.cycle(settings)
        for zone in self.zones:
            for i in range(per_zone):
                name = f"{zone}-t{i + 1}"
                targets[name] = self._stack.enter_context(processes.target(name=name, **next(kinds)))
        return targets

    def _make_entries(self, per_zone):
        ports = iter(hold_ports(2 * len(self.zones) * per_zone, self._stack))
        return [Entry(f"{zone}-{i + 1}", zone, next(ports), next(ports)) for zone in self.zones for i in range(per_zone)]

    def _write_settings(self):
        for zone in self.zones:
            if self.proxied:
                self.platform_proxies[zone] = self._stack.enter_context(FaultProxy(self.platform.port))
        for it in self.entries:
            it.settings = self._settings_of(it)

    def _peer_port(self, zone, peer):
        """Port under which a zone's instances reach a peer; other zones' go through a proxy that can be cut."""
        if not self.proxied or peer.zone == zone:
            return peer.peer_port
        if (zone, peer.name) not in self.peer_proxies:
            self.peer_proxies[zone, peer.name] = self._stack.enter_context(FaultProxy(peer.peer_port))
        return self.peer_proxies[zone, peer.name].port

    def _settings_of(self, entry):
        platform_port = self.platform_proxies[entry.zone].port if self.proxied else self.platform.port
        tables = {
            "listen": {"caller_port": entry.caller_port, "peer_port": entry.peer_port, "operator_port": 0},
            "platform": {"address": "127.0.0.1", "port": platform_port, "poll_ms": 200, "timeout_ms": 1000},
            "dispatch": {"stop_grace_ms": 200},
            "callers": {},
        }
        for table, values in self._entry_settings.items():
            tables[table].update(values)
        text = processes.to_toml({"name": entry.name, "zone": entry.zone})
        for table, values in tables.items():
            text += f"[{table}]\n" + processes.to_toml(values)
        for peer in self.entries:
            values = {"name": peer.name, "zone": peer.zone, "address": "127.0.0.1",
                      "port": self._peer_port(entry.zone, peer)}
            text += "[[peers]]\n" + processes.to_toml(values)
        return text

    def entry(self, name):
        return next(it for it in self.entries if it.name == name)

    def ctl(self, *arguments, platform_port=None):
        """Runs the operators' command; returns the completed process."""
        settings = processes.to_toml({"author": "test"})
        settings += "[platform]\n" + processes.to_toml(
            {"address": "127.0.0.1", "port": platform_port or self.platform.port})
        for it in self.entries:
            if it.process and it.process.is_running():
                settings += "[[instances]]\n" + processes.to_toml(
                    {"name": it.name, "address": "127.0.0.1", "port": it.operator_port})
        return processes.run("eelgrasscleatctl", "--settings", self.file(settings), *arguments)

    def ctl_ok(self, *arguments):
        done = self.ctl(*arguments)
        assert done.returncode == 0, f"{arguments}: {done.stdout} {done.stderr}"
        return done

    def file(self, text):
        """A file with this text; returns its path."""
        path = self._directory / f"file-{random.getrandbits(64):x}.toml"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def publish(self, contract, secret=SECRET):
        """Publishes one contract, given as TOML."""
        return self.ctl_ok("contract", "publish", self.file(contract), "--key-file", self.file(secret))

    def add_targets(self):
        """Makes all targets known to the entry instances, in one change."""
        text = ""
        for name, process in self.targets.items():
            text += "[[targets]]\n" + processes.to_toml(
                {"name": name, "zone": name.split("-")[0], "service": SERVICE, "address": "127.0.0.1",
                 "port": process.port})
        self.ctl_ok("target", "add", self.file(text))

    def wait_ready(self):
        wait_until(lambda: all(it.is_ready() for it in self.entries), "all entry instances are ready")

    def wait_version(self, version):
        wait_until(lambda: all(it.status()["config_version"] == str(version) for it in self.entries),
                   f"version {version} is in force everywhere")

    def wait_names_held(self):
        wait_until(lambda: all(it.status()["name_state"] == "held" for it in self.entries), "all names are held")

    def set_up(self, *contracts):
        """Publishes contracts and targets, and waits until they are in force everywhere."""
        self.wait_ready()
        contracts = contracts or (contract_toml("prairie"),)
        for it in contracts:
            self.publish(it)
        self.add_targets()
        self.wait_version(len(contracts) + 1)
        self.wait_names_held()

    def cut_zone(self, zone, platform=True, zones=True):
        """Cuts a zone off from the platform, the other zones, or both."""
        if platform:
            self.platform_proxies[zone].cut()
        for (source, peer), proxy in self.peer_proxies.items():
            if zones and (source == zone) != (self.entry(peer).zone == zone):
                proxy.cut()

    def heal(self):
        for it in (*self.platform_proxies.values(), *self.peer_proxies.values()):
            it.heal()

    def starts(self):
        """All starts that targets recorded, as (customer, submission, task)."""
        starts = []
        for it in self.targets.values():
            log = caller.get(it.port, "/v1/starts").json()
            starts += [(s["customer"], s["submission"], int(s["task"])) for s in log["starts"]]
        return starts

    def start_times(self):
        """When targets began tasks, in milliseconds; without the starts that they refused."""
        times = []
        for it in self.targets.values():
            log = caller.get(it.port, "/v1/starts").json()
            times += [int(s["at_ms"]) for s in log["starts"] if s["disposition"] == "START_DISPOSITION_RUN"]
        return times

    def close(self):
        for it in getattr(self, "entries", []):
            it.stop()
        self._stack.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()


def job(key, tasks=4, run_ms=20, ticket="", **fields):
    """Body of a submission whose tasks all take run_ms on a target of speed 1."""
    return {
        "key": key, "ticket": ticket, "created_ms": int(time.time() * 1000),
        "tasks": [{"payload": json.dumps({"run_ms": run_ms, "n": i})} for i in range(tasks)], **fields,
    }


def submit(entry, body, customer="prairie", secret=SECRET, **options):
    return caller.post(entry.port, f"/v1/customers/{customer}/submissions", body, key=secret, **options)


def ticket(entry):
    return caller.get(entry.port, "/v1/ticket").json()["ticket"]
