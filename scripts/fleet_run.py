"""Runs a deployment under loads of the caller stand-in. Used by scripts/demo and scripts/moves."""

import os
import re
import shutil
import subprocess
import time

import fleet

START_LIMIT_S = 30
STANDIN_LIMIT_S = 180  # stand-ins exit after this time, also if the script is killed


class Run:
    """A deployment in separate processes, its loads and the problems found."""

    def __init__(self, args):
        self.args = args
        self.deployment = fleet.Deployment(args.deployment, args.port_base)
        self.directory = os.path.join(fleet.ROOT, "run", f"{args.script}-{args.deployment}-{args.port_base}")
        shutil.rmtree(self.directory, ignore_errors=True)
        self.deployment.write(self.directory, severity=args.severity)
        self.processes = fleet.Processes(self.directory)
        self.host_list = fleet.HostList(self.deployment)
        self.problems, self.loads = [], []

    def start(self):
        fleet.start_platform(self.deployment, self.processes, STANDIN_LIMIT_S)
        if not self.host_list.put():
            raise RuntimeError("the store rejected the host list")
        for host in self.deployment.hosts:
            fleet.start_host(self.processes, host)
        for host in self.deployment.hosts:
            fleet.wait_until(lambda h=host: fleet.ready(self.deployment, h), START_LIMIT_S, f"{host.name} ready")
        fleet.start_fabric(self.deployment, self.processes, STANDIN_LIMIT_S, ["--seed", str(self.args.seed)])
        end = time.monotonic() + START_LIMIT_S
        attempt = 0
        while True:  # until every pool admits requests: all requests of a trial load are answered
            attempt += 1  # a new seed per attempt, since order ids must not repeat within a run
            trial = self.load("trial", 200, 400, 8, 8, seed=self.args.seed + 1000 + attempt).finish()
            if trial.code == 0 and trial["answered"] == 200 and trial["refused"] == 0:
                return
            if time.monotonic() > end:
                raise RuntimeError(f"trial load not answered within {START_LIMIT_S} s of readiness: {trial.last}")

    def load(self, name, requests, rate, streams, uploads, seed, min_duration_s=0, extra=()):
        load = Load(name, self.directory, fleet.caller_command(
            self.deployment, "--requests", str(requests), "--rate", str(rate), "--streams", str(streams), "--request-flows", "48",
            "--uploads", str(uploads), "--seed", str(seed), "--duration", str(min_duration_s),
            "--report", os.path.join(self.directory, f"{name}.json"), "--max-seconds", "80", *extra))
        self.loads.append(load)
        return load

    def stop(self):
        """Stops loads and processes and records processes that failed."""
        for load in self.loads:
            load.process.kill()
            load.process.wait()
        self.problems += self.processes.stop_all()


class Load:
    """One run of the caller stand-in."""

    def __init__(self, name, directory, command):
        self.log = os.path.join(directory, f"caller-{name}.log")
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(command, cwd=fleet.ROOT, stdout=log, stderr=subprocess.STDOUT)
        self.code, self.last, self.detail, self.speed, self.values = None, "", "", "", {}

    def finish(self):
        self.code = self.process.wait(100)
        with open(self.log, encoding="utf-8") as f:
            lines = f.read().splitlines()
        if len(lines) >= 3:
            self.speed, self.detail, self.last = lines[-3:]
        self.values = {k: int(v) for k, v in re.findall(r"(\w+)=(\d+)\b", f"{self.detail} {self.last}")}
        return self

    def __getitem__(self, name):
        return self.values.get(name, 0)
