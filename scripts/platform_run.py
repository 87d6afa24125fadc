"""Runs chivelever-edge as separate processes against the stand-in of the users' platform. Signals only processes
that it started."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "build", "release", "chivelever-edge")
sys.path.insert(0, os.path.join(ROOT, "standins"))


class Hosts:
    """The chivelever-edge processes, keyed by IP address."""

    def __init__(self, world, binary=BINARY, log_directory=None):
        self.world = world
        self.binary = binary
        self.log_directory = log_directory or tempfile.mkdtemp(prefix="chivelever-platform-")
        self.processes = {}
        self.starts = {}
        self.unexpected_exits = []

    def zone_of(self, ip):
        return next(z for z, hosts in self.world.hosts.items() if ip in hosts)

    def addresses(self):
        return [ip for hosts in self.world.hosts.values() for ip in hosts]

    def start(self, ip):
        """Starts the host unless it is running. A second process for the same host would leave the first untracked, and
        it would keep sending its state to other hosts, including those of a later run."""
        running = self.processes.get(ip)
        if running is not None and running.poll() is None:
            return
        settings = os.path.join(self.log_directory, f"{ip}.ini")
        with open(settings, "w", encoding="utf-8") as f:
            f.write(self.world.settings(self.zone_of(ip), ip))
        self.starts[ip] = self.starts.get(ip, 0) + 1
        log = open(os.path.join(self.log_directory, f"{ip}.log"), "ab")
        self.processes[ip] = subprocess.Popen(
            [self.binary, "--settings", settings, "--metrics-port", str(self.world.metrics_port)],
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def send_signal(self, ip, number):
        process = self.processes[ip]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, ip):
        self.send_signal(ip, signal.SIGKILL)
        self.processes[ip].wait()

    def restart_exited(self):
        """Records and restarts processes that exited with an unexpected code."""
        for ip, process in list(self.processes.items()):
            if process.poll() is not None and process.returncode not in (-signal.SIGKILL, 0):
                self.unexpected_exits.append((ip, process.returncode))
                self.start(ip)

    def metric(self, ip, name):
        page = urllib.request.urlopen(f"http://{ip}:{self.world.metrics_port}/metrics", timeout=2).read().decode()
        return sum(float(x.rsplit(" ", 1)[1]) for x in page.splitlines() if x.startswith("chivelever_" + name))

    def stop(self):
        for ip in self.processes:
            self.send_signal(ip, signal.SIGCONT)
            self.send_signal(ip, signal.SIGTERM)
        end = time.monotonic() + 7
        for process in self.processes.values():
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
