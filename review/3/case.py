"""Case 3. See claim.txt for the rule; run.sh starts this.

1. Three VMs with a disk start, as at the first start of a small deployment. The operator sends a
   manifest with 12,000 tenants (1.1 MB) and waits until it is acknowledged.
2. Four times: manifests in quick succession for 7 s, one each 0.33 s. Meanwhile a VM of the core
   that doesn't lead stands still for 3 s and wakes again. With TROUBLE=0 no VM stands still, and
   the manifests come one a second.
3. Calm for 6 s.
4. The third VM of the core is replaced: it is gone for good, and an empty one starts 1 s later at
   another address.
5. When the core has been stable for contactMs, the operator sends one more manifest, again and again
   to the running VMs in turn. The rule is broken if none acknowledges it within ackMs.

Everything listens on loopback addresses of one network that is drawn at the start.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
COMMAND = ["target/release/wingshed-node", "--figures", "9464/metrics"]  # deploy/system.toml
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

TENANTS = 12000
ROUNDS = 4
STORM_S, STORM_GAP_S = 7.0, 0.33
FREEZE_S = 3.0
CALM_S = 6.0
# The bounds of the deployment (SYSTEM.md, Hotare).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": True, "revokeMs": 5000,
    "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 64, "recoverS": 12, "passMs": 120,
    "retryAfterS": 10, "capFactor": 2, "ttl_max_s": 5,
}
ACK_S = BOUNDS["ackMs"] / 1000 + 0.003  # 3 ms are added for each route; there is one
CONTACT_S = BOUNDS["contactMs"] / 1000
ZONES = ["z-a", "z-b", "z-c"]

BEGAN = time.monotonic()
record_file = open(os.path.join(HERE, "record.txt"), "w")
record_lock = threading.Lock()


def record(text):
    with record_lock:
        line = f"{time.monotonic() - BEGAN:8.3f} s  {text}"
        print(line, file=record_file, flush=True)
        print(line, flush=True)


class Impossible(Exception):
    """The case can't run here."""


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((ip, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class ListCall(BaseHTTPRequestHandler):
    """The platform's list of servers: there are none in this case."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        body = json.dumps({"instances": [], "nextToken": None}).encode()
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class Vm:
    """One VM: its settings, its disk and its process."""

    def __init__(self, site, name, ip, zone):
        self.site, self.name, self.ip, self.zone = site, name, ip, zone
        self.folder = os.path.join(site.folder, name)
        self.process = None

    def start(self, first):
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        front, ready, control, directory, peer = self.site.ports
        settings = {
            "node": self.name, "role": "wingshed", "machineClass": "edge",
            "serves": ["edge", "control", "directory"], "ip": self.ip, "zone": self.zone,
            "region": "r", "zones": {zone: "r" for zone in ZONES},
            "listen": {"front": f"{self.ip}:{front}", "ready": f"{self.ip}:{ready}",
                       "control": f"{self.ip}:{control}", "directory": f"{self.ip}:{directory}"},
            "portRange": [peer, peer], "seeds": self.site.seeds, "bootstrap": first,
            "lossCounts": True,
            "limits": {"cpuShare": 0.45, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 64},
            "dataDir": os.path.join(self.folder, "data"), "discovery": "cloud",
            "entry": "directory", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "tenants"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "configMode": "highest",
            "cloud": {"address": self.site.list_address, "ratePerS": 47.0, "duties": [],
                      "maxLagMs": 800},
        }
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        keep = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in keep if name in os.environ}
        environment["WINGSHED_BOOT"] = path
        with open(os.path.join(self.folder, "log"), "a") as log:
            self.process = subprocess.Popen(COMMAND, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        record(f"{self.name} starts at {self.ip}, process {self.process.pid}")

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.runs():
            self.process.send_signal(number)

    def kill(self):
        if self.runs():
            self.process.kill()
            self.process.wait()

    def processor_s(self):
        """The processor time that the process has used, in seconds."""
        fields = open(f"/proc/{self.process.pid}/stat").read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def led_at(self):
        """When it last began to lead, by its log; empty if it never did."""
        with open(os.path.join(self.folder, "log")) as log:
            lines = [json.loads(line) for line in log if '"message":"leads"' in line]
        return lines[-1]["timestamp"] if lines else ""


class Site:
    """All that the case starts."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="case-3-")
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.list = ThreadingHTTPServer((f"{self.network}.1", 0), ListCall)
        threading.Thread(target=self.list.serve_forever, daemon=True).start()
        self.list_address = f"{self.network}.1:{self.list.server_port}"
        self.ports = free_ports(f"{self.network}.10", 5)
        ips = [f"{self.network}.{10 + at}" for at in range(4)]
        self.seeds = [f"{ip}:{self.ports[2]}" for ip in ips[:3]]
        self.vms = [Vm(self, f"vm-{at}", ips[at], ZONES[at % 3]) for at in range(4)]
        self.version = 0
        draw = random.Random(3)
        alphabet = "abcdefghijklmnopqrstuvwxyz0123456789"
        self.new_key = lambda: "".join(draw.choices(alphabet, k=20))
        self.tenants = [{"name": f"tenant{at}", "apiKeys": [self.new_key(), self.new_key()],
                         "priority": 1} for at in range(TENANTS)]

    def manifest(self):
        """The next manifest: one key of one tenant is another one."""
        self.version += 1
        self.tenants[self.version % TENANTS]["apiKeys"][0] = self.new_key()
        route = {"name": "r-1", "host": "a.example", "pathPrefix": "/a/", "kind": "safe",
                 "timeoutMs": 2000, "goalMs": 300, "priority": 1, "service": "app",
                 "maxAttempts": 2, "public": False, "sticky": False}
        service = {"name": "app", "healthPath": "/health", "maxConns": 130, "protocol": "h1",
                   "tls": False}
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000}
        document = {"version": self.version, "routes": [route], "services": [service],
                    "limits": limits, "tenants": self.tenants}
        return self.version, json.dumps(document).encode()

    def put(self, vm, version, body, patience_s=1.0):
        """Sends a manifest to one VM; returns the status, or what went wrong."""
        try:
            call = http.client.HTTPConnection(vm.ip, self.ports[2], timeout=patience_s)
            call.request("POST", "/config/put", body, {"Content-Type": "application/json"})
            status = call.getresponse().status
            call.close()
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        record(f"version {version} sent to {vm.name}: {status}")
        return status

    def order(self, vms, for_s):
        """Sends the next manifest to VMs in turn until one acknowledges it; returns the seconds that
        this took, or None after `for_s`."""
        version, body = self.manifest()
        began = time.monotonic()
        turn = version
        while time.monotonic() < began + for_s:
            vm = vms[turn % len(vms)]
            turn += 1
            if self.put(vm, version, body) == 200:
                return time.monotonic() - began
            time.sleep(0.1)
        return None

    def leader(self):
        return max((vm for vm in self.vms if vm.runs()), key=Vm.led_at)

    def end(self):
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.kill()
        self.list.shutdown()
        shutil.rmtree(self.folder, ignore_errors=True)


def storm(site, vms):
    """Sends manifests in quick succession, each once the one before was answered."""
    gap_s = STORM_GAP_S if TROUBLE else 1.0
    until = time.monotonic() + STORM_S
    while time.monotonic() < until:
        began = time.monotonic()
        version, body = site.manifest()
        site.put(vms[version % len(vms)], version, body)
        time.sleep(max(0.0, gap_s - (time.monotonic() - began)))


def play(site):
    core = site.vms[:3]
    for vm in core:
        vm.start(first=True)
    if site.order(core, 15.0) is None:
        raise Impossible("the first manifest was not acknowledged")
    time.sleep(2.0)

    for _ in range(ROUNDS):
        leader = site.leader()
        frozen, other = [vm for vm in core if vm is not leader]
        record(f"{leader.name} leads; manifests come in quick succession")
        sender = threading.Thread(target=storm, args=(site, core))
        sender.start()
        time.sleep(1.0)
        if TROUBLE:
            frozen.signal(signal.SIGSTOP)
            record(f"{frozen.name} stands still")
            time.sleep(FREEZE_S)
            frozen.signal(signal.SIGCONT)
            record(f"{frozen.name} wakes")
        sender.join()
    record("calm")
    time.sleep(CALM_S - 1.0)
    before = {vm: vm.processor_s() for vm in core}
    time.sleep(1.0)
    for vm in core:
        used = vm.processor_s() - before[vm]
        record(f"{vm.name} uses {used:.2f} of a processor while nothing is asked of it")

    if other is site.leader():
        other = leader
    other.kill()
    record(f"{other.name} is gone for good")
    time.sleep(1.0)
    site.vms[3].start(first=False)
    time.sleep(CONTACT_S + 0.5)

    running = [vm for vm in site.vms if vm.runs()]
    if len(running) != 3:
        raise Impossible("a VM ended by itself")
    record("the core is stable; one more manifest")
    took_s = site.order(running, 15.0)
    record(f"acknowledged after {took_s:.2f} s" if took_s else "not acknowledged in 15 s")
    return took_s is not None and took_s <= ACK_S


def main():
    if not os.access(os.path.join(ROOT, COMMAND[0]), os.X_OK):
        record(f"{COMMAND[0]} is missing")
        return 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record(f"disruption: {'yes' if TROUBLE else 'no'}")
    site = Site()
    try:
        held = play(site)
    except Impossible as reason:
        record(f"the case could not run: {reason}")
        return 2
    finally:
        site.end()
    record("the rule held" if held else "the rule was broken")
    return 0 if held else 1


sys.exit(main())
