"""Simulates the users' platform on one machine: store, routers, upstreams and callers, which use the
platform's published formats on loopback addresses. Test code for demos and fault runs of chivelever-edge; not
shipped. Checks the received packets and collects violations of the guaranteed properties."""

import asyncio
import base64
import collections
import copy
import json
import random
import re
import struct
import time
import zlib
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

HEADER = struct.Struct("<IIHBBIIHIHI")  # seq ack len flags pad echo sum dport src sport dst
SYN, FIN, ACK, BOUNCED, RST = 2, 16, 32, 64, 128
SYN_RETRANSMIT_TIMES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
INITIAL_RETRANSMIT_INTERVAL_S, MAX_RETRANSMIT_INTERVAL_S = 0.2, 1.6
PROBE_INTERVAL_S = 0.5
ENTRY_LIFETIME_HEARTBEATS = 3
DRAIN_LIMIT_S = 3.0
EVACUATE_LIMIT_S = 5.0
CONFIG_LIMIT_S = 3.0


def ip_number(text):
    a, b, c, d = (int(x) for x in text.split("."))
    return a << 24 | b << 16 | c << 8 | d


def ip_text(number):
    return ".".join(str(number >> s & 255) for s in (24, 16, 8, 0))


@dataclass
class Packet:
    seq: int
    ack: int
    flags: int
    echo: int
    dport: int
    src: int
    sport: int
    dst: int
    data: bytes = b""
    sum: int = 0

    def checksum(self):
        text = HEADER.pack(self.seq, self.ack, len(self.data), self.flags & ~BOUNCED, 0, 0, 0, self.dport, self.src,
                         self.sport, self.dst)
        return zlib.crc32(b"stand-in key" + text + self.data) or 1

    def encode(self):
        return HEADER.pack(self.seq, self.ack, len(self.data), self.flags, 0, self.echo, self.sum, self.dport, self.src,
                         self.sport, self.dst) + self.data

    @staticmethod
    def decode(text):
        seq, ack, size, flags, _, echo, total, dport, src, sport, dst = HEADER.unpack_from(text)
        return Packet(seq, ack, flags, echo, dport, src, sport, dst, text[HEADER.size:HEADER.size + size], total)


class DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, addr):
        self.receive(data, addr)

    def error_received(self, exc):
        pass  # no process on the port; the sender retransmits


async def open_udp(ip, port, receive):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: DatagramReceiver(receive), local_addr=(ip, port))
    return transport


@dataclass
class Item:
    value: bytes
    revision: int
    created: int


