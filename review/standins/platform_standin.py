"""Stand-ins of the users' platform for the review's scripts: store, routers, servers and requesters.

They follow PROTOCOL.md on loopback addresses and the real clock. The hosts under test are separate processes that
are started with the command and the settings template of deploy/system.toml. The stand-ins judge only what
requesters, servers and the operator see.
"""

import asyncio
import base64
import collections
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("<IIHBBIIHIHI")  # seq ack len flags pad echo sum dport src sport dst
SYN, FIN, ACK, BOUNCED, RST = 2, 16, 32, 64, 128
MASK = 0xFFFFFFFF
SYN_COPIES_S = (0.2, 0.6)
SYN_LIMIT_S = 1.4
RETRANSMIT_FIRST_S, RETRANSMIT_MAX_S, SERVER_RETRANSMISSIONS = 0.2, 1.6, 8
RESET_WINDOW = 76_800
HEARTBEAT_S = 1.2
IDLE_TIMEOUT_MS = 15_000
COLD_FACTOR = 1.6  # of the time that a request takes at a cold server
BOUNDS = {"drainTimeoutMs": 3000, "configApplyMs": 3000, "evacuateMs": 5000, "contactMs": 4000,
          "flowLifetimeS": 60, "flowReorderMs": 2000, "warmupOverage": 1.5, "warmupSlack": 5, "gracePeriodS": 6}


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    __slots__ = ("seq", "ack", "flags", "echo", "sum", "dport", "src", "sport", "dst", "data")

    def __init__(self, seq, ack, flags, echo, dport, src, sport, dst, data=b"", total=0):
        self.seq, self.ack, self.flags, self.echo = seq & MASK, ack & MASK, flags, echo
        self.dport, self.src, self.sport, self.dst, self.data, self.sum = dport, src, sport, dst, data, total

    def key(self):
        return (self.src, self.sport, self.dst, self.dport)

    def checksum(self):
        head = HEADER.pack(self.seq, self.ack, len(self.data), self.flags & ~BOUNCED, 0, 0, 0, self.dport, self.src,
                           self.sport, self.dst)
        return zlib.crc32(b"review key" + head + self.data) or 1

    def encode(self):
        self.sum = self.checksum()
        return HEADER.pack(self.seq, self.ack, len(self.data), self.flags, 0, self.echo, self.sum, self.dport,
                           self.src, self.sport, self.dst) + self.data

    @staticmethod
    def decode(text):
        seq, ack, size, flags, _, echo, total, dport, src, sport, dst = HEADER.unpack_from(text)
        return Packet(seq, ack, flags, echo, dport, src, sport, dst, bytes(text[HEADER.size:HEADER.size + size]), total)


class Receiver(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, addr):
        self.receive(data, addr)

    def error_received(self, exc):
        pass  # nobody listens at the target; the sender retransmits


async def open_udp(ip, port, receive):
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.setblocking(False)
    sock.bind((ip, port))
    transport, _ = await loop.create_datagram_endpoint(lambda: Receiver(receive), sock=sock)
    return transport


