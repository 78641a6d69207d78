"""A deployment of real processes for the tests."""

from __future__ import annotations

import json
import pathlib

import deployment as deployment_module

TOKENS = {
    "none": "",
    "caller": "token-kahikatea",
    "operator": deployment_module.OPERATOR_TOKEN,
}
CHAT = {
    "model": "assistant",
    "max_tokens": 5,
    "messages": [{"role": "user", "content": "Is our line lead?"}],
}


def send_chat(vm, body=None, **headers):
    """Sends a chat completion through an entry."""
    return deployment_module.call(
        "POST",
        f"{vm.url}/v1/chat/completions",
        token=TOKENS["caller"],
        body=json.dumps(body or CHAT).encode(),
        headers=headers,
    )


SERVICE = (
    *("service", "apply", "assistant", "--model-name", "lead"),
    *("--version", "1", "--replicas", "6", "--group-size", "2"),
)


def start(folder: pathlib.Path) -> deployment_module.Deployment:
    """Starts three zones with their backend servers, unconfigured."""
    deployment = deployment_module.Deployment(folder)
    try:
        deployment.start_system()
        weights_url = deployment.start_weights()
        for zone in deployment.zones:
            deployment.start_engines(
                zone, vms=6, domain_size=6, weights_url=weights_url
            )
        deployment.plain_url = deployment.start_plain(
            deployment.zones[1], "dispatch"
        )
        deployment_module.wait_until(
            lambda: (
                len(deployment.get_status()["controls"]) == len(deployment.vms)
            ),
            "all control processes report their status",
        )
    except BaseException:
        deployment.stop()
        raise
    return deployment


def configure(deployment: deployment_module.Deployment) -> None:
    """Activates a preset and waits until all replicas serve."""
    deployment.operate("cluster", "init", "test")
    deployment.operate(*SERVICE)
    deployment.operate(
        "service", "apply", "dispatch", "--plain", "--non-idempotent"
    )
    shares = [f"assistant/{zone}=2" for zone in deployment.zones]
    deployment.operate("preset", "apply", "ordinary", "--share", *shares)
    deployment.operate("preset", "apply", "maintenance")
    deployment.operate("preset", "switch", "ordinary")
    wait_until_serving(deployment)


def wait_until_serving(deployment: deployment_module.Deployment) -> None:
    """Waits until all replicas serve and all entries are ready."""
    deployment_module.wait_until(
        lambda: deployment.count_serving("assistant") == 6, "replicas serve"
    )
    deployment_module.wait_until(
        lambda: all(map(deployment.is_ready, deployment.vms)), "entries ready"
    )
