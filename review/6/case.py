"""FLOW: one host after another stands still for less than two seconds and goes on.

TROUBLE=0 does the same without suspending the hosts.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import platform_standin as standin  # noqa: E402

ROUTE = ("198.18.0.1", 443)
HOSTS = {"akl": 4, "wlg": 2, "chc": 3}
SERVERS = {"akl": 5, "wlg": 5, "chc": 4}
USERS = 300  # of each zone, with long flows
PAUSE_S = 4.0
REQUESTS_PER_FLOW = 4
SINGLE_REQUESTS_PER_S = 83  # with a flow each
SUSPENDED_S = 1.7
INTERVAL_S = 8.5  # from when a host goes on until the next one stands still
SUSPENSIONS = 8


async def suspend(world, host):
    host.process.send_signal(signal.SIGSTOP)
    world.log("suspended", host=host.name)
    world.unplanned(SUSPENDED_S)
    await asyncio.sleep(SUSPENDED_S)
    host.process.send_signal(signal.SIGCONT)
    world.log("goes_on", host=host.name)
    world.unplanned()


async def scenario(world, trouble):
    await world.build(HOSTS, SERVERS, "order-desk")
    world.configure({ROUTE: world.service})
    await world.start_hosts()
    await asyncio.sleep(3)
    zones = list(world.requesters.values())
    for requester in zones:
        for _ in range(USERS):
            world.tasks.append(asyncio.ensure_future(requester.long_lived(ROUTE, 3.0, PAUSE_S, REQUESTS_PER_FLOW)))
    world.every(SINGLE_REQUESTS_PER_S, lambda: random.choice(zones).one_shot(ROUTE, 3.0, False))
    await asyncio.sleep(6)
    # The zone with two hosts first: most flows of a zone go through each of them.
    order = sorted(world.hosts, key=lambda h: HOSTS[h.zone])
    for host in (order * 2)[:SUSPENSIONS]:
        if trouble:
            await suspend(world, host)
        else:
            await asyncio.sleep(SUSPENDED_S)
        await asyncio.sleep(INTERVAL_S)
    world.stopping = True
    await asyncio.sleep(3.5)
    broken = [v for v in world.violations if v[1] == "FLOW"]
    return [f"open flows that were broken: {len(broken)}"]


if __name__ == "__main__":
    standin.main(Path(__file__).resolve().parent / sys.argv[1], scenario)
