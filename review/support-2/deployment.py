"""A small deployment of chivelever-edge for the cases of this review: the processes are started with the command of the
deploy file, and the platform around them is the project's stand-in, standins/users_platform.py, with the parts that it
lacks: warm-up times, callers at a fixed rate with a flow for each request, and a record of what was sent and received."""

import asyncio
import collections
import json
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "standins"))
import users_platform as platform

DEPLOY_FILE = os.path.join(ROOT, "deploy", "system.toml")
MAX_RUN_S = 115
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CHECK_IN_S = 1.2  # heartbeatMs of the settings


class CouldNotRun(Exception):
    """The machine lacks what the case needs."""


def fill_template(text, fields):
    """Fills in the placeholders of the settings template, as DEPLOY.md describes them."""
    def value(match):
        item = fields
        for part in match.group(1).split("."):
            item = item.get(part, "") if isinstance(item, dict) else ""
        if isinstance(item, list):
            return ",".join(str(x) for x in item)
        return str(item).lower() if isinstance(item, bool) else str(item)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def find_network(port):
    """A second octet of 127.0.0.0/8 on which nothing listens at the given ports."""
    for octet in random.sample(range(20, 240), 60):
        try:
            for p in range(port, port + 10):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as s:
                        s.bind((f"127.{octet}.0.1", p))
            return octet
        except OSError:
            continue
    raise CouldNotRun("no free loopback addresses")


class Store(platform.Store):
    """Can be slow: calls wait for `delay_s` and are then carried out and answered. Reads that may be stale are answered
    from a snapshot that is `stale_s` old, or from the present state if it is None."""

    PAGE_ITEMS = 500
    SNAPSHOT_INTERVAL_S = 0.1
    ANSWER_S = 0.004

    def __init__(self):
        super().__init__()
        self.delay_s = self.ANSWER_S
        self.stale_s = 0.5
        self.snapshots = collections.deque(maxlen=30)
        self.on_call = lambda ip, target: None  # called with the store address and the target of each call

    async def take_snapshots(self):
        while True:
            self.snapshots.append((time.monotonic(), self.revision, dict(self.items)))
            await asyncio.sleep(self.SNAPSHOT_INTERVAL_S)

    def answer(self, method, target, body):
        if "allowStale=1" not in target or self.stale_s is None:
            return super().answer(method, target, body)
        usable = [s for s in self.snapshots if s[0] <= time.monotonic() - self.stale_s]
        if not usable:
            return super().answer(method, target, body)
        now = self.revision, self.items
        _, self.revision, self.items = usable[-1]
        try:
            return super().answer(method, target, body)
        finally:
            self.revision, self.items = now

    def restore(self, age_s):
        self.snapshots.clear()
        return super().restore(age_s)

    async def serve(self, ip, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.split("\r\n")
            length = next((int(x.split(":")[1]) for x in lines if x.lower().startswith("content-length:")), 0)
            body = await reader.readexactly(length)
            method, target, _ = lines[0].split(" ")
            self.on_call(ip, target)
            await asyncio.sleep(self.delay_s)
            if self.down:
                writer.transport.abort()
                return
            status, answer = self.answer(method, target, body)
            text = json.dumps(answer).encode()
            writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                          f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
            await writer.drain()


class Server(platform.Upstream):
    """An upstream that can be cold, and that checks in at the interval of the settings."""

    def __init__(self, world, number, zone, service, ip, port):
        super().__init__(world, number, zone, service, ip, port)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.cold_from = self.cold_until = 0.0
        self.openings = []  # (sent, arrived)
        self.writes = []  # (acknowledged at, era, warmupLeftMs)
        self.written_at = 0.0  # when the store acknowledged the latest entry
        self.slots = asyncio.Semaphore(3)

    def turn_cold(self, length_s):
        self.cold_from = time.monotonic()
        self.cold_until = self.cold_from + length_s
        self.world.note(f"server {self.id} is cold for {length_s:.1f} s")

    def entry(self):
        left_ms = max(0, round((self.cold_until - time.monotonic()) * 1000))
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                "maxConcurrency": 3, "state": "draining" if self.draining else "ready", "warmupLeftMs": left_ms,
                "sequence": self.sequence, "born": self.started_ms}

    def publish_entry(self):
        """Checks in. Fails while the store is away; the server then tries again at its next check-in."""
        store = self.world.store
        if not self.alive or store.down:
            return False
        self.sequence += 1
        key, entry = f"servers/{self.id}", self.entry()
        old = store.items.get(key)
        if old is None or {**json.loads(old.value), "sequence": 0} != {**entry, "sequence": 0}:
            self.written_at = store.put(key, json.dumps(entry).encode())
            self.writes.append((self.written_at, store.era, entry["warmupLeftMs"]))
            self.world.note(f"server {self.id} wrote its entry: state={entry['state']} "
                            f"warmupLeftMs={entry['warmupLeftMs']}")
        return True

    async def check_in(self):
        while self.alive:
            await asyncio.sleep(CHECK_IN_S * random.uniform(0.95, 1.05))
            self.publish_entry()

    def on_syn(self, key, p):
        if key not in self.flows:
            sent = self.world.sent_at.get((p.src, p.sport))
            if sent is not None:
                self.openings.append((sent, time.monotonic()))
                self.world.record_opening(self, p)
        super().on_syn(key, p)

    def stop(self):
        self.alive = False
        self.udp.close()
        self.tcp.close()


