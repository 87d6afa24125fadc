"""Deployments on loopback addresses: layout, generated files and processes. Used by scripts/deployment,
scripts/demo, scripts/moves and scripts/local."""

import json
import os
import secrets
import signal
import subprocess
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build", "release")

CONNECTIONS = 2000  # limit of each upstream
STOP_LIMIT_S = 15  # a graceful shutdown completes requests of at most 1.5 s and hands over pools
LIST_LAG_S = 3  # delay until a change shows in the platform's host list

# zones: name -> number of hosts; services: name -> number of upstreams
DEPLOYMENTS = {
    "rangatira": {
        "octet": 1,
        "zones": {"akl": 3, "wlg": 3, "chc": 3},
        "services": {"order_desk": 14, "bulk_intake": 4},
        "slots": 3,
    },
    "guild": {
        "octet": 2,
        "zones": {"regina": 3, "saskatoon": 2, "winnipeg": 2, "brandon": 2},
        "services": {"catalogue": 14, "plate_archive": 4},
        "slots": 2,
    },
}

# Offsets of ports from the base.
PACKET, PEER, GRPC, ADMIN, UPSTREAM, FABRIC, FABRIC_CONTROL = range(7)
STORE, UPSTREAM_CONTROL, RELAY_CONTROL = range(7, 10)
# Third byte of an address: the zone number or one of these.
PLATFORM_ZONE = 0
RELAY_FROM_ZONE = 100  # plus zone number: relay addresses by which hosts of the zone reach other zones
RELAY_TO_UPSTREAMS = 200
# Fourth byte of an address.
UPSTREAM_BYTE_BASE = 100  # plus upstream number
STORE_BYTE = 250


class Host:
    def __init__(self, number, name, zone, zone_name, address):
        self.id, self.name, self.zone, self.zone_name = number, name, zone, zone_name
        self.address = address


class Upstream:
    def __init__(self, number, name, service, zone, address):
        self.id, self.name, self.service, self.zone = number, name, service, zone
        self.address = address


