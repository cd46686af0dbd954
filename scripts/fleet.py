"""Starts, watches and stops a whole deployment on loopback addresses: platform, targets, fabric,
balancers and agents, each its own process. Used by scripts/demo.py and the process tests."""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
PORTS = 300
FIRST_BASE = 20000
LAST_BASE = 32000  # below the system's ephemeral ports
READY_SECONDS = 60
STOP_SECONDS = 60
COMMAND_SECONDS = 60
POLL_SECONDS = 0.05


class FleetError(Exception):
    """A process that ended, or a condition that did not come true in time."""


class Interrupted(Exception):
    """A signal asked for the end."""


class Interrupts:
    """Raises Interrupted for a signal, but not while it is held.

    A signal that comes between the start of a process and its entry in a list would leave the
    process running with nobody to stop it.
    """

    def __init__(self):
        self.is_held = False
        self.pending = False

    def __call__(self, *_):
        if self.is_held:
            self.pending = True
        else:
            raise Interrupted

    @contextlib.contextmanager
    def held(self):
        self.is_held = True
        try:
            yield
        finally:
            self.is_held = False
        if self.pending:
            self.pending = False
            raise Interrupted


def wait_until(condition, what, seconds=READY_SECONDS):
    """Returns the first true value of condition()."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise FleetError(f"not within {seconds} s: {what}")


def _is_free(port):
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def _hold(port):
    """A socket on the port, or None when another one is there."""
    holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        holder.bind(("127.0.0.1", port))
    except OSError:
        holder.close()
        return None
    return holder


def reserve_ports():
    """(base, holder) of a range whose ports are free. The holder's bound socket on the last port
    keeps fleets that start at the same time off the range; it is to be closed with the fleet."""
    bases = range(FIRST_BASE, LAST_BASE, PORTS)
    start = os.getpid() % len(bases)
    for base in list(bases)[start:] + list(bases)[:start]:
        holder = _hold(base + PORTS - 1)
        if holder is None:
            continue
        if all(_is_free(port) for port in range(base, base + PORTS - 1)):
            return base, holder
        holder.close()
    raise FleetError("no free range of ports")


def coap(method, uri, payload=None, seconds=10):
    """What the stock client prints for one request; empty when no answer came."""
    command = ["coap-client-notls", "-B", str(seconds), "-m", method]
    if payload is not None:
        command += ["-e", payload]
    limit = seconds + COMMAND_SECONDS
    result = subprocess.run(command + [uri], capture_output=True, text=True, timeout=limit)
    return (result.stdout + result.stderr).strip()


class Fleet:
    """One running deployment. Use as a context manager: leaving it stops what it started."""

    # `own_groups`: a terminal's Ctrl-C reaches this process alone. Safeguard: it would stop platform
    # and fabric at once with the agents, which could then neither drain nor withdraw.
    def __init__(self, deployment, build, target_options=(), make_options=(), own_groups=False,
                 interrupts=None):
        self.build = pathlib.Path(build)
        self.deployment = deployment
        self.folder = tempfile.TemporaryDirectory(prefix="anvildrum-")
        self.path = pathlib.Path(self.folder.name)
        self.log_copy = os.environ.get("ANVILDRUM_FLEET_LOGS")
        self.base, self.holder = reserve_ports()
        self.target_options = list(target_options)
        self.own_groups = own_groups
        self.interrupts = interrupts or Interrupts()
        self.processes = {}  # name -> (role, Popen)
        self.commands = []  # clients of this fleet
        make = [sys.executable, str(ROOT / "scripts/make_deployment.py"), deployment, str(self.path)]
        make += ["--base-port", str(self.base), "--run-dir", str(self.path)]
        subprocess.run(make + list(make_options), check=True, stdout=subprocess.DEVNULL)
        self.plan = json.loads((self.path / "plan.json").read_text())
        self.control = ("127.0.0.1", self.base + 290)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    # Programs.

    def program(self, name):
        folders = {
            "anvildrumd": "src/daemon",
            "anvilctl": "src/ctl",
            "anvildrum-platform-standin": "tools/platform_standin",
            "anvildrum-fabric-standin": "tools/fabric_standin",
            "anvildrum-target-standin": "tools/target_standin",
            "anvildrum-load-client": "tools/load_client",
        }
        return str(self.build / folders[name] / name)

    def start_process(self, role, name, command):
        log = open(self.path / f"{name}.log", "ab")
        with self.interrupts.held():
            process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                       start_new_session=self.own_groups)
            self.processes[name] = (role, process)
        log.close()
        return process

    def log_of(self, name):
        return (self.path / f"{name}.log").read_text(errors="replace")

    # Start.

    def start(self, names=None):
        """Starts the balancers and targets of these names, or all; the rest may follow later."""
        def chosen(entries):
            return [entry for entry in entries if names is None or entry["name"] in names]
        targets = chosen(self.plan["targets"])
        self.start_platform()
        for target in targets:
            self.start_target(target["name"])
        self.start_fabric()
        for balancer in chosen(self.plan["balancers"]):
            self.start_daemon("balancer", balancer)
        for target in targets:
            self.start_daemon("agent", target)
        wait_until(self.is_ready, "every instance ready and settled")
        return self

    def start_platform(self):
        document = json.loads((self.path / "configuration.json").read_text())
        (self.path / "objects.json").write_text(json.dumps({"config": document}))
        self.start_process("platform", "platform", [
            self.program("anvildrum-platform-standin"), "--listen", self.plan["platform"],
            "--load", str(self.path / "objects.json")])
        self._await_listening("platform")

    def start_target(self, name):
        target = self.target(name)
        self.start_process("target", name, [
            self.program("anvildrum-target-standin"), "--kind", target["service"], "--name", name,
            "--listen", target["address"], "--slots", str(target["slots"]), *self.target_options])
        self._await_listening(name)

    def start_fabric(self):
        command = [self.program("anvildrum-fabric-standin"),
                   "--control", "%s:%d" % self.control, "--seed", "1",
                   "--client-ms", str(self.plan["one_way_delay_us"]["client"] / 1000)]
        for index, service in enumerate(self.plan["services"]):
            command += ["--service", f"{service['name']}={service['address']}"]
            for balancer in self.plan["balancers"]:
                bind = balancer["binds"][index]
                command += ["--balancer", f"{balancer['name']}={service['name']}@{bind}"]
        self.start_process("fabric", "fabric", command)
        self._await_listening("fabric")

    def start_daemon(self, role, entry):
        name = entry["agent"] if role == "agent" else entry["name"]
        settings = str(self.path / entry["settings"])
        return self.start_process(role, name, [self.program("anvildrumd"), "--settings", settings])

    def _await_listening(self, name):
        def listening():
            if self.processes[name][1].poll() is not None:
                raise FleetError(f"{name} ended: {self.log_of(name)[-500:]}")
            return "listening" in self.log_of(name)
        wait_until(listening, f"{name} listening")

    # Look.

    def target(self, name):
        return next(t for t in self.plan["targets"] if t["name"] == name)

    def balancer(self, name):
        return next(b for b in self.plan["balancers"] if b["name"] == name)

    def service_address(self, name):
        return next(s["address"] for s in self.plan["services"] if s["name"] == name)

    def entries(self):
        """(process name, plan entry) of every balancer and agent."""
        balancers = [(b["name"], b) for b in self.plan["balancers"]]
        return balancers + [(t["agent"], t) for t in self.plan["targets"]]

    def http(self, address, path, method="GET", body=None):
        """(status, text); (0, "") when nobody answers."""
        request = urllib.request.Request(f"http://{address}{path}", method=method, data=body)
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode(errors="replace")
        except OSError:
            return 0, ""

    def status(self, entry):
        code, text = self.http(entry["operator_port"], "/status")
        return json.loads(text) if code == 200 else None

    def metrics(self, entry):
        """Value of each sample of an instance, by its name with labels."""
        code, text = self.http(entry["operator_port"], "/metrics")
        lines = [line for line in text.splitlines() if line and line[0] != "#" and code == 200]
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}

    def executions(self, name):
        """Times that each request id was run by a target; empty when it is down."""
        answer = coap("get", f"coap://{self.target(name)['address']}/executions")
        return json.loads(answer)["executions"] if answer.startswith("{") else {}

    def is_running(self, name):
        return name in self.processes and self.processes[name][1].poll() is None

    def is_ready(self):
        count = sum(self.is_running(target["agent"]) for target in self.plan["targets"])
        for name, entry in self.entries():
            if not self.is_running(name):
                continue
            status = self.status(entry)
            if not status or not status.get("ready"):
                return False
            if status["role"] == "agent" and not status["settled"]:
                return False
            if status["role"] == "balancer" and len(status["targets"]) < count:
                return False
        return True

    def fabric_do(self, message):
        """Sends one control message to the fabric and returns its answer."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as control:
            control.settimeout(5)
            control.sendto(json.dumps(message).encode(), self.control)
            return json.loads(control.recv(65536))

    def faults(self, **values):
        """Sets the platform stand-in's faults."""
        return self.http(self.plan["platform"], "/v1/faults", "PUT", json.dumps(values).encode())

    def ctl(self, *arguments):
        command = [self.program("anvilctl"), *arguments, "--platform", self.plan["platform"]]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    # Clients.

    def start_command(self, command):
        """A client that runs beside the test; its output is text."""
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
                                   stdin=subprocess.DEVNULL, text=True)
        self.commands.append(process)
        return process

    def start_load(self, service, *options):
        """A load client through the fabric."""
        address = f"coap://{self.service_address(service)}"
        program = self.program("anvildrum-load-client")
        return self.start_command([program, "--service", address, "--json", *options])

    def finish_load(self, process, seconds=240):
        """The load client's summary, once it has finished by itself."""
        text, _ = process.communicate(timeout=seconds)
        return json.loads(text)

    # Stop.

    def signal(self, name, number):
        self.processes[name][1].send_signal(number)

    def terminate(self, name, seconds=STOP_SECONDS):
        """A planned stop; returns the exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name][1].wait(timeout=seconds)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name][1].wait(timeout=STOP_SECONDS)

    def stop(self):
        """Stops every process gracefully, daemons first; returns those that had to be killed."""
        for command in self.commands:
            if command.poll() is None:
                command.kill()
            command.communicate()
        self.commands = []
        killed = []
        for roles in (("agent",), ("balancer",), ("fabric", "target"), ("platform",)):
            chosen = [(n, p) for n, (role, p) in self.processes.items() if role in roles]
            for _, process in chosen:
                if process.poll() is None:
                    process.terminate()
            for name, process in chosen:
                try:
                    process.wait(timeout=STOP_SECONDS)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
                    killed.append(name)
        self.processes = {}
        if self.log_copy:
            shutil.copytree(self.path, pathlib.Path(self.log_copy) / self.path.name)
        self.folder.cleanup()
        self.holder.close()
        return killed
