"""FLOW: the only host of a zone stands still for less than two seconds and goes on, several times.

The stand-ins are those of the first review; only the routers are extended by the nearest zone. TROUBLE=0 does the same
without suspending the host.
"""

import asyncio
import random
import signal
import sys
import zlib
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import platform_standin as standin  # noqa: E402

ROUTE = ("198.18.0.1", 443)
HOSTS = {"akl": 2, "wlg": 1}
SERVERS = {"akl": 5, "wlg": 5}
USERS = 300  # of each zone, with long flows
PAUSE_S = 4.0
REQUESTS_PER_FLOW = 4
SINGLE_REQUESTS_PER_S = 40  # with a flow each
SUSPENDED_S = 1.7
INTERVAL_S = 8.5  # from when the host goes on until it stands still again
SUSPENSIONS = 8


class Router(standin.Router):
    """If no host of the zone is in rotation, the hosts of the nearest zone are used."""

    def select(self, key):
        if all(self.misses[h] >= 2 for h in self.hosts):
            other = next(r for z, r in self.world.routers.items() if z != self.zone)
            ready = [h for h in other.hosts if other.misses[h] < 2]
            if ready:
                return max(ready, key=lambda h: zlib.crc32(f"{h} {key}".encode()))
        return super().select(key)


standin.Router = Router


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
    host = next(h for h in world.hosts if h.zone == "wlg")
    for _ in range(SUSPENSIONS):
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
