#!/usr/bin/env python3
"""Writes a deployment's files: a settings file for each instance, the first configuration and
plan.json, which tells scripts every name and port.

    scripts/make_deployment.py ledgewater OUT [--base-port N] [--run-dir DIR] [--drain-seconds N]
                               [--balancers N]
    scripts/make_deployment.py --check        # the committed files are what this script writes

Ports, all on 127.0.0.1, from the base port B:

    B                 platform
    B+1, B+2          the services' addresses (the fabric's side)
    B+10*i            balancer i from 1: tunnel; +1 control, +2 operator, +3 and +4 the services
    B+100+10*j        agent j from 0: tunnel; +1 operator, +2 its target
"""

import argparse
import dataclasses
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BALANCERS = 3
MAX_BALANCERS = 9  # by the plan of ports
FAILURE_DOMAINS = 3
CONNECTIONS = 2000
PORTS_PER_DEPLOYMENT = 300
MAX_PORT = 65535
DEMO_DRAIN_SECONDS = 28800
ALL_FLOWS_PERMILLE = 1000
MICROSECONDS_PER_MILLISECOND = 1000


COMMENTS = {
    "tunnel": "UDP between balancers and agents.",
    "platform": "The object API over HTTP.",
    "tunnel_keys": "The first one seals, all are accepted.",
    "relay_keys": "CURVE key pairs; the first one is current.",
    "relay_peers": "Control ports of balancers to hear from, also while the platform is down.",
    "operator_port": "HTTP for anvilctl: GET /status, POST /drain, GET /metrics.",
    "control": "ZeroMQ port of the relay.",
    "bind": "Where datagrams for a service's address are received here, behind the fabric.",
    "target": "The process beside this agent.",
    "slots": "Requests that it runs at once.",
    "connections": "Flows that it holds at most.",
    "drain_seconds": "A drain that lasts longer ends its flows.",
}


@dataclasses.dataclass(frozen=True)
class Service:
    name: str
    targets: int
    slots: int


@dataclasses.dataclass(frozen=True)
class Deployment:
    name: str
    region: str
    services: tuple
    base_port: int
    client_delay_ms: float
    domain_delay_ms: float
    tunnel_key: str
    relay_key: dict


DEPLOYMENTS = {
    "ledgewater": Deployment(
        name="ledgewater",
        region="boston",
        services=(Service("desk", 7, 4), Service("mapper", 3, 4)),
        base_port=21000,
        client_delay_ms=1.0,
        domain_delay_ms=1.5,
        tunnel_key="55bf43c7e8ad8f4969f7b90d0b1facb9",
        relay_key={
            "public": "Qc%az1$:CoOZob!]F7G]*fQXwV<>bR-CoI)i)siC",
            "secret": "(fKedSj7Z&BWXrwMri:]10$}/wKT8*+X>hr88fz#",
        },
    ),
    "telebombeo": Deployment(
        name="telebombeo",
        region="cuyo",
        services=(Service("scada-gw", 7, 5), Service("report-srv", 3, 5)),
        base_port=22000,
        client_delay_ms=3.0,
        domain_delay_ms=1.0,
        tunnel_key="03fe3a3e068ee62647a2c42f410a2367",
        relay_key={
            "public": "f[vaJiE1%l0B$<Wv??w+/new$ey7xsnNyx)5IZj?",
            "secret": "wy*[/8R3NbtvCJ0Y+v)}ffIPD<qm=g^Y$[>[4]Xk",
        },
    ),
}


@dataclasses.dataclass(frozen=True)
class Options:
    base_port: int
    run_dir: str
    drain_seconds: int
    balancers: int = BALANCERS


def address(port):
    return f"127.0.0.1:{port}"


def service_port(options, index):
    return options.base_port + 1 + index


def balancer_port(options, number):
    return options.base_port + 10 * number


def agent_port(options, index):
    return options.base_port + 100 + 10 * index


def failure_domain(deployment, index):
    return f"{deployment.region}-{index % FAILURE_DOMAINS + 1}"


def instances_of(deployment):
    """(service, target name) of each target, in the order of their ports."""
    return [
        (service, f"{service.name}-{number}")
        for service in deployment.services
        for number in range(1, service.targets + 1)
    ]


def control_ports(options):
    return [address(balancer_port(options, number) + 1) for number in range(1, options.balancers + 1)]


def common_settings(deployment, options, role, name, domain_index, tunnel):
    own_control = address(tunnel + 1)
    return {
        "role": role,
        "name": name,
        "failure_domain": failure_domain(deployment, domain_index),
        "region": deployment.region,
        "tunnel": address(tunnel),
        "platform": [address(options.base_port)],
        "tunnel_keys": [deployment.tunnel_key],
        "relay_keys": [deployment.relay_key],
        "relay_peers": [port for port in control_ports(options) if port != own_control],
    }


def add_output(settings, options):
    """Without a run directory logs go to standard error and nothing is traced."""
    if not options.run_dir:
        settings["log"] = {"level": "info"}
        return
    path = pathlib.Path(options.run_dir) / settings["name"]
    settings["log"] = {"level": "info", "file": f"{path}.log"}
    settings["trace"] = {"file": f"{path}.trace.json", "sample_permille": ALL_FLOWS_PERMILLE}


def balancer_settings(deployment, options, number):
    port = balancer_port(options, number)
    settings = common_settings(deployment, options, "balancer", f"b{number}", number - 1, port)
    settings["operator_port"] = address(port + 2)
    settings["balancer"] = {
        "control": address(port + 1),
        "bind": [
            {"address": address(service_port(options, index)), "bind": address(port + 3 + index)}
            for index in range(len(deployment.services))
        ],
    }
    add_output(settings, options)
    return settings