class Deployment:
    """Layout of one deployment. With `relay`, traffic between zones passes through the relay stand-in,
    which can partition zones."""

    def __init__(self, name, port_base=7000, relay=False):
        layout = DEPLOYMENTS[name]
        self.name, self.base, self.relay = name, port_base, relay
        self.octet, self.slots = layout["octet"], layout["slots"]
        self.zones = {i + 1: zone for i, zone in enumerate(layout["zones"])}
        self.services = {i + 1: service for i, service in enumerate(layout["services"])}
        self.hosts, self.upstreams = [], []
        for zone, zone_name in self.zones.items():
            for n in range(1, layout["zones"][zone_name] + 1):
                self.hosts.append(Host(len(self.hosts) + 1, f"{zone_name}{n}", zone, zone_name,
                                       self.ip(zone, n)))
        next_zone_index = 0
        for service, service_name in self.services.items():
            for n in range(1, layout["services"][service_name] + 1):
                zone = next_zone_index % len(self.zones) + 1
                next_zone_index += 1
                number = len(self.upstreams) + 1
                self.upstreams.append(Upstream(number, f"{service_name}-{n}", service, zone,
                                               self.ip(zone, UPSTREAM_BYTE_BASE + number)))

    def ip(self, zone, n):
        return f"127.{self.octet}.{zone}.{n}"

    def endpoint(self, address, offset):
        return f"{address}:{self.base + offset}"

    def host(self, name):
        for host in self.hosts:
            if host.name == name:
                return host
        raise SystemExit(f"no host {name}; hosts: {' '.join(h.name for h in self.hosts)}")

    def zone_number(self, name):
        for number, zone in self.zones.items():
            if zone == name:
                return number
        raise SystemExit(f"no zone {name}; zones: {' '.join(self.zones.values())}")

    @property
    def store(self):
        return self.endpoint(self.ip(PLATFORM_ZONE, 2), STORE)

    @property
    def fabric(self):
        return self.endpoint(self.ip(PLATFORM_ZONE, 1), FABRIC)

    @property
    def fabric_control(self):
        return self.endpoint(self.ip(PLATFORM_ZONE, 1), FABRIC_CONTROL)

    @property
    def upstream_control(self):
        return self.endpoint(self.ip(PLATFORM_ZONE, 3), UPSTREAM_CONTROL)

    @property
    def relay_control(self):
        return self.endpoint(self.ip(PLATFORM_ZONE, 4), RELAY_CONTROL)

    def store_endpoint_from(self, zone):
        return self.endpoint(self.ip(RELAY_FROM_ZONE + zone, STORE_BYTE), STORE) if self.relay else self.store

    def host_address_from(self, host, zone):
        crosses = self.relay and host.zone != zone
        return self.ip(RELAY_FROM_ZONE + zone, host.id) if crosses else host.address

    def upstream_endpoint(self, u):
        """The endpoint in the configuration. All zones share it, so with a relay it is an address of the
        relay, which derives the sender's zone from the source address."""
        address = self.ip(RELAY_TO_UPSTREAMS, u.id) if self.relay else u.address
        return self.endpoint(address, UPSTREAM)

    def settings(self, host, secret_file, token_file, severity):
        lines = [
            "[host]", f"id = {host.id}", f"name = {host.name}", f"zone = {host.zone}",
            f"zone_name = {host.zone_name}",
            f"packet_listen = {self.endpoint(host.address, PACKET)}",
            f"peer_listen = {self.endpoint(host.address, PEER)}",
            f"grpc_listen = {self.endpoint(host.address, GRPC)}",
            f"admin_listen = {self.endpoint(host.address, ADMIN)}", "",
            "[cluster]", f"secret_file = {secret_file}", f"deployment = {self.name}", "",
            "[platform]", f"store = {self.store_endpoint_from(host.zone)}", "",
            "[operators]", f"token_file = {token_file}", "",
            "[threads]", "packet = 2", "", "[log]", f"severity = {severity}", "", "[peers]",
        ]
        for peer in self.hosts:
            if peer is host:
                continue
            address = self.host_address_from(peer, host.zone)
            lines.append(f"{peer.name} = {peer.id} {peer.zone} {self.endpoint(address, PACKET)} "
                         f"{self.endpoint(address, PEER)} {self.endpoint(address, GRPC)}")
        return "\n".join(lines) + "\n"

    def first_change(self):
        operations = []
        for number, name in self.zones.items():
            operations.append({"op": "put_zone", "zone": {
                "id": number, "name": name, "state": "in", "changed_at": 0}})
        for number, name in self.services.items():
            operations.append({"op": "put_service", "service": {"id": number, "name": name}})
        for u in self.upstreams:
            operations.append({"op": "put_upstream", "upstream": {
                "id": u.id, "name": u.name, "service": u.service, "zone": u.zone,
                "address": self.upstream_endpoint(u), "owner": 1, "slots": self.slots,
                "connections": CONNECTIONS, "state": "active", "retired_at": 0}})
        return {"revision": 1, "change_id": f"{self.octet:032x}", "author": "scripts/deployment",
                "reason": f"initial configuration of {self.name}", "time_ms": 1, "operations": operations}

    def host_list(self, version, states=None):
        """`states` maps host names to live (the default), leaving or None (not listed)."""
        listed = []
        for h in self.hosts:
            state = (states or {}).get(h.name, "live")
            if state:
                listed.append({"kind": "entry", "id": h.id, "zone": h.zone, "state": state,
                               "packet": self.endpoint(h.address, PACKET), "peer": self.endpoint(h.address, PEER),
                               "grpc": self.endpoint(h.address, GRPC)})
        for u in self.upstreams:
            listed.append({"kind": "upstream", "id": u.id, "zone": u.zone, "state": "live",
                           "packet": self.upstream_endpoint(u), "peer": "", "grpc": ""})
        return {"version": version, "hosts": listed}

    def upstream_arguments(self):
        return [f"{u.id}:{u.service}:{self.endpoint(u.address, UPSTREAM)}:{self.slots}:{CONNECTIONS}"
                for u in self.upstreams]

    def relay_maps(self):
        maps = []
        for zone in self.zones:
            maps.append(f"tcp,{zone},{PLATFORM_ZONE},{self.store_endpoint_from(zone)},{self.store}")
            for host in self.hosts:
                if host.zone == zone:
                    continue
                address = self.host_address_from(host, zone)
                for protocol, port in (("udp", PACKET), ("udp", PEER), ("tcp", GRPC)):
                    maps.append(f"{protocol},{zone},{host.zone},{self.endpoint(address, port)},"
                                f"{self.endpoint(host.address, port)}")
        for u in self.upstreams:
            maps.append(f"udp,0,{u.zone},{self.upstream_endpoint(u)},{self.endpoint(u.address, UPSTREAM)}")
        return maps

    def write(self, directory, severity="info", secret=None, paths=None):
        """Writes all files. `paths` replaces the directory named in the settings (for examples)."""
        os.makedirs(directory, exist_ok=True)
        named = paths or directory
        write_private(os.path.join(directory, "secret"), secret or secrets.token_hex(32))
        write_private(os.path.join(directory, "token"), secret or secrets.token_hex(16))
        for host in self.hosts:
            with open(os.path.join(directory, f"{host.name}.ini"), "w", encoding="utf-8") as f:
                f.write(self.settings(host, f"{named}/secret", f"{named}/token", severity))
        write_json(os.path.join(directory, "change-1.json"), self.first_change())
        write_json(os.path.join(directory, "hosts.json"), self.host_list(1))
        write_json(os.path.join(directory, "upstreams.json"), self.upstream_arguments())
        if self.relay:
            write_json(os.path.join(directory, "relay.json"), self.relay_maps())


