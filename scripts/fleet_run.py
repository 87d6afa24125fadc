"""A run of a deployment under load: start, loads of the caller stand-in and their results. Used by
scripts/demo and scripts/moves."""

import os
import re
import shutil
import subprocess
import time

import fleet

START_LIMIT_S = 30
STANDIN_LIMIT_S = 180  # stand-ins end by themselves if the script is killed


class Run:
    """One deployment of separate processes with its loads and the problems found."""

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
            raise RuntimeError("the store did not take the host list")
        for host in self.deployment.hosts:
            fleet.start_host(self.processes, host)
        for host in self.deployment.hosts:
            fleet.wait_until(lambda h=host: fleet.ready(self.deployment, h), START_LIMIT_S, f"{host.name} ready")
        fleet.start_fabric(self.deployment, self.processes, STANDIN_LIMIT_S, ["--seed", str(self.args.seed)])
        end = time.monotonic() + START_LIMIT_S
        attempt = 0
        while True:  # until every pool admits: a trial load is answered in full
            attempt += 1  # a seed of its own, since order ids of a run must not repeat
            trial = self.load("trial", 200, 400, 8, 8, seed=self.args.seed + 1000 + attempt).finish()
            if trial.code == 0 and trial["answered"] == 200 and trial["refused"] == 0:
                return
            if time.monotonic() > end:
                raise RuntimeError(f"no service within {START_LIMIT_S} s of readiness: {trial.last}")

    def load(self, name, requests, rate, streams, uploads, seed, at_least=0, extra=()):
        load = Load(name, self.directory, fleet.caller_command(
            self.deployment, "--requests", str(requests), "--rate", str(rate), "--streams", str(streams), "--request-flows", "48",
            "--uploads", str(uploads), "--seed", str(seed), "--duration", str(at_least),
            "--report", os.path.join(self.directory, f"{name}.json"), "--max-seconds", "80", *extra))
        self.loads.append(load)
        return load

    def stop(self):
        """Ends loads and processes; what did not end well is a problem."""
        for unfinished in self.loads:
            unfinished.process.kill()
            unfinished.process.wait()
        self.problems += self.processes.stop_all()


class Load:
    """One run of the caller."""

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
