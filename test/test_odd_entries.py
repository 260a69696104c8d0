"""Odd entries in every list that the instances read, by the real program: each costs itself alone, and following goes on."""

import asyncio
import json
import signal
import time
import unittest

from soak.store import entry
from soak.targets import Target
from soak.wire import Server
from soak.world import INSTANCE_TOPIC, OPERATOR_TOPIC, TARGET_TOPIC, World
from support.odd_entries import ODD_ADDRESSES, duplicated, encode, spoiled, with_odd_fields

SEED = 17
CRASH_TOPIC = "keyed.crashes"
SETTLE_S = 6.0
# Between two odd entries: those of a topic come in many reads.
PAUSE_S = 0.004
INFLATED_S = 3.0
# After the last odd entry: takeovers and first inspections are over.
CALM_S = 8.0
SERVED_SHARE = 0.9
# Keys that no sound writer uses, beside a usual one.
KEYS = ["odd", "", "/", "a\r\nX: y", "\x00", "\u00fc\U0001f600", "x" * 255, "evacuate/", "1/odd", "99999999999999999999/odd", "-1/odd"]


def target_entries(zone):
    sound = {"service": "desk", "addr": "127.0.0.1:9", "zone": zone, "version": "1", "slots": 8, "state": "ready",
             "sequence": 1, "born": 1700000000000, "labels": ["a", "rack-1"], "cold-left-ms": 0,
             "capacity": {"cpu": 32000, "mem-mb": 65536, "gpu": 0}}
    yield from spoiled(sound)
    yield from duplicated(sound)
    yield from map(encode, with_odd_fields(sound))
    yield from (encode({**sound, "addr": it}) for it in ODD_ADDRESSES)


def instance_entries(zone):
    sound = {"zone": zone, "address": "127.0.0.1", "port": 9, "milli-cores": 250, "link-kbps": 1000}
    yield from spoiled(sound)
    yield from duplicated(sound)
    yield from map(encode, with_odd_fields(sound))
    yield from (encode({**sound, "port": it}) for it in (0, 65536, 65536 + 9, 70000, "9"))
    yield from (encode({**sound, "address": it}) for it in ("", "desk.example", "999.1.1.1", "127.0.0.1:9", "::"))


def crash_entries():
    sound = {"tasks": [["00000000000000ff.0.0.0", True, True]]}
    yield from spoiled(sound)
    yield from duplicated(sound)
    yield from map(encode, with_odd_fields(sound))
    for task in ("", "no task", "a.0.99999999999.0", "a.0.0.-1", "a.0.0.0.0", "." * 1000):
        yield encode({"tasks": [[task, True, True]]})
    yield encode({"tasks": [["00000000000000ff.0.0.0", 7, "x"], [[]], 7, None]})


def route_changes(route):
    """Configurations in which one route is odd; all others hold."""
    yield from with_odd_fields(route)
    for name in ("priority", "attempts", "stretch", "target-latency-ms", "timeout-ms"):
        yield from ({**route, name: it} for it in (1e308, -1e308, 2**32, 2**62))