def write_private(path, text):
    with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w", encoding="utf-8") as f:
        f.write(text + "\n")


def write_json(path, value):
    with open(path, "w", encoding="utf-8") as f:
        json.dump(value, f, indent=1)
        f.write("\n")


def http(method, endpoint, path, body=None, limit=3.0):
    """Returns status and body of one call; status 0 if there is no answer."""
    data = body.encode() if isinstance(body, str) else json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(f"http://{endpoint}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=limit) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as e:
        return e.code, e.read().decode()
    except (OSError, urllib.error.URLError):
        return 0, ""


def wait_until(condition, limit, what):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError(f"{what}: timed out after {limit} s")


class Processes:
    """The processes that this run started; no others are signalled."""

    def __init__(self, directory):
        self.directory, self.running = directory, {}

    def start(self, name, program, *arguments):
        log = open(os.path.join(self.directory, f"{name}.log"), "ab")
        with log:
            # A separate session, so that Ctrl-C in a terminal does not stop processes out of order.
            self.running[name] = subprocess.Popen(
                [os.path.join(BUILD, program), *arguments], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT, start_new_session=True)
        return self.running[name]

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def kill(self, name):
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name):
        """Returns the exit code after SIGTERM, or None if the process had to be killed."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            return process.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def stop_all(self):
        """Stops all daemons at once, then the rest in reverse order of start, so that the daemons can use
        the store and upstreams until they exit. Returns descriptions of processes that failed."""
        failed = [f"{name} (exited early)" for name, p in self.running.items() if p.poll() is not None]
        daemons = [n for n, p in self.running.items() if p.args[0].endswith("chiveleverd")]
        for name in daemons:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        for name in daemons + [n for n in reversed(list(self.running)) if n not in daemons]:
            code = self.stop(name)
            if code != 0:
                failed.append(f"{name} (exit code {code})")
        return failed


class HostList:
    """The platform's host list, which reflects changes after a delay."""

    def __init__(self, deployment, version=1, states=None, lag=LIST_LAG_S):
        self.deployment, self.version, self.states, self.lag = deployment, version, states or {}, lag
        self.lock = threading.Lock()

    def put(self):
        with self.lock:
            text = json.dumps(self.deployment.host_list(self.version, self.states))
            status, answer = http("PUT", self.deployment.store, "/v1/kv/hosts", text)
            return status == 200 and answer == "true"

    def set(self, host_name, state):
        """Changes the state of a host in the background after the delay."""
        def later():
            with self.lock:
                self.states[host_name] = state
                self.version += 1
            self.put()
        timer = threading.Timer(self.lag, later)
        timer.daemon = True
        timer.start()


