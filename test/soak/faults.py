"""The faults of a run: drawn from its seed ahead of time, so that the same seed gives the same ones in the same order."""

import asyncio
import contextlib
import dataclasses
import random
import signal
import time

from support import crowd, peer_crowd
from support.crowd import Crowd

CROWD_CLIENTS = 40
# None of their requests is ever complete, so none of them names a job.
CALLER_CROWDS = (crowd.endless_trailers, crowd.endless_chunk_line, crowd.large_chunks_without_end, crowd.small_chunks_without_end,
                 crowd.short_lines_without_end, crowd.short_lines_before_open_body)
PEER_CROWDS = (peer_crowd.unfinished_message, peer_crowd.pings_without_end, peer_crowd.settings_without_end,
               peer_crowd.headers_without_end)


@dataclasses.dataclass
class Fault:
    at: float
    kind: str
    for_s: float
    who: int  # Draws the process, target or link that it strikes.
    share: float

    def __str__(self):
        return f"{self.at:6.2f} s {self.kind} for {self.for_s:.2f} s, who {self.who}, share {self.share:.2f}"


def draw(seed, seconds):
    """Series of faults that overlap; the last ends before the time to recover begins."""
    source = random.Random(seed)
    faults, at = [], 4.0
    while at < seconds:
        for_s = min(source.uniform(0.3, 4.0), seconds - at)
        faults.append(Fault(at, source.choice(sorted(KINDS)), for_s, source.randrange(1 << 30), source.uniform(0.1, 0.6)))
        at += source.expovariate(1.1)
    # From a source of their own: seeds that once failed keep their other faults.
    source = random.Random(f"targets {seed}")
    for kind in TARGET_KINDS:
        at = source.uniform(4.0, max(5.0, seconds - 4.0))
        faults.append(Fault(at, kind, source.uniform(2.0, 5.0), source.randrange(1 << 30), source.uniform(0.1, 0.6)))
    source = random.Random(f"clients {seed}")
    for _ in range(2):
        at = source.uniform(4.0, max(5.0, seconds - 4.0))
        faults.append(Fault(at, "unruly_clients", source.uniform(1.0, 4.0), source.randrange(1 << 30), source.uniform(0.1, 0.6)))
    return sorted(faults, key=lambda it: it.at)


def one(world, fault):
    return world.instances[fault.who % len(world.instances)]


def some(world, fault):
    source = random.Random(fault.who)
    return [it for it in world.instances if source.random() < fault.share] or [one(world, fault)]


def some_targets(world, fault):
    source = random.Random(fault.who)
    targets = list(world.targets.values())
    return [it for it in targets if source.random() < fault.share / 2] or [targets[fault.who % len(targets)]]


def some_links(world, fault, kinds):
    source = random.Random(fault.who)
    struck = [it for it in world.instances if source.random() < fault.share] or [one(world, fault)]
    names = {it.name for it in struck}
    for it in struck:
        it.disturb(fault.for_s)
    return [link for (name, kind, _), link in world.links.items() if name in names and kind in kinds]


async def freeze(world, fault):
    for it in some(world, fault):
        it.disturb(fault.for_s)
        it.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    for it in some(world, fault):
        it.signal(signal.SIGCONT)
        it.disturb()


async def kill(world, fault):
    for it in some(world, fault):
        it.disturb(fault.for_s / 2)
        it.signal(signal.SIGCONT)
        it.signal(signal.SIGKILL)


async def kill_all(world, fault):
    for it in world.instances:
        it.disturb(min(fault.for_s, 1.0))
        it.signal(signal.SIGCONT)
        it.signal(signal.SIGKILL)


async def roll(world, fault):
    for it in some(world, fault):
        it.disturb(7.0)
        it.stopping = True
        it.signal(signal.SIGTERM)
        await asyncio.sleep(0.6)


async def reload(world, fault):
    for it in some(world, fault):
        it.signal(signal.SIGHUP)


def store_fault(mode):
    async def strike(world, fault):
        names = [it.name for it in (world.instances if fault.share > 0.4 else some(world, fault))]
        for it in names:
            world.store.fault[it] = mode
        await asyncio.sleep(fault.for_s)
        for it in names:
            world.store.fault.pop(it, None)
    return strike


async def revoke(world, _):
    for it in world.store.groups.values():
        it.revoke(world.faults_random)


async def forget(world, _):
    world.store.forget_history()


async def configure(world, fault):
    for _ in range(1 + fault.who % 4):
        world.publish()
        await asyncio.sleep(0.3)


async def evacuate(world, fault):
    """One zone, or all; the next series may do it again before this one has ended."""
    zones = world.zones if fault.share > 0.5 else [world.zones[fault.who % len(world.zones)]]
    for it in zones:
        world.evacuate(it)
    await asyncio.sleep(fault.for_s + 4.0)
    for it in zones:
        world.take_back(it)


def link_fault(kinds, **faults):
    async def strike(world, fault):
        links = some_links(world, fault, kinds)
        for it in links:
            if fault.who % 3 != 1:
                it.there = dataclasses.replace(it.there, **faults)
            if fault.who % 3 != 2:
                it.back = dataclasses.replace(it.back, **faults)
        await asyncio.sleep(fault.for_s)
        for it in links:
            it.heal()
    return strike


