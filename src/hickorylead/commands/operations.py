"""The commands of operators."""

from __future__ import annotations

import pathlib
import sys

import orjson

from hickorylead import errors
from hickorylead.commands import client as client_module, tables
from hickorylead.configuration import changes, model
from hickorylead.telemetry import losses, stories


def apply_service(
    name: str,
    *,
    model_name: str = "",
    version: str = "",
    adapter: list[str] = [],  # noqa: B006 - the library wants a list
    replicas: int = 1,
    group_size: int = 1,
    rank: int = 0,
    plain: bool = False,
    non_idempotent: bool = False,
    expected_version: int | None = None,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """Create a service, or replace the one of the same name.

    Args:
        name: What callers put into `model`, or the first part of the path.
        model_name: Model name in the weight store.
        version: Model version.
        adapter: Adapter to load beside the model; may be repeated.
        replicas: Replicas in all zones together [default: 1].
        group_size: VMs in one replica group [default: 1].
        rank: Order of loads when there are too few VMs; 0 first [default: 0].
        plain: It is a plain service, routed by path.
        non_idempotent: Its calls may run at most once.
        expected_version: Version the change is made against [default: now].
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    service = model.Service(
        name=name,
        kind=model.KIND_PLAIN if plain else model.KIND_MODEL,
        model=model_name,
        version=version,
        adapters=tuple(adapter),
        replicas=replicas,
        group_size=group_size,
        rank=rank,
        non_idempotent=non_idempotent,
    )
    operation = changes.ApplyService(service)
    _submit(operation, expected_version, entry, token)


def delete_service(
    name: str,
    *,
    expected_version: int | None = None,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """Remove a service that no preset names.

    Args:
        name: The service.
        expected_version: Version the change is made against [default: now].
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    _submit(changes.DeleteService(name), expected_version, entry, token)


def list_services(
    *,
    json: bool = False,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """List the services.

    Args:
        json: Print JSON for programs.
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    client = client_module.Client(entry=entry, token=token)
    if json:
        _print_json(client.get("/admin/configuration")["services"])
    else:
        _print(tables.render_services(client.get_configuration()))


def apply_preset(
    name: str,
    *,
    share: list[str] = [],  # noqa: B006 - the library wants a list
    expected_version: int | None = None,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """Create a preset, or replace the one of the same name.

    Args:
        name: The preset.
        share: Replicas of a service in a zone, as service/zone=count; may be
            repeated.
        expected_version: Version the change is made against [default: now].
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    shares = tuple(_read_share(text) for text in share)
    operation = changes.ApplyPreset(model.Preset(name, shares))
    _submit(operation, expected_version, entry, token)


def switch_preset(
    name: str,
    *,
    expected_version: int | None = None,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """Put a preset in force; work in flight is not cut.

    Args:
        name: The preset.
        expected_version: Version the change is made against [default: now].
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    _submit(changes.SwitchPreset(name), expected_version, entry, token)


def list_presets(
    *,
    json: bool = False,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """List the presets and which one is in force.

    Args:
        json: Print JSON for programs.
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    client = client_module.Client(entry=entry, token=token)
    if json:
        found = client.get("/admin/configuration")
        _print_json({"preset": found["preset"], "presets": found["presets"]})
    else:
        _print(tables.render_presets(client.get_configuration()))


def drain(
    vm: str,
    *,
    undo: bool = False,
    expected_version: int | None = None,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """Leave a backend server's VM empty; its group is replaced first.

    Args:
        vm: The VM.
        undo: Let the VM be used again.
        expected_version: Version the change is made against [default: now].
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    _submit(changes.DrainVm(vm, not undo), expected_version, entry, token)


def show_status(
    *,
    json: bool = False,
    groups: bool = False,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """Show zones, services, leases and versions.

    Args:
        json: Print JSON for programs.
        groups: Show every replica group too.
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    found = client_module.Client(entry=entry, token=token).get("/admin/status")
    if json:
        _print_json(found)
    else:
        _print(tables.render_status(found, with_groups=groups))


def explain(
    request_id: str,
    *,
    json: bool = False,
    logs: list[str] | None = None,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """Show what happened to a request: replicas weighed, attempts, verdicts.

    Args:
        request_id: The id from the Request-Id header or the problem; with
            logs, a caller's id of its attempt will do.
        json: Print JSON for programs.
        logs: Files with the lines of gateways and coordinators; what they
            tell is joined, and no process is asked.
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    if logs:
        _explain_from_logs(request_id, logs)
        return
    client = client_module.Client(entry=entry, token=token)
    found = client.get(f"/admin/requests/{request_id}")
    if json:
        _print_json(found)
    else:
        _print(tables.render_trail(request_id, found))


def show_losses(logs: list[str]) -> None:
    """Show what callers lost over a stretch of logs, by cause.

    Args:
        logs: Files with the lines of gateways and coordinators.
    """
    if not logs:
        raise errors.SettingsError("losses: name the files of the logs")
    found = losses.find_losses(_read_logs(logs))
    if not found.requests:
        raise errors.RefusedError("no line of these logs tells of a request")
    _print(losses.render_losses(found).rstrip("\n"))


def _read_logs(paths: list[str]) -> list[str]:
    try:
        return [
            pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
            for path in paths
        ]
    except OSError as error:
        raise errors.SettingsError(f"a log cannot be read: {error}") from error


def _explain_from_logs(wanted: str, paths: list[str]) -> None:
    story = stories.tell_story(_read_logs(paths), wanted)
    _print(stories.render_story(story).rstrip("\n"))
    if story.unreadable:
        sys.stderr.write(f"{story.unreadable} lines are no decisions\n")
    if not story.lines:
        raise errors.RefusedError(f"no log tells of {wanted}")


def init_cluster(
    cluster: str, *, entry: str | None = None, token: str | None = None
) -> None:
    """Start the configuration log, once in the life of a deployment.

    Args:
        cluster: A name for the deployment.
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    client = client_module.Client(entry=entry, token=token)
    answer = client.post(f"/admin/cluster/{cluster}")
    if answer.status != 200:
        raise errors.RefusedError(str(answer.body.get("detail")))
    _print(f"cluster {cluster}: {answer.body.get('detail')}")


def _submit(
    operation: changes.Operation,
    expected_version: int | None,
    entry: str | None,
    token: str | None,
) -> None:
    client = client_module.Client(entry=entry, token=token)
    version = client.submit(operation, expected_version)
    _print(f"accepted as version {version}")


def _read_share(text: str) -> model.Share:
    place, _, count = text.partition("=")
    service, _, zone = place.partition("/")
    if not service or not zone or not count.isdecimal():
        raise errors.SettingsError(
            f"--share: {text!r} is not service/zone=count"
        )
    return model.Share(service, zone, int(count))


def _print(text: str) -> None:
    sys.stdout.write(text + "\n")


def _print_json(found: object) -> None:
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    _print(orjson.dumps(found, option=options).decode())
