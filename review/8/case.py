"""The servers of two zones are replaced one after the other while the platform's store is slow. Counts the openings that
reach each new server while it is cold."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))
import deployment as d

ROUTE = ("198.18.0.1", 8443)
WARMUP_S, WARMUP_PER_S = 2.0, 0.0  # as in the configuration that `fleetbench wire` shows
LIMIT = WARMUP_PER_S * 1.5 + 5  # warmupPerS x warmupOverage + warmupSlack
LOAD_PER_S = 50  # in each zone
SLOW_ANSWER_S = 0.276  # 69 times the 4 ms of the store
SLOW_S, PAUSE_S = 5.4, 0.6
REPLACED = 40
GAP_S = 2.0


async def spells_of_slowness(world):
    while True:
        world.note("the store is slow")
        world.store.delay_s = SLOW_ANSWER_S
        await asyncio.sleep(SLOW_S)
        world.note("the store is as fast as usual")
        world.store.delay_s = world.store.ANSWER_S
        await asyncio.sleep(PAUSE_S)


async def replace(world, number, old):
    """The new server starts first; the old one drains, and leaves later."""
    await asyncio.sleep(2.5)
    old.drain()
    world.note(f"server {old.id} drains")
    await asyncio.sleep(4.5)
    world.store.remove(f"servers/{old.id}")
    old.stop()


async def case(trouble, context):
    world = context["world"] = d.Deployment({"akl": 2, "wlg": 2}, warmup_s=WARMUP_S, warmup_per_s=WARMUP_PER_S)
    world.store.stale_s = None
    await world.start([("akl", "desk", 4), ("wlg", "desk", 4)], {ROUTE: "desk"})
    await asyncio.sleep(5)
    for zone in world.hosts:
        world.start_load(zone, ROUTE, LOAD_PER_S)
    await asyncio.sleep(5)
    if trouble:
        world.tasks.append(asyncio.ensure_future(spells_of_slowness(world)))
    active = {zone: [s for s in world.upstreams if s.zone == zone] for zone in world.hosts}
    new = []
    for i in range(REPLACED):
        zone = list(world.hosts)[i % 2]
        server = await world.add_server(zone, "desk", 20 + i, cold_s=WARMUP_S)
        world.tasks.append(asyncio.ensure_future(replace(world, 20 + i, active[zone].pop(0))))
        active[zone].append(server)
        new.append(server)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(3)
    await world.stop()
    worst = []
    for s in new:
        n, at = d.most_in_one_second(s.openings, s.cold_from, s.cold_until)
        first = max((s.cold_until - arrived for _, arrived in s.openings if arrived < s.cold_until), default=0.0)
        worst.append((n, f"server {s.id} got {n} openings in the second from {at - world.started:.3f} s; the first "
                         f"opening came {first:.3f} s before the end of its warm-up"))
    summary = [f"limit: {LIMIT:g} openings in one second", f"outcomes of the requests: {world.outcomes}"]
    summary += [text for n, text in sorted(worst, reverse=True)[:12]]
    return any(n > LIMIT for n, _ in worst), summary


if __name__ == "__main__":
    sys.exit(d.run_case(os.path.join(HERE, sys.argv[1]), case))
