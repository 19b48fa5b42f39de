"""Implementations of the commands; each prints its result and returns an exit code."""

import argparse
import json
import secrets
import sys
from enum import IntEnum
from pathlib import Path
from typing import Any

from fireflyhitch_cli.admin_client import (
    AdminClient,
    Applied,
    ApplyConflict,
    Change,
    Document,
    StoredConfiguration,
)
from fireflyhitch_cli.rendering import (
    join_lines,
    render_difference,
    render_json,
    render_text,
)
from fireflyhitch_model.ids import ChangeId, InstanceId, Revision
from fireflyhitch_settings.errors import SettingsErrors
from fireflyhitch_settings.loader import load_configuration
from fireflyhitch_telemetry.burn_report import render_html
from fireflyhitch_telemetry.burn_report import render_json as burn_json
from fireflyhitch_telemetry.burn_report import render_text as burn_text

CHANGE_ID_BYTES = 16


class ExitCode(IntEnum):
    """Exit codes, which are part of the tool's public interface."""

    DONE = 0
    WRONG_SETTINGS = 1
    USAGE = 2
    CONFLICT = 3
    NOT_DONE = 4
    UNKNOWN = 5
    INCOMPLETE = 6


def check(options: argparse.Namespace) -> ExitCode:
    """Report every error in settings files, without contacting a daemon."""
    configuration = load_configuration(options.paths)
    counts = {
        'deployments': len(configuration.deployments),
        'customers': len(configuration.customers),
        'errors': [],
    }
    if options.json:
        print(render_json(counts))
    else:
        print(
            f'no errors: {counts["deployments"]} deployments, '
            f'{counts["customers"]} customers'
        )
    return ExitCode.DONE


def apply(options: argparse.Namespace, client: AdminClient) -> ExitCode:
    """Apply settings files if the given revision is still the current one."""
    configuration = load_configuration(options.paths).model_dump(mode='json')
    if options.dry_run:
        return _show_dry_run(options, client.read_configuration(), configuration)
    change = Change(
        ChangeId(secrets.token_hex(CHANGE_ID_BYTES)),
        Revision(options.revision),
        configuration,
    )
    applied = client.apply(change)
    if isinstance(applied, ApplyConflict):
        return _show_conflict(options, applied.in_force, configuration)
    _print_applied(options, applied)
    return ExitCode.DONE


def show(options: argparse.Namespace, client: AdminClient) -> ExitCode:
    """Print the current configuration and its revision."""
    stored = client.read_configuration()
    if options.json:
        print(render_json(stored.model_dump(mode='json')))
    else:
        # Same form as in settings files, so that parts can be copied.
        print(f'revision: {stored.revision}')
        print(json.dumps(stored.configuration, ensure_ascii=False, indent=2))
    return ExitCode.DONE


def status(options: argparse.Namespace, client: AdminClient) -> ExitCode:
    """Print the daemon's state."""
    _print_document(options, client.read_status())
    return ExitCode.DONE


def moves(options: argparse.Namespace, client: AdminClient) -> ExitCode:
    """Print the version moves."""
    _print_document(options, client.read_moves())
    return ExitCode.DONE


def report(options: argparse.Namespace, client: AdminClient) -> ExitCode:
    """Print a report over all reachable daemons."""
    burn = client.read_burn()
    if options.html is not None:
        Path(options.html).write_text(render_html(burn), encoding='utf-8')
    print(burn_json(burn) if options.json else burn_text(burn))
    if not burn.unreached:
        return ExitCode.DONE
    print(f'could not be asked: {", ".join(burn.unreached)}', file=sys.stderr)
    return ExitCode.INCOMPLETE


def drain(options: argparse.Namespace, client: AdminClient) -> ExitCode:
    """Drain a backend server's instance or the contacted daemon."""
    instance = None if options.daemon else InstanceId(options.instance)
    result = client.drain(instance)
    _print_document(options, result or {'draining': instance or client.url})
    return ExitCode.DONE


def print_settings_errors(options: argparse.Namespace, errors: SettingsErrors) -> None:
    """Print every error, one per line."""
    if options.json:
        lines = [str(error) for error in errors.exceptions]
        print(render_json({'errors': lines}))
        return
    for error in errors.exceptions:
        print(error, file=sys.stderr)
    print(errors.message, file=sys.stderr)


def _show_dry_run(
    options: argparse.Namespace, in_force: StoredConfiguration, desired: Document
) -> ExitCode:
    lines = _list_difference(in_force, desired)
    if options.json:
        document = {'revision': in_force.revision, 'difference': lines}
        print(render_json(document))
    else:
        print(join_lines(lines) or 'no change')
    if options.revision == in_force.revision:
        return ExitCode.DONE
    return ExitCode.CONFLICT


def _show_conflict(
    options: argparse.Namespace, in_force: StoredConfiguration, desired: Document
) -> ExitCode:
    message = (
        f'revision {in_force.revision} is in force, not {options.revision}; '
        'nothing was changed'
    )
    if options.json:
        conflict: dict[str, Any] = in_force.model_dump(mode='json')
        print(render_json({'error': message, **conflict, 'yours': desired}))
        return ExitCode.CONFLICT
    print(message, file=sys.stderr)
    lines = _list_difference(in_force, desired)
    print(join_lines(lines) or 'yours is the same as the one in force')
    return ExitCode.CONFLICT


def _list_difference(in_force: StoredConfiguration, desired: Document) -> list[str]:
    name = f'in force (revision {in_force.revision})'
    old = in_force.configuration or {}
    return list(render_difference(old, desired, name, 'yours'))


def _print_applied(options: argparse.Namespace, applied: Applied) -> None:
    if options.json:
        print(render_json({'revision': applied.revision}))
    else:
        print(f'in force as revision {applied.revision}')


def _print_document(options: argparse.Namespace, document: Document) -> None:
    print(render_json(document) if options.json else render_text(document))