class Store:
    """The key-value service. Each host has a separate store address, so that a mode can be set per host: ok,
    busy (503), many (429), reset, silent, slow (a delay), twice (a second copy of each answer, at once or late),
    crossed (the listing of another prefix) or garbage (bytes that are no answer)."""

    PAGE_ITEMS = 4  # few, so that a page may end at any entry
    BACKUP_INTERVAL_S, BACKUPS = 0.5, 20

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.mode = {}  # host address -> (mode, delay)
        self.calls = 0
        self.servers = []
        self.leases = {}  # id -> (expiry, keys, duration in ms)
        self.last_lease_id = 0
        self.lost = 0.0  # share of writes that are applied but not answered
        self.era = 1
        self.backups = collections.deque(maxlen=self.BACKUPS)
        self.down = False

    def back_up(self):
        leases = {i: (end, set(keys), length) for i, (end, keys, length) in self.leases.items()}
        self.backups.append((time.monotonic(), self.revision, copy.deepcopy(self.items), leases, self.last_lease_id))

    def restore(self, age_s):
        """Restores the newest backup that is at least this old. The next era begins: revisions and lease ids are
        reused, and what the hosts and their leases have written since then is gone. Returns the keys that differ."""
        usable = [b for b in self.backups if b[0] <= time.monotonic() - age_s] or list(self.backups)[:1]
        if not usable:
            return []
        before = self.items
        _, self.revision, self.items, leases, self.last_lease_id = copy.deepcopy(usable[-1])
        # The leases expire as if the store had not been away.
        self.leases = leases
        self.era += 1
        self.backups.clear()
        return [(k, before.get(k)) for k in sorted(set(before) | set(self.items))
                if (before[k].value if k in before else None) != (self.items[k].value if k in self.items else None)]

    def put(self, key, value):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = Item(value, self.revision, old.created if old else self.revision)
        return time.monotonic()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1

    def expire_leases(self):
        for lease in [i for i, (end, _, _) in self.leases.items() if end <= time.monotonic()]:
            for key in self.leases.pop(lease)[1]:
                self.remove(key)

    async def listen(self, ip, port):
        async def serve(reader, writer):
            try:
                await self.serve(ip, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass  # the client disconnected, or the run ends
            finally:
                writer.close()

        self.servers.append(await asyncio.start_server(serve, ip, port))

    async def serve(self, ip, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.split("\r\n")
            headers = {k.strip().lower(): v.strip() for k, v in (x.split(":", 1) for x in lines[1:] if ":" in x)}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            request = re.fullmatch(r"(\S+) (\S+) HTTP/1\.1", lines[0])
            method, target = request.groups() if request else ("", "")
            self.calls += 1
            mode, delay = self.mode.get(ip, self.mode.get("all", ("ok", 0.0)))
            await asyncio.sleep(0.002 + delay)
            if mode == "silent":
                await asyncio.sleep(3600)
            if mode == "reset" or self.down:
                writer.transport.abort()
                return
            if not request:
                status, answer = 400, {"error": "invalid request line"}
            elif mode in ("busy", "many"):
                status, answer = (503 if mode == "busy" else 429), {"error": mode}
            else:
                if mode == "crossed":
                    target = target.replace("prefix=servers/", "prefix=op/") if "servers/" in target else \
                        target.replace("prefix=op/", "prefix=servers/")
                status, answer = self.answer(method, target, body)
                if method == "POST" and random.random() < self.lost:
                    await asyncio.sleep(3600)
            text = json.dumps(answer).encode()
            if mode == "garbage":
                text = random.choice((text[:len(text) // 2], b'{"items":7}', b"[" * 4000, random.randbytes(300)))
            message = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                       f"Content-Length: {len(text)}\r\n\r\n").encode() + text
            writer.write(message)
            await writer.drain()
            if mode == "twice":
                await asyncio.sleep(random.choice((0, 0.05)))
                writer.write(message)
                await writer.drain()

    def item_json(self, key, item):
        return {"key": key, "value": base64.b64encode(item.value).decode(), "revision": item.revision,
                "created": item.created, "leaseId": 0}

    def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        self.expire_leases()
        if url.path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = keys[:self.PAGE_ITEMS]
            return 200, {"items": [self.item_json(k, self.items[k]) for k in page], "hasMore": len(keys) > len(page),
                         "asOf": self.revision}
        if url.path == "/-/kv-lease" and method == "POST":
            self.last_lease_id += 1
            lease, length = self.last_lease_id, json.loads(body)["ttlMs"]
            self.leases[lease] = (time.monotonic() + length / 1000, set(), length)
            return 200, {"leaseId": lease, "ttlMs": length}
        if url.path.startswith("/-/kv-keep/") and method == "POST":
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            _, keys, length = self.leases[lease]
            self.leases[lease] = (time.monotonic() + length / 1000, keys, length)
            return 200, {"leaseId": lease, "ttlMs": length}
        if url.path == "/-/kv-txn" and method == "POST":
            call = json.loads(body)
            if any(put["leaseId"] and put["leaseId"] not in self.leases for put in call["puts"]):
                return 404, {"error": "no such lease"}
            for put in call["puts"]:
                if put["leaseId"]:
                    self.leases[put["leaseId"]][1].add(put["key"])
                self.put(put["key"], base64.b64decode(put["value"]))
            for key in call["remove"]:
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {"error": "no such call"}


@dataclass
class Flow:
    peer_seq: int
    own_seq: int
    opened: bool = False
    answers: dict = field(default_factory=dict)  # sequence of the request -> answer packet


class Upstream:
    def __init__(self, world, number, zone, service, ip, port):
        self.world, self.zone, self.service, self.ip, self.port = world, zone, service, ip, port
        self.id = f"i-{0x50000000 + number:08x}"
        self.flows = {}
        self.alive = True
        self.crashed = False
        self.draining = False
        self.draining_since = None
        self.started_ms = int(time.time() * 1000)
        self.sequence = 0
        self.slots = asyncio.Semaphore(4)
        self.syn_count = 0
        self.rewrite_at = 0.0  # after a restore of the store: when it notices

    async def start(self):
        self.udp = await open_udp(self.ip, self.port, self.receive)
        self.tcp = await asyncio.start_server(lambda r, w: w.close(), self.ip, self.port)
        self.publish_entry()

    def publish_entry(self):
        """Writes the entry to the store if more than its sequence number changed."""
        if not self.alive or time.monotonic() < self.rewrite_at:
            return
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                 "maxConcurrency": 4, "state": "draining" if self.draining else "ready", "warmupLeftMs": 0,
                 "sequence": self.sequence, "born": self.started_ms}
        key = f"servers/{self.id}"
        old = self.world.store.items.get(key)
        unsequenced = {**entry, "sequence": 0}
        if not self.crashed and (old is None or {**json.loads(old.value), "sequence": 0} != unsequenced):
            self.world.store.put(key, json.dumps(entry).encode())

    def drain(self):
        self.draining, self.draining_since = True, time.monotonic()
        self.publish_entry()

    async def crash(self):
        """Stops responding; the entry expires after three heartbeats."""
        self.alive, self.crashed = False, True
        self.udp.close()
        self.tcp.close()
        await asyncio.sleep(ENTRY_LIFETIME_HEARTBEATS * 0.5)
        self.world.store.remove(f"servers/{self.id}")

    def send(self, packet, flags, seq, ack, data=b""):
        p = Packet(seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, flags, packet.echo, packet.sport, packet.dst, packet.dport,
                   packet.src, data)
        p.sum = p.checksum()
        self.udp.sendto(p.encode(), (ip_text(packet.src), self.world.packet_port))

    def receive(self, text, _):
        if not self.alive:
            return
        number = int.from_bytes(text[:8], "big")
        p = Packet.decode(text[8:])
        if number not in (0, int(self.id[2:], 16)):
            return
        if p.sum != p.checksum():
            self.world.violation("UNASKED", "a packet was modified in transit")
            return
        key = (p.src, p.sport, p.dst, p.dport)
        if p.flags & SYN:
            self.on_syn(key, p)
        elif key not in self.flows:
            if not p.flags & RST:
                self.send(p, RST, p.ack, 0)
        elif p.flags & (RST | FIN):
            if p.flags & FIN:
                self.send(p, ACK, p.ack, p.seq + 1)
            self.flows.pop(key, None)
        else:
            self.on_data(self.flows[key], p)

    def on_syn(self, key, p):
        self.syn_count += 1
        self.world.check_syn(self, p)
        flow = self.flows.setdefault(key, Flow(p.seq, random.getrandbits(31)))
        self.send(p, SYN | ACK, flow.own_seq, p.seq + 1)

    def on_data(self, flow, p):
        flow.opened = True
        if not p.data:
            return
        if p.seq not in flow.answers:
            flow.answers[p.seq] = None
            asyncio.ensure_future(self.run_request(flow, p))
        elif flow.answers[p.seq]:
            self.udp.sendto(flow.answers[p.seq], (ip_text(p.src), self.world.packet_port))

    async def run_request(self, flow, p):
        lines = p.data.decode().split("\r\n")
        request = next((x.split(": ", 1)[1] for x in lines if x.startswith("Chivelever-Request-Id: ")), "")
        self.world.record_run(self, request, (p.dst, p.dport))
        async with self.slots:
            await asyncio.sleep(random.uniform(0.005, 0.02))
        if not self.alive:
            return
        body = f"{request} {self.service}".encode()
        answer = Packet(p.ack, (p.seq + len(p.data)) & 0xFFFFFFFF, ACK, p.echo, p.sport, p.dst, p.dport, p.src, body)
        answer.sum = answer.checksum()
        flow.answers[p.seq] = answer.encode()
        self.udp.sendto(flow.answers[p.seq], (ip_text(p.src), self.world.packet_port))


class Router:
    """Sends packets of one zone's callers to the ready hosts, or to all hosts if fewer than half are ready, by
    rendezvous hashing of the flow."""

    def __init__(self, zone, hosts, packet_port, ready_port):
        self.zone, self.hosts, self.packet_port, self.ready_port = zone, hosts, packet_port, ready_port
        self.failed_probes = {h: 2 for h in hosts}

    async def poll_readiness(self, host):
        while True:
            ok = False
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, self.ready_port), 0.4)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                ok = b" 200 " in await asyncio.wait_for(reader.readline(), 0.4)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            self.failed_probes[host] = 0 if ok else self.failed_probes[host] + 1
            await asyncio.sleep(PROBE_INTERVAL_S)

    def select_host(self, key):
        candidates = [h for h in self.hosts if self.failed_probes[h] < 2]
        if len(candidates) * 2 < len(self.hosts):
            candidates = self.hosts
        return max(candidates, key=lambda h: zlib.crc32(f"{h}{key}".encode()))


class CallerFlow:
    """One flow of a caller: opening, requests with retransmission, and close."""

    def __init__(self, callers, sport, route):
        self.callers, self.sport, self.route = callers, sport, route
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.echo = 0
        self.events = asyncio.Queue()

    def key(self):
        return (self.callers.ip, self.sport, *self.route)

    def transmit(self, flags, data=b"", ack=None):
        p = Packet(self.seq & 0xFFFFFFFF, (self.ack if ack is None else ack) & 0xFFFFFFFF, flags, self.echo,
                   self.route[1], ip_number(self.callers.ip), self.sport, ip_number(self.route[0]), data)
        p.sum = p.checksum()
        host = self.callers.router.select_host(self.key())
        self.callers.udp.sendto(p.encode(), (host, self.callers.world.packet_port))

    async def next_event(self, limit):
        try:
            return await asyncio.wait_for(self.events.get(), limit)
        except asyncio.TimeoutError:
            return None

    async def open(self):
        started = time.monotonic()
        for copy, until in enumerate((*SYN_RETRANSMIT_TIMES_S, SYN_TIMEOUT_S)):
            self.transmit(SYN, ack=copy)
            p = await self.next_event(max(0.001, started + until - time.monotonic()))
            if p is None:
                continue
            if p.flags & RST:
                return "refused"
            self.seq += 1
            self.ack, self.echo = p.seq + 1, p.echo
            return "open"
        return "silent"

    async def request(self, request, limit):
        """Sends a request with retransmission. Returns ok, reset or unanswered."""
        data = f"GET / HTTP/1.1\r\nHost: x\r\nChivelever-Request-Id: {request}\r\n\r\n".encode()
        end = time.monotonic() + limit
        wait = INITIAL_RETRANSMIT_INTERVAL_S
        while time.monotonic() < end:
            self.transmit(ACK, data)
            until = min(end, time.monotonic() + wait)
            while (left := until - time.monotonic()) > 0:
                p = await self.next_event(left)
                if p is None:
                    break
                if p.flags & RST:
                    return "reset"
                if p.data and p.seq == self.ack & 0xFFFFFFFF:
                    self.seq += len(data)
                    self.ack = p.seq + len(p.data)
                    self.callers.check_answer(request, self.route, p.data.decode())
                    self.transmit(ACK)
                    return "ok"
            wait = min(2 * wait, MAX_RETRANSMIT_INTERVAL_S)
        return "unanswered"

    def close(self):
        self.transmit(FIN | ACK)
        self.callers.flows.pop(self.sport, None)


class ZoneCallers:
    """The callers of one zone, which share one address."""

    def __init__(self, world, zone, ip, router):
        self.world, self.zone, self.ip, self.router = world, zone, ip, router
        self.flows = {}
        self.last_port = 1024

    async def start(self):
        self.udp = await open_udp(self.ip, self.world.packet_port, self.receive)

    def receive(self, text, _):
        p = Packet.decode(text)
        flow = self.flows.get(p.dport)
        if flow is None:
            return
        if p.flags & RST:
            self.world.check_reset(self, flow, p)
        elif p.sum != p.checksum():
            self.world.violation("MIXED", "an answer was modified in transit")
            return
        flow.events.put_nowait(p)

    def new_flow(self, route):
        self.last_port = 1024 + (self.last_port - 1023) % 60000
        flow = self.flows[self.last_port] = CallerFlow(self, self.last_port, route)
        return flow

    def check_answer(self, request, route, text):
        if text.split(" ")[0] != request:
            self.world.violation("MIXED", f"{request} was answered with {text}")
        allowed = self.world.services_ever[route]
        if text.split(" ")[1] not in allowed:
            self.world.violation("ROUTE", f"{request} of {route} was answered by {text}")

    async def run_caller(self, route, pause, long_flow, counts):
        flow = None
        while not self.world.stopping:
            request = f"{random.getrandbits(64):016x}"
            started = time.monotonic()
            outcome = "refused"
            for _ in range(3):
                if flow is None:
                    flow = self.new_flow(route)
                    opened = await flow.open()
                    if opened != "open":
                        self.flows.pop(flow.sport, None)
                        flow, outcome = None, "refused" if opened == "refused" else "unanswered"
                        continue
                outcome = await flow.request(request, 3.0)
                if outcome == "ok":
                    break
                flow.close()
                flow = None
                request = f"{random.getrandbits(64):016x}"  # each attempt has its own id
            if flow is not None and not long_flow:
                flow.close()
                flow = None
            duration = time.monotonic() - started
            counts["asked"] += 1
            counts["served" if outcome == "ok" else outcome] += 1
            counts["late"] += outcome == "ok" and duration > 0.3
            self.world.samples.append((time.monotonic(), duration, outcome))
            await asyncio.sleep(random.expovariate(1 / pause))


class World:
    """All simulated components: everything but the chivelever-edge hosts."""

    REWRITE_LIMIT_S = 2.0

    def __init__(self, zones, hosts_per_zone, port, seed):
        random.seed(seed)
        self.zones = zones
        self.packet_port, self.ready_port, self.peer_port = port, port + 1, port + 2
        self.store_port, self.upstream_port, self.metrics_port = port + 3, port + 4, port + 5
        self.store = Store()
        self.violations = []
        self.samples = []
        self.stopping = False
        self.counts = {k: 0 for k in ("asked", "served", "refused", "late", "reset", "unanswered")}
        self.version = 0
        self.routes = {}
        self.services_ever = {}
        self.removed_at = {}
        self.evacuated_at = {}
        self.runs = {}
        self.impaired_until = 0.0
        self.hosts = {z: [f"127.{i + 1}.0.{n + 1}" for n in range(hosts_per_zone)] for i, z in enumerate(zones)}
        self.upstreams = []
        self.tasks = []

    def violation(self, rule, detail):
        self.violations.append((round(time.monotonic() - self.started, 3), rule, detail))

    def settings(self, zone, ip):
        seeds = ",".join(f"{h[0]}:{self.peer_port}" for h in self.hosts.values())
        return (f"[host]\nname = edge-{zone}-{ip.split('.')[-1]}\nzone = {zone}\naddress = {ip}\n"
                f"ports = {self.peer_port},{self.peer_port + 10}\nseeds = {seeds}\n[listen]\n"
                f"packets = {ip}:{self.packet_port}\nready = {ip}:{self.ready_port}\n[store]\n"
                f"address = {self.store_address(ip)}:{self.store_port}\n[bounds]\ngrace_s = 6\n")

    @staticmethod
    def store_address(ip):
        _, zone, _, number = ip.split(".")
        return f"127.{100 + int(zone)}.0.{number}"

    def configure(self, routes):
        self.version += random.randint(1, 5)
        now = time.monotonic()
        for gone in set(self.routes) - set(routes):
            self.removed_at[gone] = now
        for route, service in routes.items():
            self.removed_at.pop(route, None)
            self.services_ever.setdefault(route, set()).add(service)
        self.routes = dict(routes)
        services = sorted(set(routes.values()))
        config = {"version": self.version, "services": [
            {"name": s, "healthCheck": "/health", "maxConnections": 2000, "warmupS": 2.0, "warmupPerS": 0.0}
            for s in services], "limits": {"idleTimeoutMs": 15000}, "routes": [
            {"name": f"r{i}", "host": h, "prefix": f"/{p}/", "type": "idempotent", "timeoutMs": 3000,
             "targetLatencyMs": 200, "priority": 1, "service": s, "attempts": 2}
            for i, ((h, p), s) in enumerate(routes.items())]}
        self.config_text = json.dumps(config).encode()
        self.store.put("op/config", self.config_text)

    def evacuate(self, zone, on):
        if on:
            self.evacuated_at[zone] = self.store.put(f"op/evacuate/{zone}", b"{}")
        else:
            self.evacuated_at.pop(zone, None)
            self.store.remove(f"op/evacuate/{zone}")

    async def restore_store(self, age_s, down_s):
        """The store is unavailable for a moment, then restored from a backup. Operators and upstreams write again
        what was lost, up to REWRITE_LIMIT_S later; upstreams that have stopped since then expire again."""
        self.store.down = True
        await asyncio.sleep(down_s)
        lost = self.store.restore(age_s)
        self.store.down = False
        by_key = {f"servers/{u.id}": u for u in self.upstreams}
        for u in self.upstreams:
            u.rewrite_at = time.monotonic() + random.uniform(0, self.REWRITE_LIMIT_S)

        async def write_again(key, item):
            await asyncio.sleep(random.uniform(0, self.REWRITE_LIMIT_S))
            if key.startswith("op/evacuate/"):
                zone = key.removeprefix("op/evacuate/")
                if zone in self.evacuated_at:
                    self.evacuated_at[zone] = self.store.put(key, b"{}")
                else:
                    self.store.remove(key)
            elif key == "op/config":
                self.store.put(key, self.config_text)
            elif key in by_key and not by_key[key].alive:
                self.store.remove(key)
            elif key.startswith("servers/") and key not in by_key and item is not None:
                self.store.put(key, item.value)

        await asyncio.gather(*(write_again(k, i) for k, i in lost))

    async def keep_backups(self):
        while True:
            self.store.back_up()
            await asyncio.sleep(self.store.BACKUP_INTERVAL_S)

    def impair(self, seconds):
        """Suspends the checks of time limits for the given time and four seconds after it."""
        self.impaired_until = max(self.impaired_until, time.monotonic() + seconds + 4.0)

    def time_limits_apply(self):
        return time.monotonic() > self.impaired_until

    def check_syn(self, upstream, p):
        now = time.monotonic()
        if not self.time_limits_apply():
            return
        if upstream.draining and now - upstream.draining_since > DRAIN_LIMIT_S:
            self.violation("DRAIN", f"{upstream.id} received an opening packet")
        evacuated = self.evacuated_at.get(upstream.zone)
        if evacuated is not None and now - evacuated > EVACUATE_LIMIT_S:
            self.violation("EVAC", f"{upstream.id} received an opening packet")
        removed = self.removed_at.get((ip_text(p.dst), p.dport))
        if removed is not None and now - removed > CONFIG_LIMIT_S + SYN_TIMEOUT_S:
            self.violation("CONFIG", "an opening packet on a removed route was forwarded")

    def check_reset(self, callers, flow, p):
        if p.sum != 0 or flow.echo == 0:
            return  # reset by an upstream, or a refused opening
        key = (ip_number(callers.ip), flow.sport, ip_number(flow.route[0]), flow.route[1])
        live_upstreams = [u for u in self.upstreams if u.alive and key in u.flows and u.flows[key].opened]
        if live_upstreams and flow.route in self.routes:
            self.violation("FLOW", f"an open flow to {live_upstreams[0].id} was reset")

    def record_run(self, upstream, request, route):
        self.runs[request] = self.runs.get(request, 0) + 1
        if self.runs[request] > 1:
            self.violation("TWICE", f"{request} ran twice")

    async def start(self, upstreams_per_zone, callers_per_zone, pause):
        self.started = time.monotonic()
        for zone_hosts in self.hosts.values():
            for ip in zone_hosts:
                await self.store.listen(self.store_address(ip), self.store_port)
        for i, zone in enumerate(self.zones):
            for n in range(upstreams_per_zone):
                service = "bulk" if n == upstreams_per_zone - 1 else "desk"
                await self.add_upstream(zone, service, f"127.{i + 1}.1.{n + 1}")
        self.configure({("198.18.0.1", 443): "desk", ("198.18.0.1", 8080): "bulk", ("198.18.0.2", 443): "desk"})
        self.tasks.append(asyncio.ensure_future(self.heartbeats()))
        self.tasks.append(asyncio.ensure_future(self.keep_backups()))
        for i, zone in enumerate(self.zones):
            router = Router(zone, self.hosts[zone], self.packet_port, self.ready_port)
            self.tasks += [asyncio.ensure_future(router.poll_readiness(h)) for h in router.hosts]
            callers = ZoneCallers(self, zone, f"127.{i + 1}.2.1", router)
            await callers.start()
            self.callers_of = getattr(self, "callers_of", []) + [(callers, callers_per_zone, pause)]

    async def add_upstream(self, zone, service, ip):
        u = Upstream(self, len(self.upstreams), zone, service, ip, self.upstream_port)
        self.upstreams.append(u)
        await u.start()
        return u

    async def heartbeats(self):
        while True:
            await asyncio.sleep(0.5)
            for u in self.upstreams:
                u.publish_entry()

    def start_traffic(self):
        for callers, number, pause in self.callers_of:
            for n in range(number):
                long_flow = n % 10 < 7
                route = ("198.18.0.1", 443) if n % 10 < 9 else ("198.18.0.1", 8080)
                self.tasks.append(asyncio.ensure_future(callers.run_caller(route, pause, long_flow, self.counts)))

    async def stop_traffic(self):
        self.stopping = True
        await asyncio.sleep(0.3)
        for t in self.tasks:
            t.cancel()
