"""Implements `scripts/demo platform`: runs chivelever-edge on the stand-in of the users' platform with two zones,
four hosts and eight upstreams, under traffic and with one host and one upstream failing. The last line is a
summary; the exit code is 0 only if no guarantee was violated and at least 98% of the requests were served."""

import argparse
import asyncio
import os
import subprocess
import sys

import platform_run
import users_platform

SERVED_SHARE = 0.98  # with one host killed and one upstream crashed


def progress(text):
    if sys.stdout.isatty():
        print("\r" + text.ljust(60), end="", flush=True)


async def run(args):
    world = users_platform.World(["akl", "wlg"], 2, args.port_base, args.seed)
    hosts = platform_run.Hosts(world, args.binary)
    await world.start(upstreams_per_zone=4, callers_per_zone=40, pause=0.25)
    for ip in hosts.addresses():
        hosts.start(ip)
    await asyncio.sleep(1.5)
    world.start_traffic()
    for second in range(args.seconds):
        if second == args.seconds // 3:
            world.impair(2)
            hosts.kill(hosts.addresses()[0])
            asyncio.ensure_future(world.upstreams[0].crash())
        if second == args.seconds // 3 + 2:
            hosts.start(hosts.addresses()[0])
        hosts.restart_exited()
        progress(f"{second + 1} of {args.seconds} s, served {world.counts['served']}")
        await asyncio.sleep(1)
    suspicions = sum(hosts.metric(ip, "suspicions_total") for ip in hosts.addresses())
    await world.stop_traffic()
    await asyncio.to_thread(hosts.stop)
    for at, rule, detail in world.violations[:20]:
        print(f"{at:8.3f} s  {rule}: {detail}")
    for ip, code in hosts.unexpected_exits:
        print(f"{ip} exited unexpectedly with code {code}")
    c = world.counts
    times = sorted(t for _, t, o in world.samples if o == "ok") or [0]
    print(f"platform: asked={c['asked']} late={c['late']} unanswered={c['unanswered']} suspicions={suspicions:.0f} store_calls={world.store.calls} "
          f"p50={1000 * times[len(times) // 2]:.1f}ms p99={1000 * times[len(times) * 99 // 100]:.1f}ms "
          f"logs={hosts.log_directory}")
    print(f"served={c['served']} broken={len(world.violations)} refused={c['refused']}")
    return not world.violations and not hosts.unexpected_exits and c["served"] >= SERVED_SHARE * c["asked"] > 0


def main(arguments):
    parser = argparse.ArgumentParser(prog="scripts/demo platform", description=__doc__)
    parser.add_argument("--seconds", type=int, default=12)
    parser.add_argument("--port-base", type=int, default=9300)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--binary", default=platform_run.BINARY)
    parser.add_argument("--no-build", action="store_true")
    args = parser.parse_args(arguments)
    if not args.no_build:
        subprocess.run([os.path.join(platform_run.ROOT, "scripts", "build"), "release", "--target",
                        "chivelever-edge"], check=True)
    return 0 if asyncio.run(run(args)) else 1