class Store:
    """The key-value service: linearizable, nothing lost, one revision counter."""

    PAGE_ITEMS = 50

    def __init__(self, world):
        self.world = world
        self.items = {}  # key -> (value, revision, created)
        self.revision = 1
        self.leases = {}  # id -> [end, keys, ttl in ms]
        self.last_lease = 0
        self.calls = collections.Counter()
        self.clients = set()
        self.silent = False  # down: calls get no answer

    async def outage(self, seconds):
        """The store is down and silent. Calls of this time are not carried out."""
        self.silent = True
        self.world.unplanned(seconds)
        await asyncio.sleep(seconds)
        self.silent = False
        for client in list(self.clients):
            client.transport.abort()

    def put(self, key, value):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)
        return time.monotonic()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
        return time.monotonic()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        self.clients.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                length = next((int(x.split(":", 1)[1]) for x in lines[1:] if x.lower().startswith("content-length:")), 0)
                body = await reader.readexactly(length)
                await asyncio.sleep(0.004)
                if self.silent:
                    await asyncio.sleep(3600)
                request = re.fullmatch(r"(\S+) (\S+) HTTP/1\.1", lines[0])
                if request:
                    status, answer = self.answer(request[1], request[2], body)
                else:  # RFC 9112, 3: a server that gets an invalid request line should answer with 400
                    status, answer = 400, {"error": "invalid request line"}
                self.calls[f"{status} {lines[0][:60]}"] += 1
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}"
                             "\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the client has closed the connection, or the run ends
        finally:
            self.clients.discard(writer)
            writer.close()

    def item(self, key):
        value, revision, created = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "leaseId": 0}

    def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        for lease in [i for i, (end, _, _) in self.leases.items() if end <= time.monotonic()]:
            for key in self.leases.pop(lease)[1]:
                self.remove(key)
        if method == "GET" and url.path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = keys[:self.PAGE_ITEMS]
            return 200, {"items": [self.item(k) for k in page], "hasMore": len(keys) > len(page),
                         "asOf": self.revision}
        if method == "POST" and url.path == "/-/kv-lease":
            self.last_lease += 1
            ttl = json.loads(body)["ttlMs"]
            self.leases[self.last_lease] = [time.monotonic() + ttl / 1000, set(), ttl]
            return 200, {"leaseId": self.last_lease, "ttlMs": ttl}
        if method == "POST" and url.path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(url.path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {"error": "no such lease"}
            lease[0] = time.monotonic() + lease[2] / 1000
            return 200, {"ttlMs": lease[2]}
        if method == "POST" and url.path == "/-/kv-txn":
            call = json.loads(body)
            if any(p["leaseId"] and p["leaseId"] not in self.leases for p in call["puts"]):
                return 404, {"error": "no such lease"}
            for p in call["puts"]:
                if p["leaseId"]:
                    self.leases[p["leaseId"]][1].add(p["key"])
                self.put(p["key"], base64.b64decode(p["value"]))
            for key in call["remove"]:
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {"error": "no such call"}


class ServerFlow:
    __slots__ = ("own_seq", "next_seq", "sent", "echo", "state", "answers", "timer", "tries", "unacked", "packet")

    def __init__(self, packet):
        self.own_seq = random.getrandbits(32)
        self.next_seq = (packet.seq + 1) & MASK  # of the requester
        self.sent = 0  # bytes of answers
        self.echo = packet.echo
        self.state = "half"
        self.answers = {}  # sequence of a request -> its answer, or None while it runs
        self.timer = None
        self.tries = 0
        self.unacked = None
        self.packet = packet


class Server:
    """One server: registers itself in the store, holds flows and runs requests in its slots."""

    def __init__(self, world, number, zone, service, ip, slots=3, queue=12):
        self.world, self.zone, self.service, self.ip = world, zone, service, ip
        self.id = f"i-{0x5A000000 + number * 7919:08x}"
        self.number = int(self.id[2:], 16)
        self.slots, self.queue_limit = slots, queue
        self.busy, self.queue = 0, collections.deque()
        self.flows = {}
        self.ended = set()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cold_until = self.cold_written = 0.0
        self.alive = True
        self.leaving_since = None

    async def start(self):
        self.udp = await open_udp(self.ip, self.world.server_port, self.receive)
        self.tcp = await asyncio.start_server(self.health, self.ip, self.world.server_port)
        self.check_in()

    async def health(self, reader, writer):
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            if head:
                status = 200 if self.state == "ready" else 503
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def cold_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def check_in(self):
        """Writes the entry; it changes in the store when more than its sequence changes. The time that passes is no
        change of the warm-up: the entry says how much was left when it was written."""
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.ip}:{self.world.server_port}", "zone": self.zone,
                 "version": "v1", "maxConcurrency": self.slots, "state": self.state,
                 "warmupLeftMs": self.cold_left_ms(), "sequence": self.sequence, "born": self.born}
        key = f"servers/{self.id}"
        old = self.world.store.items.get(key)
        if old is not None and self.is_cold() and self.cold_until == self.cold_written:
            entry["warmupLeftMs"] = json.loads(old[0])["warmupLeftMs"]
        self.cold_written = self.cold_until
        changed = old is None or {**json.loads(old[0]), "sequence": 0} != {**entry, "sequence": 0}
        if changed and not self.world.store.silent:
            self.world.store.put(key, json.dumps(entry).encode())
        return time.monotonic()

    def turn_cold(self, seconds):
        self.cold_until = time.monotonic() + seconds
        return self.check_in()

    async def start_again(self, cold_s, after_s=0.3):
        """Ends the process and starts it again under its id; it holds nothing of before."""
        self.alive = False
        self.udp.close()
        self.tcp.close()
        for key, flow in list(self.flows.items()):
            self.end(key, flow)
        self.ended.clear()
        self.queue.clear()
        self.busy = 0
        await asyncio.sleep(after_s)
        self.alive, self.born, self.sequence = True, int(time.time() * 1000), 0
        self.state, self.leaving_since = "ready", None
        self.cold_until = time.monotonic() + cold_s
        await self.start()

    def drain(self):
        self.state = "draining"
        self.leaving_since = self.check_in()

    async def leave(self):
        """Ends the process and removes its entry."""
        self.alive = False
        self.udp.close()
        self.tcp.close()
        self.world.store.remove(f"servers/{self.id}")

    def is_cold(self):
        return time.monotonic() < self.cold_until

    def send(self, flow, flags, seq, data=b""):
        p = flow.packet
        out = Packet(seq, flow.next_seq, flags, flow.echo, p.sport, p.dst, p.dport, p.src, data)
        self.udp.sendto(out.encode(), (ip_text(p.src), self.world.packet_port))

    def reset(self, p):
        out = Packet(p.ack, 0, RST, p.echo, p.sport, p.dst, p.dport, p.src)
        self.udp.sendto(out.encode(), (ip_text(p.src), self.world.packet_port))
        self.world.log("server_reset", server=self.id, flow=p.key())

    def receive(self, text, _):
        if not self.alive or self.world.lose():
            return
        if int.from_bytes(text[:8], "big") not in (0, self.number):
            return
        p = Packet.decode(text[8:])
        if p.sum != p.checksum():
            self.world.violation("UNASKED", f"{self.id} got a packet that its sender did not write so")
            return
        key = p.key()
        self.world.packet_at(self, key, p)
        flow = self.flows.get(key)
        if p.flags & SYN:
            self.on_syn(key, flow, p)
        elif flow is None:
            if p.flags & RST:
                return
            if p.flags & FIN and key in self.ended:
                out = Packet(p.ack, p.seq + 1, ACK, p.echo, p.sport, p.dst, p.dport, p.src)
                self.udp.sendto(out.encode(), (ip_text(p.src), self.world.packet_port))
            elif key not in self.ended or p.data:
                self.reset(p)
        else:
            self.on_packet(key, flow, p)

    def on_syn(self, key, flow, p):
        if p.flags & (ACK | RST | FIN):
            return
        if flow is None:
            if len(self.flows) >= 2000 or len(self.queue) >= self.queue_limit:
                self.world.log("syn_full", server=self.id, flow=key)
                return
            flow = self.flows[key] = ServerFlow(p)
            self.ended.discard(key)
            self.world.opening_taken(self, key)
        flow.echo = p.echo
        if flow.state == "half":
            self.send_syn_ack(key, flow)

    def send_syn_ack(self, key, flow):
        self.send(flow, SYN | ACK, flow.own_seq)
        if flow.timer is None:
            self.arm(key, flow, lambda: self.send(flow, SYN | ACK, flow.own_seq))

    def arm(self, key, flow, transmit):
        """Retransmits after 200 ms, doubling up to 1.6 s; gives the flow up after 8 retransmissions."""
        wait = min(RETRANSMIT_FIRST_S * 2 ** flow.tries, RETRANSMIT_MAX_S)

        def fire():
            if self.flows.get(key) is not flow or not self.alive:
                return
            if flow.tries >= SERVER_RETRANSMISSIONS:
                self.end(key, flow)
                return
            flow.tries += 1
            transmit()
            self.arm(key, flow, transmit)

        flow.timer = asyncio.get_running_loop().call_later(wait, fire)

    def disarm(self, flow):
        if flow.timer:
            flow.timer.cancel()
        flow.timer, flow.tries, flow.unacked = None, 0, None

    def end(self, key, flow):
        self.disarm(flow)
        if self.flows.get(key) is flow:
            del self.flows[key]
            self.ended.add(key)
        if flow.state == "open":
            self.world.flow_ended(self, key)
        flow.state = "ended"

    def on_packet(self, key, flow, p):
        if flow.state == "half":
            if p.flags & RST:
                self.end(key, flow)
                return
            if p.ack != (flow.own_seq + 1) & MASK:
                # The requester has opened the flow at another server: this one does not hold it.
                self.reset(p)
                return
            flow.state = "open"
            self.disarm(flow)
            self.world.flow_opened(self, key)
        flow.echo = p.echo
        if p.flags & RST:
            self.end(key, flow)
            return
        if flow.unacked is not None and p.ack == flow.unacked:
            self.disarm(flow)
        if p.data:
            self.on_data(key, flow, p)
        if p.flags & FIN:
            flow.next_seq = (p.seq + len(p.data) + 1) & MASK
            self.send(flow, ACK | FIN, flow.own_seq + 1 + flow.sent)
            self.end(key, flow)

    def on_data(self, key, flow, p):
        if p.seq in flow.answers:
            if flow.answers[p.seq] is not None:
                seq, data = flow.answers[p.seq]
                self.send(flow, ACK, seq, data)
            else:
                self.send(flow, ACK, flow.own_seq + 1 + flow.sent)
            return
        if p.seq != flow.next_seq:
            return
        flow.next_seq = (p.seq + len(p.data)) & MASK
        flow.answers[p.seq] = None
        match = re.search(rb"Chivelever-Request-Id: (\S+)", p.data)
        request = match[1].decode() if match else ""
        if self.busy < self.slots:
            self.run(key, flow, p.seq, request)
        elif len(self.queue) < self.queue_limit:
            self.queue.append((key, flow, p.seq, request))
        else:
            self.answer(key, flow, p.seq, request, 503)

    def run(self, key, flow, seq, request):
        self.busy += 1
        self.world.ran(self, request, key)
        work = self.world.work_s()
        if self.is_cold():
            work *= COLD_FACTOR
        asyncio.get_running_loop().call_later(work, self.finish, self.born, key, flow, seq, request)

    def finish(self, born, key, flow, seq, request):
        if born != self.born:
            return  # the process has ended since
        self.busy -= 1
        if self.alive and self.flows.get(key) is flow:
            self.answer(key, flow, seq, request, 200)
        while self.queue and self.busy < self.slots:
            key, flow, seq, request = self.queue.popleft()
            if self.flows.get(key) is flow:
                self.run(key, flow, seq, request)

    def answer(self, key, flow, seq, request, status):
        body = f"{request} {self.service}"
        extra = "Chivelever-Server-Signature: s\r\n" if status == 200 else "Chivelever-Not-Executed: 1\r\n"
        data = f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n{body}".encode()
        at = (flow.own_seq + 1 + flow.sent) & MASK
        flow.answers[seq] = (at, data)
        flow.sent += len(data)
        self.disarm(flow)
        flow.unacked = (at + len(data)) & MASK
        self.send(flow, ACK, at, data)
        self.arm(key, flow, lambda: self.send(flow, ACK, at, data))