async def reset_links(world, fault):
    for it in some_links(world, fault, ("store", "peer", "target", "caller")):
        it.reset()


async def silence_links(world, fault):
    for it in some_links(world, fault, ("store", "peer", "target")):
        it.silence()


def target_mode(mode):
    async def strike(world, fault):
        struck = some_targets(world, fault)
        for it in struck:
            it.mode = mode
        await asyncio.sleep(fault.for_s)
        for it in struck:
            it.mode = ""
    return strike


def target_share(attribute, share):
    async def strike(world, fault):
        for it in world.targets.values():
            setattr(it, attribute, share)
        await asyncio.sleep(fault.for_s)
        for it in world.targets.values():
            setattr(it, attribute, 0.0)
    return strike


async def restart_targets(world, fault):
    for it in some_targets(world, fault):
        it.restart()


async def crash_targets(world, fault):
    struck = some_targets(world, fault)
    for it in struck:
        it.dark = True
        it.restart()
    await asyncio.sleep(fault.for_s)
    for it in struck:
        it.dark = False


async def drain_targets(world, fault):
    """They say that they leave, serve a little longer, and come back as new incarnations."""
    struck = [it for it in some_targets(world, fault) if it.draining_since is None]
    for it in struck:
        it.draining_since = time.monotonic()
        it.announce()
    await asyncio.sleep(2.0 + fault.for_s)
    for it in struck:
        it.restart()
        it.draining_since = None


async def damage_entries(world, fault):
    for it in some_targets(world, fault):
        value = (b"\xff\x00 not an entry", b"{}", b'{"service":7,"state":"odd"}')[fault.who % 3]
        world.store.write("keyed.servers", it.name, value)


async def crashing_tasks(world, fault):
    world.crashing_share = fault.share / 4
    await asyncio.sleep(fault.for_s)
    world.crashing_share = 0.0


async def shrink_targets(world, fault):
    struck = some_targets(world, fault)
    for it in struck:
        it.shrink(fault.share)
    await asyncio.sleep(fault.for_s)
    for it in struck:
        it.shrink(1.0)


async def unruly_clients(world, fault):
    """Crowds on each port that clients reach. Their target isn't disturbed for it: its process must not end."""
    source = random.Random(fault.who)
    async with contextlib.AsyncExitStack() as stack:
        for it in some(world, fault):
            ports = dict.fromkeys(CALLER_CROWDS, it.front_port) | dict.fromkeys(PEER_CROWDS, it.peer_port)
            ports[crowd.silence] = it.ready_port
            for script in source.sample(sorted(ports, key=lambda script: script.__name__), 3):
                await stack.enter_async_context(Crowd(ports[script], CROWD_CLIENTS, script))
        await asyncio.sleep(fault.for_s)


TARGET_KINDS = {"crashing_tasks": crashing_tasks, "targets_shrink": shrink_targets}
CLIENT_KINDS = {"unruly_clients": unruly_clients}

KINDS = {
    "freeze": freeze, "kill": kill, "kill_all": kill_all, "roll": roll, "reload": reload,
    "store_silent": store_fault("silent"), "store_refuses": store_fault("refuse"), "store_slow": store_fault("slow"),
    "store_loses_answers": store_fault("lost"), "store_writes_late": store_fault("late"),
    "group_dealt_anew": revoke, "history_forgotten": forget, "configure": configure, "evacuate": evacuate,
    "cut_store": link_fault(("store",), cut=True), "cut_peers": link_fault(("peer",), cut=True),
    "cut_targets": link_fault(("target",), cut=True), "cut_all": link_fault(("store", "peer", "target"), cut=True),
    "cut_callers": link_fault(("caller",), cut=True),
    "delay": link_fault(("peer", "target", "store"), delay_s=0.06),
    "reset": reset_links, "silence": silence_links,
    "targets_hang": target_mode("hang"), "targets_fail": target_mode("fail"),
    "targets_lose_answers": target_share("lost", 0.2), "targets_carry_out_late": target_share("late", 0.2),
    "targets_restart": restart_targets, "targets_crash": crash_targets, "targets_drain": drain_targets,
    "entries_damaged": damage_entries,
}


def plan(world):
    """Planned work on a calm deployment: a target of each zone leaves, one shrinks, an instance is stopped, a configuration
    comes."""
    leaving = {it.zone: it for it in world.targets.values() if it.draining_since is None}
    for it in leaving.values():
        it.draining_since = time.monotonic()
        it.announce()
    for it in {it.zone: it for it in world.targets.values() if it not in leaving.values()}.values():
        it.shrink(0.5)
    instance = world.faults_random.choice(world.instances)
    instance.stopping = True
    instance.stop_began = time.monotonic()
    instance.signal(signal.SIGTERM)
    world.publish()


async def play(world, faults):
    """Strikes each fault at its time. Only the instances that a fault strikes, or all, count as disturbed by it."""
    began = time.monotonic()
    running = []
    for it in faults:
        await asyncio.sleep(max(0.0, it.at - (time.monotonic() - began)))
        if it.kind not in ("configure", "reload"):
            world.checks.disturbed(it.for_s)
        running.append(asyncio.ensure_future((KINDS | TARGET_KINDS | CLIENT_KINDS)[it.kind](world, it)))
    await asyncio.gather(*running)
    world.checks.disturbed()
