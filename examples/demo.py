"""Demonstrates a whole deployment: run `python3 examples/demo.py`.

On a machine that has only Python 3.11 it creates a virtual environment,
installs the project, starts three availability zones of three VMs with their
backend servers, serves one streamed and one non-idempotent request, prints
the status, and stops what it started.
"""

from __future__ import annotations

import json
import os
import pathlib
import secrets
import subprocess
import sys
import tempfile
import time
import urllib.request
import uuid

import deployment as deployment_module

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENVIRONMENT = ROOT / ".venv"


def set_up() -> None:
    """Installs the project in a virtual environment and restarts there."""
    python = ENVIRONMENT / "bin" / "python"
    if not python.exists():
        say("creating a virtual environment")
        subprocess.run([sys.executable, "-m", "venv", ENVIRONMENT], check=True)
    say("installing")
    subprocess.run(
        [python, "-m", "pip", "install", "--quiet", "--no-input"]
        + ["--disable-pip-version-check", "--no-compile", "-e"]
        + [f"{ROOT}[daemon]"],
        check=True,
        stderr=subprocess.DEVNULL,
    )
    os.execv(python, [str(python), __file__, "--installed"])


def say(text: str) -> None:
    """Prints a line about progress."""
    print(f"[demo] {text}", flush=True)  # noqa: T201


def make_key() -> str:
    """Returns a UUID of version 7, which contains the current time."""
    number = int(time.time() * 1000) << 80 | 7 << 76
    number |= secrets.randbits(12) << 64 | 2 << 62 | secrets.randbits(62)
    return str(uuid.UUID(int=number))


def configure(deployment: deployment_module.Deployment) -> None:
    """Creates the services and activates the preset `ordinary`."""
    operate = deployment.operate
    say(operate("cluster", "init", "kahikatea").strip())
    operate(
        *("service", "apply", "draft-model", "--model-name", "drafts"),
        *("--version", "7", "--replicas", "12", "--group-size", "2"),
        *("--rank", "1"),
    )
    operate(
        *("service", "apply", "alert-desk", "--model-name", "alerts"),
        *("--version", "3", "--replicas", "3", "--group-size", "2"),
    )
    operate("service", "apply", "work-orders", "--plain", "--non-idempotent")
    shares = []
    for zone in deployment.zones:
        shares += [f"draft-model/{zone}=4", f"alert-desk/{zone}=1"]
    operate("preset", "apply", "ordinary", "--share", *shares)
    say("preset ordinary: " + operate("preset", "switch", "ordinary").strip())


def show_stream(vm: deployment_module.Vm) -> None:
    """Sends one streamed request and prints the response as it arrives."""
    body = {
        "model": "draft-model",
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": 12,
        "messages": [{"role": "user", "content": "Summarise span 14."}],
    }
    request = urllib.request.Request(
        f"{vm.url}/v1/chat/completions",
        json.dumps(body).encode(),
        {
            "Authorization": "Bearer token-kahikatea",
            "Content-Type": "application/json",
            "Priority": "u=1",
        },
    )
    say(f"streamed request through {vm.zone}/{vm.name}:")
    with urllib.request.urlopen(request, timeout=20) as response:
        for line in response:
            if line.strip():
                print("   ", line.decode().strip())  # noqa: T201


def show_call(vm: deployment_module.Vm) -> None:
    """Sends a non-idempotent call twice with the same key."""
    key = make_key()
    for attempt in ("first", "again"):
        response = deployment_module.call(
            "POST",
            f"{vm.url}/services/work-orders/crews/7",
            token="token-kahikatea",
            body=b'{"span": 14}',
            headers={
                "Idempotency-Key": key,
                "Content-Type": "application/json",
            },
        )
        replayed = response.headers.get("idempotency-replayed", "false")
        say(f"work order, {attempt}: {response.status} replayed={replayed}")
        print("   ", response.body.decode())  # noqa: T201


def run() -> None:
    """Runs the demonstration in an installed environment."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = deployment_module.Deployment(pathlib.Path(folder))
        try:
            run_in(deployment)
        finally:
            deployment.stop()
            say("stopped everything that was started")


def run_in(deployment: deployment_module.Deployment) -> None:
    """Starts the processes, sends requests and prints the status."""
    say("starting 9 entries, 9 control processes and the backend servers")
    deployment.start_system()
    weights_url = deployment.start_weights()
    for zone in deployment.zones:
        deployment.start_engines(
            zone, vms=14, domain_size=7, weights_url=weights_url
        )
    deployment.start_plain(deployment.zones[1], "work-orders")
    wait = deployment_module.wait_until
    first = deployment.vms[0]
    wait(
        lambda: len(deployment.get_status()["controls"]) == len(deployment.vms),
        "all control processes report their status",
    )
    configure(deployment)
    wait(
        lambda: (
            deployment.count_serving("draft-model") == 12
            and deployment.count_serving("alert-desk") == 3
        ),
        "all replicas serve",
    )
    wait(lambda: all(map(deployment.is_ready, deployment.vms)), "all ready")
    show_stream(first)
    show_call(deployment.vms[-1])
    print(deployment.operate("status"))  # noqa: T201


if __name__ == "__main__":
    if "--installed" in sys.argv:
        run()
    else:
        set_up()