class Router:
    """The platform's routers of one zone: status checks twice a second, steady hashing over the ready hosts."""

    def __init__(self, world, zone, hosts):
        self.world, self.zone, self.hosts = world, zone, list(hosts)
        self.misses = {h: 0 for h in hosts}
        self.version = 0

    async def check(self, host):
        while not self.world.ended:
            started = time.monotonic()
            ok = False
            try:
                async with asyncio.timeout(0.45):
                    reader, writer = await asyncio.open_connection(host, self.world.ready_port)
                    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    ok = b" 200 " in await reader.readline()
                    writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            before = self.misses[host] < 2
            self.misses[host] = 0 if ok else self.misses[host] + 1
            if before != (self.misses[host] < 2):
                self.version += 1
                self.world.log("rotation", host=host, state="in" if self.misses[host] < 2 else "out")
            await asyncio.sleep(max(0.05, 0.5 - (time.monotonic() - started)))

    def select(self, key):
        ready = [h for h in self.hosts if self.misses[h] < 2]
        if len(ready) * 2 < len(self.hosts):
            ready = self.hosts
        return max(ready, key=lambda h: zlib.crc32(f"{h} {key}".encode()))


class RequesterFlow:
    """One flow of a requester. `echo` is the last one received on the flow."""

    def __init__(self, requester, port, route):
        self.requester, self.port, self.route = requester, port, route
        self.world = requester.world
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.state = "new"
        self.peer_seq = None
        self.waiter = None
        self.key = (ip_number(requester.ip), port, ip_number(route[0]), route[1])
        self.routed = (-1, None)

    def transmit(self, flags, data=b"", seq=None, ack=None):
        p = Packet(self.seq if seq is None else seq, self.ack if ack is None else ack, flags, self.echo, self.route[1],
                   self.key[0], self.port, self.key[2], data)
        router = self.requester.router
        if self.routed[0] != router.version:
            self.routed = (router.version, router.select(self.key))
        self.requester.udp.sendto(p.encode(), (self.routed[1], self.world.packet_port))

    async def wait(self, seconds):
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(self.waiter, max(0.001, seconds))
        except asyncio.TimeoutError:
            return None
        finally:
            self.waiter = None

    def wake(self, event):
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(event)

    def receive(self, p, source):
        if p.flags & RST:
            in_window = abs(((p.seq - self.ack + 2 ** 31) & MASK) - 2 ** 31) <= RESET_WINDOW
            if self.state == "open" and not in_window:
                return
            if self.state == "open":
                self.world.reset_received(self, p, source)
            self.state = "reset"
            self.wake("reset")
            return
        self.echo = p.echo
        if p.flags & SYN:
            if self.state == "opening":
                self.state, self.peer_seq, self.ack = "open", p.seq, (p.seq + 1) & MASK
                self.seq = (self.seq + 1) & MASK
                self.transmit(ACK)
                self.wake("open")
            elif self.state == "open" and p.seq == self.peer_seq:
                self.transmit(ACK)
            return
        if self.state != "open":
            return
        if p.data:
            if p.seq == self.ack:
                self.ack = (self.ack + len(p.data)) & MASK
                self.wake(p.data)
            self.transmit(ACK)

    async def open(self):
        started = time.monotonic()
        self.state = "opening"
        for copy, until in enumerate((*SYN_COPIES_S, SYN_LIMIT_S)):
            self.transmit(SYN, ack=copy)
            self.world.syn_sent.setdefault(self.key, time.monotonic())
            event = await self.wait(started + until - time.monotonic())
            if event is not None:
                return event
            if self.state != "opening":
                return self.state
        return "silent"

    async def request(self, request, limit):
        """Returns the answer's bytes, `reset` or None."""
        data = f"POST / HTTP/1.1\r\nHost: x\r\nChivelever-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n".encode()
        end, wait = time.monotonic() + limit, RETRANSMIT_FIRST_S
        seq = self.seq
        self.seq = (self.seq + len(data)) & MASK
        while time.monotonic() < end:
            if self.state != "open":
                return "reset"
            self.transmit(ACK, data, seq=seq)
            event = await self.wait(min(end - time.monotonic(), wait))
            if event is not None:
                return event
            wait = min(2 * wait, RETRANSMIT_MAX_S)
        return None

    def close(self):
        if self.state == "open":
            self.transmit(ACK | FIN)
            self.state = "closed"
        self.requester.flows.pop(self.port, None)