class Deployment(platform.World):
    def __init__(self, zones, port=8160, warmup_s=2.0, warmup_per_s=4.0):
        """zones: name -> number of hosts."""
        self.octet = find_network(port)
        super().__init__(list(zones), 1, port, random.getrandbits(32))
        self.store = Store()
        self.warmup_s, self.warmup_per_s = warmup_s, warmup_per_s
        self.hosts = {z: [f"127.{self.octet}.{10 + i}.{n + 1}" for n in range(count)]
                      for i, (z, count) in enumerate(zones.items())}
        # A store address for each host shows which host a call comes from.
        self.store_ips = {ip: f"127.{self.octet}.200.{n + 1}"
                          for n, ip in enumerate(ip for ips in self.hosts.values() for ip in ips)}
        self.processes = {}
        self.host_zone = {ip: z for z, ips in self.hosts.items() for ip in ips}
        self.directory = tempfile.mkdtemp(prefix="chivelever-review-")
        self.lines = []
        self.sent_at = {}
        self.outcomes = {}
        self.started = time.monotonic()
        self.callers = {}
        self.reads = []

    def note(self, text):
        self.lines.append(f"{time.monotonic() - self.started:9.3f} {text}")

    def record_opening(self, server, p):
        self.note(f"opening from {platform.ip_text(p.src)}:{p.sport} reached {server.id} of {server.zone}")

    def record_run(self, upstream, request, route):
        self.note(f"request {request} runs at {upstream.id}")
        super().record_run(upstream, request, route)

    # --- the platform

    def restore_backup(self, age_s):
        """The store comes back from a copy. The header Store-Era rises by one."""
        self.store.restore(age_s)
        self.store.down = False

    def configure(self, routes):
        super().configure(routes)
        config = json.loads(self.config_text)
        for s in config["services"]:
            s["warmupS"], s["warmupPerS"] = self.warmup_s, self.warmup_per_s
        self.config_text = json.dumps(config).encode()
        self.store.put("op/config", self.config_text)

    def settings_of(self, ip, first_start):
        # The fields of DEPLOY.md that the template names, with the figures of its example.
        fields = {"nodeName": f"edge-{ip}", "zone": self.host_zone[ip], "ip": ip,
                  "internalPortRange": [self.peer_port, self.peer_port + 10],
                  "seeds": [f"{hosts[0]}:{self.peer_port}" for hosts in self.hosts.values()][:3],
                  "bootstrap": first_start,
                  "listenAddrs": {"datagramAddr": f"{ip}:{self.packet_port}", "readyAddr": f"{ip}:{self.ready_port}"},
                  "platform": {"address": f"{self.store_ips[ip]}:{self.store_port}"},
                  "bounds": {"warmupOverage": 1.5, "warmupSlack": 5, "gracePeriodS": 6}}
        with open(DEPLOY_FILE, "rb") as f:
            role = tomllib.load(f)["roles"]["balancer"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            return fill_template(f.read(), fields), role["run"].split()

    def start_host(self, ip, first_start=False):
        text, command = self.settings_of(ip, first_start)
        path = os.path.join(self.directory, f"{ip}.ini")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise CouldNotRun(f"{command[0]} is not built")
        with open(os.path.join(self.directory, f"{ip}.log"), "ab") as log:
            self.processes[ip] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "CHIVELEVER_CONFIG": path})
        self.note(f"host {ip} of {self.host_zone[ip]} started")

    def signal_host(self, ip, number):
        self.note(f"host {ip} gets signal {int(number)}")
        if self.processes[ip].poll() is None:
            self.processes[ip].send_signal(number)

    async def add_server(self, zone, service, number, cold_s=0.0):
        index = list(self.hosts).index(zone)
        s = Server(self, number, zone, service, f"127.{self.octet}.{100 + index}.{number}", self.upstream_port)
        self.upstreams.append(s)
        if cold_s:
            s.turn_cold(cold_s)
        await s.start()
        self.tasks.append(asyncio.ensure_future(s.check_in()))
        return s

    async def start(self, servers, routes):
        """servers: (zone, service, count)."""
        for ip in self.store_ips.values():
            await self.store.listen(ip, self.store_port)
        number = 0
        for zone, service, count in servers:
            for _ in range(count):
                number += 1
                await self.add_server(zone, service, number)
        self.configure(routes)
        self.tasks.append(asyncio.ensure_future(self.keep_backups()))
        self.tasks.append(asyncio.ensure_future(self.store.take_snapshots()))
        for i, zone in enumerate(self.hosts):
            router = platform.Router(zone, self.hosts[zone], self.packet_port, self.ready_port)
            self.tasks += [asyncio.ensure_future(router.poll_readiness(h)) for h in router.hosts]
            self.callers[zone] = platform.ZoneCallers(self, zone, f"127.{self.octet}.{150 + i}.1", router)
            await self.callers[zone].start()
        for ip in self.host_zone:
            self.start_host(ip, first_start=True)

    # --- the callers

    async def one_request(self, zone, route, limit_s=3.0, tries=3):
        """A request with a flow of its own; up to two further tries, each with a new flow from a new port."""
        callers = self.callers[zone]
        for attempt in range(tries):
            flow = callers.new_flow(route)
            self.sent_at[(platform.ip_number(callers.ip), flow.sport)] = time.monotonic()
            request = f"{random.getrandbits(64):016x}"
            self.note(f"request {request} sent from {callers.ip}:{flow.sport} to {route[0]}:{route[1]}")
            outcome = await flow.open()
            if outcome == "open":
                outcome = await flow.request(request, limit_s)
                flow.close()
            callers.flows.pop(flow.sport, None)
            self.note(f"request {request} ended: {outcome}")
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            if outcome == "ok":
                return

    async def load(self, zone, route, per_s):
        while not self.stopping:
            await asyncio.sleep(random.expovariate(per_s))
            self.tasks.append(asyncio.ensure_future(self.one_request(zone, route)))

    def start_load(self, zone, route, per_s):
        self.tasks.append(asyncio.ensure_future(self.load(zone, route, per_s)))

    async def stop(self):
        self.stopping = True
        for p in self.processes.values():
            if p.poll() is None:
                p.kill()
                p.wait()
        for t in self.tasks:
            t.cancel()
        for s in self.upstreams:
            if s.alive:
                s.stop()
        for s in self.store.servers:
            s.close()
        for c in self.callers.values():
            c.udp.close()


