"""Entry point of the ``fireflyhitch`` program."""

import argparse
import ssl
import sys
from collections.abc import Callable, Sequence

from fireflyhitch_cli.admin_client import AdminAddress, AdminClient, AdminError
from fireflyhitch_cli.commands import (
    ExitCode,
    apply,
    check,
    drain,
    moves,
    print_settings_errors,
    report,
    show,
    status,
)
from fireflyhitch_cli.options import ADMIN_VARIABLE, make_parser, read_token
from fireflyhitch_model.states import Outcome
from fireflyhitch_settings.errors import SettingsErrors

Command = Callable[[argparse.Namespace, AdminClient], ExitCode]

_COMMANDS: dict[str, Command] = {
    'apply': apply,
    'show': show,
    'status': status,
    'moves': moves,
    'report': report,
    'drain': drain,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    :param arguments: the command line without the program's name; defaults to
        that of the process.
    :returns: an :class:`ExitCode`.
    """
    parser = make_parser()
    options = parser.parse_args(arguments)
    try:
        return _run(parser, options)
    except SettingsErrors as errors:
        print_settings_errors(options, errors)
        return ExitCode.WRONG_SETTINGS
    except AdminError as error:
        print(error, file=sys.stderr)
        if error.outcome is Outcome.UNKNOWN and options.command in {'apply', 'drain'}:
            print('it may have taken effect', file=sys.stderr)
            return ExitCode.UNKNOWN
        return ExitCode.NOT_DONE


def _run(parser: argparse.ArgumentParser, options: argparse.Namespace) -> ExitCode:
    if options.command == 'check':
        return check(options)
    if not options.admin:
        parser.error(f'give --admin or set {ADMIN_VARIABLE}')
    try:
        client = _connect(options)
    except OSError as error:
        parser.error(str(error))
    return _COMMANDS[options.command](options, client)


def _connect(options: argparse.Namespace) -> AdminClient:
    tls = None
    if options.authority is not None:
        tls = ssl.create_default_context(cafile=options.authority)
    return AdminClient(AdminAddress(options.admin, read_token(options), tls))


if __name__ == '__main__':
    sys.exit(main())