def ready(deployment, host):
    return http("GET", deployment.endpoint(host.address, ADMIN), "/readyz", limit=0.5)[0] == 200


def start_platform(deployment, processes, max_seconds, upstream_options=()):
    """Starts store, upstreams and relay, and writes the first configuration to the store."""
    limit = ["--max-seconds", str(max_seconds)]
    directory = processes.directory
    processes.start("store", "standin_store", "--listen", deployment.store, *limit)
    processes.start("upstreams", "standin_upstream", "--file", os.path.join(directory, "upstreams.json"),
                    "--control", deployment.upstream_control, *limit, *upstream_options)
    if deployment.relay:
        processes.start("relay", "standin_relay", "--file", os.path.join(directory, "relay.json"),
                        "--control", deployment.relay_control, *limit)
    wait_until(lambda: http("GET", deployment.store, "/control/stats")[0] == 200, 5, "store")
    wait_until(lambda: http("GET", deployment.upstream_control, "/report")[0] == 200, 5, "upstreams")
    if deployment.relay:
        wait_until(lambda: http("GET", deployment.relay_control, "/stats")[0] == 200, 5, "relay")
    http("PUT", deployment.store, f"/v1/kv/{deployment.name}/config/change/1?cas=0", json.dumps(deployment.first_change()))


def start_host(processes, host):
    processes.start(host.name, "chiveleverd", "--settings",
                    os.path.join(processes.directory, f"{host.name}.ini"))


def start_fabric(deployment, processes, max_seconds, options=()):
    balancers = []
    for host in deployment.hosts:
        balancers += ["--balancer", f"{deployment.endpoint(host.address, PACKET)},{deployment.endpoint(host.address, ADMIN)}"]
    processes.start("fabric", "standin_fabric", "--listen", deployment.fabric, "--control",
                    deployment.fabric_control, "--max-seconds", str(max_seconds), *balancers, *options)
    wait_until(lambda: http("GET", deployment.fabric_control, "/report")[0] == 200, 5, "fabric")


def caller_command(deployment, *arguments):
    """Command line of the caller, with requests and streams to the first service and uploads to the second."""
    return [os.path.join(BUILD, "standin_caller"), "--fabric", deployment.fabric, "--upstream-control",
            deployment.upstream_control, "--request-services", "1", "--stream-services", "1",
            "--upload-services", "2", *arguments]


def metric(deployment, host, name):
    """Sum of a metric over its labels from a daemon's /metrics; None if the daemon does not answer."""
    status, text = http("GET", deployment.endpoint(host.address, ADMIN), "/metrics", limit=1.0)
    if status != 200:
        return None
    return sum(float(line.split()[-1]) for line in text.splitlines()
               if line.startswith((f"chivelever_{name} ", f"chivelever_{name}{{")))


def violations(deployment, host):
    return metric(deployment, host, "invariant_violations_total")


def busiest_host(deployment):
    """The host that was offered the most requests, whose loss has the largest effect."""
    return max(deployment.hosts, key=lambda h: metric(deployment, h, "requests_offered_total") or 0)
