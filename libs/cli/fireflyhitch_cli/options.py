"""Command-line parser."""

import argparse
import os
from pathlib import Path

ADMIN_VARIABLE = 'FIREFLYHITCH_ADMIN'
TOKEN_VARIABLE = 'FIREFLYHITCH_TOKEN'  # noqa: S105
AUTHORITY_VARIABLE = 'FIREFLYHITCH_AUTHORITY'

EPILOG = f"""\
exit codes:
  0  done
  1  the settings are wrong; each error is printed with file, line and key
  2  the command line is wrong
  3  another revision is in force than the one given; nothing was changed
  4  the daemon could not be reached or refused; nothing was changed
  5  no answer: the change may or may not be in force; look with `show`
  6  the report lacks failure domains that could not be asked

environment:
  {ADMIN_VARIABLE}      base URL of a daemon's admin interface
  {TOKEN_VARIABLE}      the operators' token
  {AUTHORITY_VARIABLE}  file with the authority of the daemons' certificates
"""


def make_parser() -> argparse.ArgumentParser:
    """Build the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog='fireflyhitch',
        description='Checks and applies configurations; reports on the daemons.',
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_connection(parser)
    parser.add_argument('--json', action='store_true', help='print JSON for programs')
    commands = parser.add_subparsers(dest='command', required=True, metavar='COMMAND')
    check = commands.add_parser('check', help='find every error in settings files')
    _add_paths(check)
    _add_apply(commands)
    commands.add_parser('show', help='print the configuration in force')
    commands.add_parser('status', help="print the daemon's state")
    commands.add_parser('moves', help='print the moves to other versions')
    report = commands.add_parser('report', help='print a report')
    report.add_argument('subject', choices=['burn'], help='service-level burn')
    report.add_argument('--html', metavar='FILE', help='also write a page with plots')
    _add_drain(commands)
    return parser


def read_token(options: argparse.Namespace) -> str:
    """Read the operators' token from its file or the environment."""
    if options.token_file is not None:
        return Path(options.token_file).read_text(encoding='utf-8').strip()
    return os.environ.get(TOKEN_VARIABLE, '')


def _add_connection(parser: argparse.ArgumentParser) -> None:
    # The token is not an option because command lines are visible in process lists.
    parser.add_argument(
        '--admin',
        metavar='URL',
        default=os.environ.get(ADMIN_VARIABLE),
        help="base URL of a daemon's admin interface",
    )
    parser.add_argument(
        '--token-file', metavar='FILE', help="file that holds the operators' token"
    )
    parser.add_argument(
        '--authority',
        metavar='FILE',
        default=os.environ.get(AUTHORITY_VARIABLE),
        help="authority of the daemons' certificates (PEM)",
    )


def _add_paths(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'paths', nargs='+', metavar='PATH', help='settings file or directory of them'
    )


def _add_apply(
    commands: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    apply = commands.add_parser('apply', help='put a configuration in force')
    _add_paths(apply)
    apply.add_argument(
        '--revision',
        type=int,
        required=True,
        help='the revision that you saw with `show`; 0 if there was none',
    )
    apply.add_argument(
        '--dry-run', action='store_true', help='only print what would change'
    )


def _add_drain(
    commands: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    drain = commands.add_parser('drain', help='let an instance end its work and leave')
    target = drain.add_mutually_exclusive_group(required=True)
    target.add_argument('--instance', help="a backend server's instance")
    target.add_argument(
        '--daemon', action='store_true', help='the daemon that is asked itself'
    )