class OddEntriesTest(unittest.TestCase):
    def test_odd_entries_in_all_lists_cost_themselves_alone(self):
        broken = asyncio.run(self._play())
        self.assertEqual(broken, [])

    async def _play(self):
        world = World(SEED)
        self._problems = []
        try:
            await world.start()
            await asyncio.sleep(SETTLE_S)
            await self._write_targets(world)
            await self._write(world, INSTANCE_TOPIC, instance_entries(world.zones[0]))
            await self._write(world, CRASH_TOPIC, crash_entries())
            await self._write_configurations(world)
            # One that starts now lists everything that was left behind.
            await self._restart_an_owner(world)
            await self._add_target(world)
            began = time.monotonic() - world.checks.began
            await asyncio.sleep(CALM_S)
            self._judge_service(world, began)
        finally:
            await world.stop()
        rejected = sum("record rejected" in line for log in world.logs_kept.values() for line in log)
        if rejected < 100:
            self._problems.append(f"{rejected} log lines on rejected records")
        return self._problems + world.checks.broken

    async def _write(self, world, topic, values):
        for i, value in enumerate(values):
            world.store.write(topic, f"odd-{i}", value)
            await asyncio.sleep(PAUSE_S)
        for key in KEYS:
            for value in (b"\xff", b"{}", None, b'{"tasks":[]}'):
                world.store.write(topic, key, value)
                await asyncio.sleep(PAUSE_S)

    async def _write_targets(self, world):
        """Under names of their own, and in place of a sound target's entry, which its own next one replaces."""
        victim = next(iter(world.targets.values()))
        for zone in world.zones[:1]:
            await self._write(world, TARGET_TOPIC, target_entries(zone))
        for value in target_entries(victim.zone):
            fields = value
            if b'"addr": "127.0.0.1:9"' in value:
                fields = value.replace(b"127.0.0.1:9", f"127.0.0.1:{victim.port}".encode())
            world.store.write(TARGET_TOPIC, victim.name, fields)
            await asyncio.sleep(PAUSE_S)
        await self._inflate(world, victim)

    async def _inflate(self, world, victim):
        """A capacity too large for 32 bits must not become a smaller one that its target doesn't have."""
        victim.announce()
        sound = json.loads(world.store.topic(TARGET_TOPIC).newest[victim.name])
        sound["capacity"] = {"cpu": 2**32 + 1000000, "mem-mb": 65536}
        world.set_rate(60.0)
        end = time.monotonic() + INFLATED_S
        while time.monotonic() < end:
            world.store.write(TARGET_TOPIC, victim.name, encode(sound))
            await asyncio.sleep(0.02)
        world.set_rate(14.0)
        victim.announce()

    async def _write_configurations(self, world):
        newest = json.loads(world.store.topic(OPERATOR_TOPIC).newest["config"])
        for value in spoiled({**newest, "version": newest["version"] + 1}):
            try:
                is_sound = isinstance(json.loads(value), dict)
            except (ValueError, RecursionError):
                is_sound = False
            if not is_sound:
                world.store.write(OPERATOR_TOPIC, "config", value)
                await asyncio.sleep(PAUSE_S)
        for key in KEYS + ["evacuate/a\r\nX: y", "evacuate/" + "x" * 240]:
            for value in (b"\xff", b"{}", None):
                world.store.write(OPERATOR_TOPIC, key, value)
                await asyncio.sleep(PAUSE_S)
        odd_route = {"name": "odd", "host": "odd.example", "path-prefix": "/odd/", "service": "desk", "priority": 0,
                     "attempts": 2, "stretch": 1.6, "target-latency-ms": 60, "timeout-ms": 10000}
        for i, route in enumerate(route_changes(odd_route)):
            if i % 8 == 0:
                world.publish()
                newest = json.loads(world.store.topic(OPERATOR_TOPIC).newest["config"])
            world.version += 1
            newest["version"] = world.version
            world.store.write(OPERATOR_TOPIC, "config", entry(**{**newest, "routes": [route] + newest["routes"]}))
            await asyncio.sleep(PAUSE_S)

    async def _restart_an_owner(self, world):
        owners = set(world.store.groups[f"zone.{world.zones[0]}"].holder.values())
        instance = next(it for it in world.instances if it.name in owners)
        instance.disturb(1.0)
        world.checks.disturbed(1.0)
        instance.signal(signal.SIGKILL)
        await asyncio.sleep(3.0)

    async def _add_target(self, world):
        """Following goes on if a target that comes now gets work."""
        self._added = Target("t-added", world.zones[0], 32000, 0.5, world.store_writer, world.checks, world.random)
        self._added.port = (await Server(self._added.handle).start()).port
        for it in world.instances:
            await world._add_link(it, "target", self._added.name, self._added.port)
        world.spawn(self._added.announce_for_ever())

    def _judge_service(self, world, began):
        ends = [status == 200 and state == "complete" for at, status, state in world.ends if at > began + 3]
        share = sum(ends) / max(1, len(ends))
        if share < SERVED_SHARE:
            self._problems.append(f"{share:.2f} of {len(ends)} jobs served at the end")
        if self._added._last_end == 0:
            self._problems.append("the added target got no work")


if __name__ == "__main__":
    unittest.main()