class Requester:
    """The requesters of one zone, behind one address."""

    def __init__(self, world, zone, ip, router):
        self.world, self.zone, self.ip, self.router = world, zone, ip, router
        self.flows = {}
        self.last_port = 1023

    async def start(self):
        self.udp = await open_udp(self.ip, self.world.packet_port, self.receive)

    def receive(self, text, addr):
        if self.world.lose():
            return
        p = Packet.decode(text)
        flow = self.flows.get(p.dport)
        if flow is None:
            return
        if not (p.flags & RST and p.sum == 0) and p.sum != p.checksum():
            self.world.violation("MIXED", "a requester got a packet that its sender did not write so")
            return
        flow.receive(p, addr[0])

    def new_flow(self, route):
        self.last_port = 1024 + (self.last_port - 1023) % 60000
        flow = self.flows[self.last_port] = RequesterFlow(self, self.last_port, route)
        return flow

    async def attempt(self, flow, route, limit):
        """One attempt of a request, on an open flow or on a new one. Returns (outcome, flow or None)."""
        request = f"{random.getrandbits(64):016x}"
        if flow is None:
            flow = self.new_flow(route)
            self.world.log("sent", request=request, flow=flow.key)
            opened = await flow.open()
            if opened != "open":
                flow.close()
                self.world.log("not_opened", request=request, flow=flow.key, why=opened)
                return "not opened", None
        else:
            self.world.log("sent", request=request, flow=flow.key)
        event = await flow.request(request, limit)
        if isinstance(event, bytes):
            if b" 200 " in event.split(b"\r\n", 1)[0]:
                if event.rsplit(b"\r\n\r\n", 1)[1].split(b" ")[0].decode() != request:
                    self.world.violation("MIXED", f"{request} got the answer of another request")
                self.world.log("answered", request=request, flow=flow.key)
                return "ok", flow
            flow.close()
            self.world.log("not_executed", request=request, flow=flow.key)
            return "not executed", None
        outcome = "reset" if event == "reset" else "unanswered"
        flow.close()
        self.world.log(outcome, request=request, flow=flow.key)
        return outcome, None

    async def one_shot(self, route, limit, repeatable):
        """A request with a flow of its own and two retries. Only `repeatable` ones are retried after the flow opened."""
        end = time.monotonic() + limit
        for _ in range(3):
            outcome, flow = await self.attempt(None, route, end - time.monotonic())
            if flow is not None:
                flow.close()
            if outcome == "ok" or time.monotonic() >= end:
                break
            if not repeatable and outcome not in ("not opened", "not executed"):
                break
        self.world.outcomes[outcome] += 1

    async def long_lived(self, route, limit, pause_s, requests):
        """A user who keeps flows open for many requests, with pauses between them."""
        flow, left = None, 0
        while not self.world.stopping:
            await asyncio.sleep(random.expovariate(1 / pause_s))
            if flow is None or left <= 0 or flow.state != "open" or flow.port not in self.flows:
                if flow is not None:
                    flow.close()
                flow, left = None, max(2, int(random.expovariate(1 / requests)))
            outcome, flow = await self.attempt(flow, route, limit)
            left -= 1
            self.world.outcomes[outcome] += 1


