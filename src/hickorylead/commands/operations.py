"""The operators' commands."""

from __future__ import annotations

import pathlib
import sys

import orjson

from hickorylead import errors
from hickorylead.commands import client as client_module, tables
from hickorylead.configuration import changes, model
from hickorylead.telemetry import losses, timelines


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
        adapter: Adapter to load with the model; may be repeated.
        replicas: Total number of replicas in all zones [default: 1].
        group_size: VMs in one replica group [default: 1].
        rank: Order of loads if there are too few VMs; 0 is first [default: 0].
        plain: Make it a plain service, routed by path.
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
    """Remove a service that no preset uses.

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
    shares = tuple(_parse_share(text) for text in share)
    operation = changes.ApplyPreset(model.Preset(name, shares))
    _submit(operation, expected_version, entry, token)


def switch_preset(
    name: str,
    *,
    expected_version: int | None = None,
    entry: str | None = None,
    token: str | None = None,
) -> None:
    """Put a preset in force; requests in flight are not interrupted.

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
    """Drain the VM of a backend server; its group is replaced first.

    Args:
        vm: The VM.
        undo: Undo the drain, so that the VM is used again.
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
        groups: Also show every replica group.
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
            logs, the id that a caller gave its attempt can be used instead.
        json: Print JSON for programs.
        logs: Log files of gateways and coordinators to read the timeline
            from, without a request to an entry.
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
    """Show late, refused and aborted requests in logs, by cause.

    Args:
        logs: Log files of gateways and coordinators.
    """
    if not logs:
        raise errors.SettingsError("losses: at least one log file is required")
    found = losses.find_losses(_read_logs(logs))
    if not found.requests:
        raise errors.RefusedError("no request ended in these logs")
    _print(losses.render_losses(found).rstrip("\n"))


def _read_logs(paths: list[str]) -> list[str]:
    try:
        return [
            pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
            for path in paths
        ]
    except OSError as error:
        raise errors.SettingsError(
            f"cannot read a log file: {error}"
        ) from error


def _explain_from_logs(wanted_id: str, paths: list[str]) -> None:
    timeline = timelines.find_timeline(_read_logs(paths), wanted_id)
    _print(timelines.render_timeline(timeline).rstrip("\n"))
    if timeline.malformed:
        sys.stderr.write(f"{timeline.malformed} lines are no decisions\n")
    if not timeline.lines:
        raise errors.RefusedError(f"no log mentions {wanted_id}")


def init_cluster(
    cluster: str, *, entry: str | None = None, token: str | None = None
) -> None:
    """Start the configuration log; done once for each deployment.

    Args:
        cluster: A name for the deployment.
        entry: URL of an entry [HICKORYLEAD_ENTRY].
        token: Operators' token [HICKORYLEAD_OPERATOR_TOKEN].
    """
    client = client_module.Client(entry=entry, token=token)
    response = client.post(f"/admin/cluster/{cluster}")
    if response.status != 200:
        raise errors.RefusedError(str(response.body.get("detail")))
    _print(f"cluster {cluster}: {response.body.get('detail')}")


def _submit(
    operation: changes.Operation,
    expected_version: int | None,
    entry: str | None,
    token: str | None,
) -> None:
    client = client_module.Client(entry=entry, token=token)
    version = client.submit(operation, expected_version)
    _print(f"accepted as version {version}")


def _parse_share(text: str) -> model.Share:
    target, _, count = text.partition("=")
    service, _, zone = target.partition("/")
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