def most_in_one_second(openings, start, end):
    """The largest number of openings that were sent and arrived within one second inside the span: (number, when)."""
    inside = sorted(o for o in openings if o[0] >= start and o[1] <= end)
    best = (0, start)
    for sent, _ in inside:
        n = sum(1 for s, a in inside if s >= sent and a < sent + 1.0)
        best = max(best, (n, sent), key=lambda x: x[0])
    return best


def run_case(record, case):
    """Runs case(trouble, context), which returns whether the rule was broken and the lines of the summary. Writes the file
    `record` and returns the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", random.SystemRandom().randrange(10 ** 6)))
    random.seed(seed)
    world = {}

    async def guarded():
        return await asyncio.wait_for(case(trouble, world), MAX_RUN_S)

    code, summary = COULD_NOT_RUN, []
    try:
        broken, summary = asyncio.run(guarded())
        summary.insert(0, f"seed {seed}")
        code = BROKEN if broken else HELD
    except Exception as e:  # whatever stops the case, the rule was not tested
        summary = [f"could not run: {type(e).__name__}: {e}"]
    finally:
        w = world.get("world")
        if w is not None:
            for p in w.processes.values():
                if p.poll() is None:
                    p.kill()
                    p.wait()
        with open(record, "w", encoding="utf-8") as f:
            f.write(f"trouble: {'yes' if trouble else 'no'}\n")
            f.writelines(line + "\n" for line in summary)
            if w is not None:
                f.write(f"logs of the hosts: {w.directory}\n" if os.environ.get("KEEP_LOGS") else "")
                f.writelines(line + "\n" for line in w.lines)
    if w is not None and not os.environ.get("KEEP_LOGS"):
        subprocess.run(["rm", "-r", w.directory], check=False)
    for line in summary:
        print(line)
    print({HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "could not run"}[code])
    return code