class Host:
    """One process under test."""

    def __init__(self, world, zone, number, ip):
        self.world, self.zone, self.ip = world, zone, ip
        self.name = f"edge-{zone}-{number}"
        self.settings = world.folder / f"{self.name}.ini"
        self.process = None

    def start(self):
        self.settings.write_text(self.world.settings(self))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["CHIVELEVER_CONFIG"] = str(self.settings)
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(self.world.command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.world.log("host_started", host=self.name, pid=self.process.pid)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def restart(self):
        """A planned restart: SIGTERM, SIGKILL after the grace period, and a start after a short delay."""
        self.process.send_signal(signal.SIGTERM)
        self.world.log("sigterm", host=self.name)
        end = time.monotonic() + BOUNDS["gracePeriodS"]
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        self.kill()
        self.world.log("host_ended", host=self.name)
        await asyncio.sleep(0.3)
        self.start()


class World:
    def __init__(self, record, seed):
        random.seed(seed)
        self.record = Path(record)
        self.temporary = tempfile.TemporaryDirectory(prefix="chivelever-review-")
        self.folder = Path(self.temporary.name)
        self.started = time.monotonic()
        self.lines, self.violations = [], []
        self.outcomes, self.counts = collections.Counter(), collections.Counter()
        self.stopping = self.ended = False
        self.loss = 0.0
        self.unplanned_until = float("-inf")  # contactMs after the end of the last unplanned impairment
        self.warmup_per_s = 4.0
        self.hosts, self.servers, self.routers, self.requesters, self.tasks = [], [], {}, {}, []
        self.syn_sent, self.owners, self.astray, self.run_count = {}, {}, {}, collections.Counter()
        self.flow_times = {}  # open flow -> (opened, last packet at its server)
        self.store = Store(self)
        self.choose_ports()
        self.command = self.deploy_command()
        self.version = 0

    def choose_ports(self):
        for _ in range(50):
            base = random.SystemRandom().randrange(20000, 32000, 16)
            if all(self.is_free(base + i) for i in range(8)):
                (self.packet_port, self.ready_port, self.peer_port, self.store_port, self.server_port,
                 self.metrics_port) = range(base, base + 6)
                return
        raise RuntimeError("no free ports")

    @staticmethod
    def is_free(port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as s:
                try:
                    s.bind(("0.0.0.0", port))
                except OSError:
                    return False
        return True

    def deploy_command(self):
        """The `run` line of the deploy file, with a free port for the metrics."""
        with open(ROOT / "deploy/system.toml", "rb") as f:
            self.role = tomllib.load(f)["roles"]["balancer"]
        words = self.role["run"].split()
        if not (ROOT / words[0]).exists():
            raise RuntimeError(f"{words[0]} has not been built")
        return [str(ROOT / words[0])] + [str(self.metrics_port) if w == "9464" else w for w in words[1:]]

    def settings(self, host):
        seeds = [f"{next(h for h in self.hosts if h.zone == z).ip}:{self.peer_port}" for z in self.routers]
        values = {"nodeName": host.name, "zone": host.zone, "ip": host.ip,
                  "internalPortRange": f"{self.peer_port},{self.peer_port}", "seeds": ",".join(seeds),
                  "bootstrap": "false", "listenAddrs.datagramAddr": f"{host.ip}:{self.packet_port}",
                  "listenAddrs.readyAddr": f"{host.ip}:{self.ready_port}",
                  "platform.address": f"{self.store_ip}:{self.store_port}",
                  **{f"bounds.{k}": str(v) for k, v in BOUNDS.items()}}
        text = (ROOT / self.role["template"]).read_text()
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: values[m[1]], text)

    def log(self, event, **fields):
        text = " ".join(f"{k}={self.flow_text(v) if k == 'flow' else v}" for k, v in fields.items())
        self.lines.append(f"{time.monotonic() - self.started:9.3f} {event} {text}")

    @staticmethod
    def flow_text(key):
        return f"{ip_text(key[0])}:{key[1]}>{ip_text(key[2])}:{key[3]}"

    def violation(self, rule, detail):
        self.violations.append((time.monotonic() - self.started, rule, detail))
        self.log("VIOLATION", rule=rule, detail=detail)

    def lose(self):
        return self.loss > 0 and random.random() < self.loss

    @staticmethod
    def work_s():
        return min(0.24, max(0.01, random.gauss(0.04, 0.02)))

    def unplanned(self, seconds=0.0):
        """Records an unplanned impairment. For contactMs after it, rules that excuse it are not judged."""
        self.unplanned_until = max(self.unplanned_until, time.monotonic() + seconds + BOUNDS["contactMs"] / 1000)

    def is_excused(self):
        return time.monotonic() < self.unplanned_until

    def counts_for_flow(self, key):
        """Whether rule FLOW holds for an open flow: not after flowLifetimeS or idleTimeoutMs, nor under unplanned
        impairment, which here is always of hosts or the store. No configuration of the cases drops a route."""
        opened, used = self.flow_times[key]
        now = time.monotonic()
        return (now - opened <= BOUNDS["flowLifetimeS"] and now - used <= IDLE_TIMEOUT_MS / 1000 and
                not self.is_excused())

    # What servers and requesters see. Cases override or extend these.
    def packet_at(self, server, key, p):
        """Rule FLOW (b): for 2 s three or more packets of an open flow reach other servers and none its own."""
        owner = self.owners.get(key)
        if owner is None or p.flags & (SYN | RST):
            return
        if owner is server:
            self.astray.pop(key, None)
            self.flow_times[key] = (self.flow_times[key][0], time.monotonic())
            return
        if not owner.alive or not self.counts_for_flow(key):
            self.astray.pop(key, None)
            return
        times = self.astray.setdefault(key, [])
        times.append(time.monotonic())
        if len(times) >= 3 and times[-1] - times[0] >= BOUNDS["flowReorderMs"] / 1000:
            self.violation("FLOW", f"(b) {len(times)} packets of {self.flow_text(key)} reached other servers")
            self.astray.pop(key)

    def opening_taken(self, server, key):
        self.log("opening", server=server.id, flow=key)

    def flow_opened(self, server, key):
        self.owners[key] = server
        self.flow_times[key] = (time.monotonic(), time.monotonic())
        self.log("opened", server=server.id, flow=key)

    def flow_ended(self, server, key):
        if self.owners.get(key) is server:
            del self.owners[key], self.flow_times[key]
            self.astray.pop(key, None)

    def reset_received(self, flow, p, source):
        """Rule FLOW (a): a reset of an open flow that the flow's server did not send."""
        owner = self.owners.get(flow.key)
        sender = "the system" if p.sum == 0 else source
        self.log("reset_received", flow=flow.key, sender=sender)
        if owner is not None and owner.alive and source != owner.ip and self.counts_for_flow(flow.key):
            self.violation("FLOW", f"(a) {self.flow_text(flow.key)}, open at {owner.id}, was reset by {sender}")

    def ran(self, server, request, key):
        self.run_count[request] += 1
        self.log("run", request=request, server=server.id, flow=key)
        if self.run_count[request] > 1:
            self.violation("Words", f"{request} ran twice; all requests here have an id of their own")

    # Set-up and end.
    async def build(self, hosts, servers, service="bookings"):
        """`hosts` and `servers` give the number in each zone."""
        self.zones = list(hosts)
        self.service = service
        self.store_ip = "127.60.0.1"
        await self.store.start(self.store_ip, self.store_port)
        number = 0
        for i, zone in enumerate(hosts):
            zone_hosts = [Host(self, zone, n + 1, f"127.{61 + i}.0.{n + 1}") for n in range(hosts[zone])]
            self.hosts += zone_hosts
            self.routers[zone] = Router(self, zone, [h.ip for h in zone_hosts])
            for n in range(servers[zone]):
                number += 1
                await self.add_server(number, zone, f"127.{61 + i}.1.{n + 1}")
            self.requesters[zone] = Requester(self, zone, f"127.{61 + i}.2.1", self.routers[zone])
            await self.requesters[zone].start()
        self.tasks.append(asyncio.ensure_future(self.heartbeats()))

    async def add_server(self, number, zone, ip):
        server = Server(self, number, zone, self.service, ip)
        self.servers.append(server)
        await server.start()
        return server

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for s in self.servers:
                if s.alive:
                    s.check_in()

    def configure(self, routes, warmup_s=2.0):
        """`routes`: (host, port) -> service."""
        self.version += random.randint(1, 5)
        names = sorted(set(routes.values()))
        config = {"version": self.version, "routes": [
            {"name": f"r-{i}", "host": h, "prefix": f"/{p}/", "type": "idempotent", "timeoutMs": 3000,
             "targetLatencyMs": 200, "priority": 1, "service": s, "attempts": 2}
            for i, ((h, p), s) in enumerate(routes.items())], "services": [
            {"name": s, "healthCheck": "/health", "maxConnections": 2000, "protocol": "h1", "tls": False,
             "warmupS": warmup_s, "warmupPerS": self.warmup_per_s} for s in names],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": IDLE_TIMEOUT_MS}}
        return self.store.put("op/config", json.dumps(config).encode())

    async def start_hosts(self, limit_s=15):
        for h in self.hosts:
            h.start()
        for r in self.routers.values():
            self.tasks += [asyncio.ensure_future(r.check(h)) for h in r.hosts]
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            await asyncio.sleep(0.2)
            if all(await asyncio.gather(*[self.is_ready(h) for h in self.hosts])):
                return
        raise RuntimeError("the hosts are not ready")

    async def is_ready(self, host):
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(host.ip, self.ready_port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def every(self, per_s, make):
        """Starts `make()` at random times, `per_s` times a second on average, until the traffic stops."""

        async def loop():
            due = time.monotonic()
            while not self.stopping:
                due += random.expovariate(per_s)
                await asyncio.sleep(max(0, due - time.monotonic()))
                task = asyncio.ensure_future(make())
                self.tasks.append(task)

        self.tasks.append(asyncio.ensure_future(loop()))

    def at(self):
        return time.monotonic() - self.started

    async def finish(self):
        self.stopping = self.ended = True
        for t in self.tasks:
            t.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for h in self.hosts:
            h.kill()

    def write_record(self, summary):
        text = "\n".join(self.lines + ["", *summary]) + "\n"
        self.record.write_text(text)
        print("\n".join(summary))


def main(record, scenario, seed=None):
    """Runs `scenario(world, trouble)`, which returns the lines of the summary, writes the file `record`, and exits with
    0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", seed if seed is not None else random.SystemRandom().randrange(10 ** 6)))

    async def run():
        world = World(record, seed)
        try:
            async with asyncio.timeout(115):
                summary = await scenario(world, trouble)
            # Rule Fault counts only processes that end three times, on a tenth of the machines.
            ended = [h.name for h in world.hosts if h.process.poll() is not None]
            if ended:
                summary = [*summary, f"processes that ended by themselves: {ended}"]
        finally:
            await world.finish()
        counts = collections.Counter(rule for _, rule, _ in world.violations)
        summary = [f"seed {seed}, trouble {'on' if trouble else 'off'}", *summary,
                   f"outcomes of requests: {dict(sorted(world.outcomes.items()))}",
                   *[f"{t:.3f} {rule}: {detail}" for t, rule, detail in world.violations[:12]],
                   f"broken rules: {dict(counts) if counts else 'none'}"]
        world.write_record(summary)
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(world.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        return 1 if counts else 0

    try:
        code = asyncio.run(run())
    except Exception as e:  # noqa: BLE001  the case could not run
        print(f"the case could not run: {type(e).__name__}: {e}", file=sys.stderr)
        code = 2
    sys.exit(code)
