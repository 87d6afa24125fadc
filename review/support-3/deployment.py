"""A small deployment of chivelever-edge on the project's stand-in of the users' platform, for the scripts of this
review: separate processes started with the command of the deploy file, on loopback addresses and the real clock."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "standins"))
import users_platform as up  # noqa: E402

METRICS_PORT = 9464  # of the command in the deploy file
HEARTBEAT_S = 1.2  # as heartbeatMs in the settings
OPERATOR_RETRY_S = 0.1
RESTART_S = 0.05


class Unusable(Exception):
    """The case could not run."""


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    def close(self):
        self.file.close()


def free_port_base(addresses):
    """A base of six consecutive ports that are free on all addresses."""
    for base in random.sample(range(20000, 32000, 10), 200):
        sockets = []
        try:
            for ip in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    for port in range(base, base + 6):
                        s = socket.socket(socket.AF_INET, kind)
                        sockets.append(s)
                        s.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise Unusable("no free ports")


class Server(up.Upstream):
    """A server that registers like the pages say: an entry under its id, written at its start and at each check-in if
    more than `sequence` changed. `restart` starts it again under its id, cold and without its flows."""

    def __init__(self, world, number, zone, service, ip, port):
        super().__init__(world, number, zone, service, ip, port)
        self.cold_until = 0.0
        self.opened = []  # (sent, arrived) of the opening packet of each flow that it took
        self.check_ins = None

    async def start(self):
        self.publish_entry()
        await super().start()
        self.check_ins = asyncio.ensure_future(self.check_in_regularly())

    async def check_in_regularly(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.publish_entry()

    def publish_entry(self):
        if not self.alive or self.world.store_refuses():
            return
        self.sequence += 1
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                 "maxConcurrency": 4, "state": "draining" if self.draining else "ready", "warmupLeftMs": left,
                 "sequence": self.sequence, "born": self.started_ms}
        key = f"servers/{self.id}"
        old = self.world.store.items.get(key)
        ignored = {"sequence": 0, "warmupLeftMs": 0}
        if old is None or {**json.loads(old.value), **ignored} != {**entry, **ignored}:
            self.world.store.put(key, json.dumps(entry).encode())
            self.world.record(f"server {self.id} entry accepted: born={self.started_ms} warmupLeftMs={left}")

    async def end(self):
        """The process ends; its flows are gone and its ports are closed."""
        self.alive = False
        self.check_ins.cancel()
        self.flows.clear()
        self.udp.close()
        self.tcp.close()
        await self.tcp.wait_closed()
        await asyncio.sleep(RESTART_S)  # also lets the event loop close the datagram socket
        self.world.record(f"server {self.id} ends")

    async def start_again(self):
        """Starts under the same id; the entry is written before anything is served."""
        self.alive = True
        self.sequence = 0
        self.started_ms = int(time.time() * 1000)
        self.cold_until = time.monotonic() + self.world.cold_s
        self.world.record(f"server {self.id} starts again, cold for {self.world.cold_s} s")
        await self.start()

    async def restart(self):
        await self.end()
        await self.start_again()

    def on_syn(self, key, p):
        now = time.monotonic()
        if key not in self.flows:
            sent = self.world.sent_at.get((key, p.seq, p.ack), now)
            self.opened.append((sent, now, now < self.cold_until))
            self.world.record(f"server {self.id} takes flow {key[0] & 255}:{key[1]} cold={int(now < self.cold_until)}")
        super().on_syn(key, p)


class Flow(up.CallerFlow):
    """Remembers when each opening packet was sent."""

    def transmit(self, flags, data=b"", ack=None):
        if flags == up.SYN:
            key = (up.ip_number(self.callers.ip), self.sport, up.ip_number(self.route[0]), self.route[1])
            self.callers.world.sent_at[(key, self.seq & 0xFFFFFFFF, ack)] = time.monotonic()
        super().transmit(flags, data, ack)


class Callers(up.ZoneCallers):
    def new_flow(self, route):
        self.last_port = 1024 + (self.last_port - 1023) % 60000
        flow = self.flows[self.last_port] = Flow(self, self.last_port, route)
        return flow


class Deployment(up.World):
    """`servers` holds the services of the servers of each zone; each service has a route of its own."""

    def __init__(self, record, zones, hosts_per_zone, servers, cold_s, cold_per_s, seed):
        self.addresses = [f"127.{50 + i}.0.{n + 1}" for i in range(len(zones)) for n in range(hosts_per_zone)]
        port = free_port_base(self.addresses)
        super().__init__(zones, hosts_per_zone, port, seed)
        self.hosts = {z: [f"127.{50 + i}.0.{n + 1}" for n in range(hosts_per_zone)] for i, z in enumerate(zones)}
        self.record, self.servers = record, servers
        self.cold_s, self.cold_per_s = cold_s, cold_per_s
        self.sent_at = {}
        self.processes = {}
        self.route_of = {name: ("198.18.0.1", 443 + n) for n, name in enumerate(sorted(set(servers)))}
        self.directory = tempfile.TemporaryDirectory(prefix="chivelever-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            role = tomllib.load(f)["roles"]["balancer"]
        self.command = role["run"].split()
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            self.template = f.read()

    @staticmethod
    def store_address(ip):
        _, zone, _, number = ip.split(".")
        return f"127.{100 + int(zone)}.0.{number}"

    def store_refuses(self):
        return self.store.mode.get("all", ("ok", 0.0))[0] != "ok"

    def settings(self, zone, ip):
        values = {"nodeName": f"edge-{zone}-{ip.split('.')[-1]}", "zone": zone, "ip": ip,
                  "internalPortRange": f"{self.peer_port},{self.peer_port + 3}",
                  "seeds": ",".join(f"{h[0]}:{self.peer_port}" for h in self.hosts.values()), "bootstrap": "true",
                  "listenAddrs.datagramAddr": f"{ip}:{self.packet_port}",
                  "listenAddrs.readyAddr": f"{ip}:{self.ready_port}",
                  "platform.address": f"{self.store_address(ip)}:{self.store_port}", "bounds.warmupOverage": "1.5",
                  "bounds.warmupSlack": "5", "bounds.gracePeriodS": "6"}
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: values[m.group(1)], self.template)

    def configure_services(self):
        self.version += 3
        self.routes = {route: name for name, route in self.route_of.items()}
        self.services_ever = {route: {name} for name, route in self.route_of.items()}
        config = {"version": self.version, "services": [
            {"name": name, "healthCheck": "/health", "maxConnections": 2000, "protocol": "h1", "tls": False,
             "warmupS": self.cold_s, "warmupPerS": self.cold_per_s} for name in self.route_of],
            "limits": {"idleTimeoutMs": 15000}, "routes": [
            {"name": f"r-{name}", "host": host, "prefix": f"/{port}/", "type": "idempotent",
             "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 1, "service": name, "attempts": 2}
            for name, (host, port) in self.route_of.items()]}
        self.store.put("op/config", json.dumps(config).encode())

    def start_process(self, ip):
        zone = next(z for z, hosts in self.hosts.items() if ip in hosts)
        path = os.path.join(self.directory.name, f"{ip}.ini")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings(zone, ip))
        log = open(os.path.join(self.directory.name, f"{ip}.log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.processes[ip] = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                              env={**environment, "CHIVELEVER_CONFIG": path})
        log.close()
        self.record(f"host {ip} started")

    async def start_all(self):
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise Unusable(f"{self.command[0]} has not been built")
        self.started = time.monotonic()
        for ip in self.addresses:
            await self.store.listen(self.store_address(ip), self.store_port)
        for i, zone in enumerate(self.zones):
            for n, service in enumerate(self.servers):
                s = Server(self, len(self.upstreams), zone, service, f"127.{50 + i}.1.{n + 1}", self.upstream_port)
                self.upstreams.append(s)
                await s.start()
        self.configure_services()
        for ip in self.addresses:
            self.start_process(ip)
        self.callers = {}
        for i, zone in enumerate(self.zones):
            router = up.Router(zone, self.hosts[zone], self.packet_port, self.ready_port)
            self.tasks += [asyncio.ensure_future(router.poll_readiness(h)) for h in router.hosts]
            self.callers[zone] = Callers(self, zone, f"127.{50 + i}.2.1", router)
            await self.callers[zone].start()
        await asyncio.sleep(4)
        if any(p.poll() is not None for p in self.processes.values()):
            raise Unusable("a process did not start")

    def start_callers(self, zone, service, number, pause):
        """Callers that open a flow for each request."""
        for _ in range(number):
            self.tasks.append(asyncio.ensure_future(
                self.callers[zone].run_caller(self.route_of[service], pause, False, self.counts)))

    async def operate(self, key, value):
        """The operator writes a key, or removes it if there is no value, and repeats the call until it is accepted."""
        while self.store_refuses():
            await asyncio.sleep(OPERATOR_RETRY_S)
        if value is None:
            self.store.remove(key)
        else:
            self.store.put(key, value)
        self.record(f"operator: {key} {'removed' if value is None else 'written'}, accepted")

    async def stop_all(self):
        self.stopping = True
        for t in self.tasks:
            t.cancel()
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
                p.wait()
        for s in self.upstreams:
            if s.check_ins is not None:
                s.check_ins.cancel()
        self.directory.cleanup()


def floods_of_cold_servers(world, limit):
    """The rule FAILBACK: cold servers that got more flows within a second than the limit. Counted are flows whose
    opening packet was sent and arrived within that second."""
    broken = []
    for s in world.upstreams:
        cold = [(sent, arrived) for sent, arrived, was_cold in s.opened if was_cold]
        most = max((sum(1 for sent, arrived in cold if sent >= start and arrived < start + 1)
                    for start, _ in cold), default=0)
        world.record(f"server {s.id} in {s.zone}: {len(cold)} flows while cold, at most {most} within a second")
        if most > limit:
            broken.append(f"FAILBACK: cold server {s.id} got {most} requests in one second; the limit is {limit:g}")
    return broken


def run_case(folder, case):
    """Runs `case(record, trouble)`, which returns the broken rules, and exits as the scripts of the review do. The first
    argument names the record."""
    record = Record(os.path.join(folder, sys.argv[1]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble={int(trouble)}")
    loop = asyncio.new_event_loop()
    task = loop.create_task(asyncio.wait_for(case(record, trouble), 105))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        broken = loop.run_until_complete(task)
    except (Unusable, OSError, asyncio.TimeoutError, asyncio.CancelledError) as e:
        finish(record, [f"could not run: {e!r}"], 2)
    for line in broken:
        record("BROKEN " + line)
    finish(record, broken + ["broken" if broken else "held"], 1 if broken else 0)


def finish(record, lines, code):
    """Leaves at once: the tasks of the stand-ins have no end of their own, and the processes have been ended."""
    print("\n".join(lines), flush=True)
    record(lines[-1])
    record.close()
    os._exit(code)