def agent_settings(deployment, options, index, service, target):
    port = agent_port(options, index)
    settings = common_settings(deployment, options, "agent", f"agent-{target}", index, port)
    settings["operator_port"] = address(port + 1)
    settings["agent"] = {
        "target": {
            "name": target,
            "service": service.name,
            "address": address(port + 2),
            "slots": service.slots,
            "connections": CONNECTIONS,
        },
        "drain_seconds": options.drain_seconds,
    }
    add_output(settings, options)
    return settings


def all_settings(deployment, options):
    balancers = [
        balancer_settings(deployment, options, number)
        for number in range(1, options.balancers + 1)
    ]
    agents = [
        agent_settings(deployment, options, index, service, target)
        for index, (service, target) in enumerate(instances_of(deployment))
    ]
    return balancers + agents


def configuration(deployment, options):
    services = {}
    for index, service in enumerate(deployment.services):
        services[service.name] = {
            "addresses": [address(service_port(options, index))],
            "spread": {
                "load_margin": 0.03,
                "local_failure_domain_first": False,
                "slow_start_seconds": 10,
            },
            "limits": {"queue_ms": 250, "client_in_flight": 64, "flow_idle_seconds": 7200},
            "weights": {},
        }
    return {"number": 1, "services": services, "history": []}


def plan_balancer(settings):
    return {
        "name": settings["name"],
        "settings": f"settings/{settings['name']}.json",
        "failure_domain": settings["failure_domain"],
        "operator_port": settings["operator_port"],
        "binds": [bind["bind"] for bind in settings["balancer"]["bind"]],
    }


def plan_target(settings):
    return {
        **settings["agent"]["target"],
        "agent": settings["name"],
        "settings": f"settings/{settings['name']}.json",
        "failure_domain": settings["failure_domain"],
        "operator_port": settings["operator_port"],
    }


def plan(deployment, options, settings):
    return {
        "deployment": deployment.name,
        "platform": address(options.base_port),
        "services": [
            {"name": service.name, "address": address(service_port(options, index))}
            for index, service in enumerate(deployment.services)
        ],
        "balancers": [plan_balancer(one) for one in settings if one["role"] == "balancer"],
        "targets": [plan_target(one) for one in settings if one["role"] == "agent"],
        "one_way_delay_us": {
            "client": int(deployment.client_delay_ms * MICROSECONDS_PER_MILLISECOND),
            "failure_domain": int(deployment.domain_delay_ms * MICROSECONDS_PER_MILLISECOND),
        },
    }


def commented(text):
    """Puts a comment above the first line of each key that has one."""
    waiting = dict(COMMENTS)
    lines = []
    for line in text.splitlines():
        key = line.strip().partition(":")[0].strip('"')
        if key in waiting:
            indent = line[: len(line) - len(line.lstrip())]
            lines.append(f"{indent}// {waiting.pop(key)}")
        lines.append(line)
    return "\n".join(lines) + "\n"


def settings_text(deployment, settings):
    header = (
        f"// {settings['name']} of {deployment.name}; written by scripts/make_deployment.py.\n"
        "// The keys are demo keys, published with the source: make your own before real use.\n"
    )
    return header + commented(as_text(settings))


def as_text(value):
    return json.dumps(value, indent=2) + "\n"


def files_of(deployment, options):
    settings = all_settings(deployment, options)
    files = {
        f"settings/{one['name']}.json": settings_text(deployment, one) for one in settings
    }
    files["configuration.json"] = as_text(configuration(deployment, options))
    files["plan.json"] = as_text(plan(deployment, options, settings))
    return files


def write(files, out):
    for name, text in files.items():
        path = out / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)


def default_options(deployment):
    return Options(deployment.base_port, "", DEMO_DRAIN_SECONDS)


def differences(deployment):
    """Committed files that differ from what this script writes, or are too many."""
    folder = ROOT / "deployments" / deployment.name
    expected = files_of(deployment, default_options(deployment))
    present = {
        str(path.relative_to(folder)) for path in folder.rglob("*.json") if path.is_file()
    }
    wrong = [
        name
        for name, text in expected.items()
        if name not in present or (folder / name).read_text() != text
    ]
    return wrong + sorted(present - set(expected))


def check():
    wrong = [
        f"{deployment.name}/{name}"
        for deployment in DEPLOYMENTS.values()
        for name in differences(deployment)
    ]
    for name in wrong:
        print(f"deployments/{name} is not what scripts/make_deployment.py writes", file=sys.stderr)
    return 1 if wrong else 0


def parse_arguments():
    parser = argparse.ArgumentParser(description="Writes the files of a deployment.")
    parser.add_argument("deployment", nargs="?", choices=sorted(DEPLOYMENTS))
    parser.add_argument("out", nargs="?", type=pathlib.Path)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--base-port", type=int)
    parser.add_argument("--run-dir", default="", help="folder for logs and traces")
    parser.add_argument("--drain-seconds", type=int, default=DEMO_DRAIN_SECONDS)
    parser.add_argument("--balancers", type=int, default=BALANCERS, choices=range(1, MAX_BALANCERS + 1))
    arguments = parser.parse_args()
    if not arguments.check and (arguments.deployment is None or arguments.out is None):
        parser.error("DEPLOYMENT and OUT, or --check")
    return arguments


def main():
    arguments = parse_arguments()
    if arguments.check:
        return check()
    deployment = DEPLOYMENTS[arguments.deployment]
    base_port = arguments.base_port or deployment.base_port
    if not 0 < base_port <= MAX_PORT - PORTS_PER_DEPLOYMENT:
        print(f"base port {base_port} leaves no room for the plan", file=sys.stderr)
        return 2
    options = Options(base_port, arguments.run_dir, arguments.drain_seconds, arguments.balancers)
    write(files_of(deployment, options), arguments.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
