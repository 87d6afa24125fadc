"""DRAIN, EVAC, RECOVER: another writer leaves an entry under servers/ whose key holds a space.

TROUBLE=0 does the same with a key without a space. Both runs end with the final fault `kill_all`.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import platform_standin as standin  # noqa: E402

ROUTE = ("198.18.0.1", 443)
HOSTS = {"akl": 4, "wlg": 2, "chc": 3}
SERVERS = {"akl": 5, "wlg": 5, "chc": 4}
NEW_FLOWS_PER_S = 150
PAGE_ITEMS = 10
FINAL_DOWN_S = 0.9
RECOVERY_S = 12.0
LEAVES_AFTER_S = 6.0  # from the report `draining` to the end of the process


class Check:
    """Rules DRAIN and EVAC for openings; the store and all hosts are without impairment all the time."""

    def __init__(self, world):
        self.world = world
        self.evacuated = {}  # zone -> when the store confirmed the evacuation
        self.late = {"DRAIN": 0, "EVAC": 0}

    def opening_taken(self, server, key):
        now = time.monotonic()
        self.world.log("opening", server=server.id, flow=key)
        if self.world.is_excused():
            return
        since = {"DRAIN": server.leaving_since, "EVAC": self.evacuated.get(server.zone)}
        bounds = {"DRAIN": standin.BOUNDS["drainTimeoutMs"], "EVAC": standin.BOUNDS["evacuateMs"]}
        for rule, confirmed in since.items():
            # A SYN that was sent before the bound and arrives after it is not counted.
            sent = self.world.syn_sent.get(key, now)
            if confirmed is not None and (sent - confirmed) * 1000 > bounds[rule]:
                self.late[rule] += 1
                if self.late[rule] <= 3:
                    self.world.violation(rule, f"{server.id} ({server.zone}) got an opening {now - confirmed:.2f} s "
                                         f"after the confirmation; the bound is {bounds[rule] / 1000:g} s")


async def scenario(world, trouble):
    check = Check(world)
    world.opening_taken = check.opening_taken
    world.store.PAGE_ITEMS = PAGE_ITEMS
    await world.build(HOSTS, SERVERS, "order-desk")
    world.configure({ROUTE: world.service})
    await world.start_hosts()
    await asyncio.sleep(3)
    for zone, requester in world.requesters.items():
        for share, repeatable in ((0.5, True), (0.5, False)):
            world.every(NEW_FLOWS_PER_S / len(HOSTS) * share,
                        lambda r=requester, again=repeatable: r.one_shot(ROUTE, 3.0, again))
    await asyncio.sleep(5)

    # The entry sorts behind that of the ninth server, so that it ends the first page of ten items.
    ninth = sorted(s.id for s in world.servers)[PAGE_ITEMS - 2]
    key = f"servers/{ninth}{' ' if trouble else '-'}copy"
    world.store.put(key, b"\x80 no entry")
    world.log("foreign_entry", key=repr(key))
    await asyncio.sleep(3)

    leaving = [s for s in world.servers if s.zone == "wlg"][-1]  # behind the entry, which stays the tenth
    leaving.drain()
    world.log("draining", server=leaving.id)
    check.evacuated["chc"] = world.store.put("op/evacuate/chc", b"{}")
    world.log("evacuated", zone="chc")
    await asyncio.sleep(LEAVES_AFTER_S)
    lost = sum(1 for f in leaving.flows.values() for a in f.answers.values() if a is None)
    await leaving.leave()
    world.log("server_ended", server=leaving.id, accepted_requests_lost=lost)
    await asyncio.sleep(6)

    before = dict(world.outcomes)
    world.unplanned(FINAL_DOWN_S)
    for host in world.hosts:
        host.kill()
    world.log("all_killed")
    await asyncio.sleep(FINAL_DOWN_S)
    for host in world.hosts:
        host.start()
    await asyncio.sleep(RECOVERY_S)
    world.outcomes.clear()
    recovered_from = world.at()
    await asyncio.sleep(8)
    world.stopping = True
    await asyncio.sleep(3.2)
    served, tried = world.outcomes["ok"], sum(world.outcomes.values())
    if served * 4 < tried:
        world.violation("RECOVER", f"{served} of {tried} requests after second {recovered_from:.1f} were served")
    return [f"served after the recovery time: {served} of {tried}; before the final fault: {before}", f"openings after the bound: {check.late}", f"calls that the store refused: "
            f"{sum(n for k, n in world.store.calls.items() if k.startswith('400'))}",
            f"accepted requests that the leaving server lost at its end: {lost}"]


if __name__ == "__main__":
    standin.main(Path(__file__).resolve().parent / sys.argv[1], scenario)
