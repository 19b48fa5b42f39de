"""The daemon's program."""

import argparse
import gc
import json
import signal
import sys
import threading
from collections.abc import Sequence
from pathlib import Path
from types import FrameType

from loguru import logger

from fireflyhitch_daemon.process import DaemonProcess
from fireflyhitch_model.clock import SystemClock
from fireflyhitch_settings.errors import SettingsErrors
from fireflyhitch_settings.loader import load_daemon_settings
from fireflyhitch_telemetry.logs import configure_logs

EXIT_SETTINGS = 2
# A shorter switch interval lets the relay's thread get the interpreter lock soon
# after a chunk arrives while other threads parse requests.
SWITCH_SECONDS = 0.001
GC_YOUNG = 20000
GC_MIDDLE = 20
GC_OLD = 50


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a daemon until SIGTERM.

    :returns: 0 after a graceful stop, 2 if the settings are wrong.
    """
    parser = argparse.ArgumentParser(prog='fireflyhitchd', description=__doc__)
    parser.add_argument('settings', type=Path, help="the daemon's settings file")
    parsed = parser.parse_args(arguments)
    try:
        settings = load_daemon_settings(parsed.settings)
    except SettingsErrors as errors:
        lines = '\n'.join(map(str, errors.exceptions))
        sys.stderr.write(f'{lines}\n')
        return EXIT_SETTINGS
    configure_logs(settings.log_level)
    sys.setswitchinterval(SWITCH_SECONDS)
    try:
        process = DaemonProcess(settings, SystemClock())
    except OSError as error:
        logger.bind(error=repr(error)).error('cannot listen')
        return EXIT_SETTINGS
    stop_on_signals(process.stop_requested)
    signal.signal(signal.SIGHUP, lambda *_: process.reload_tls())
    process.start()
    _tune_garbage_collector()
    print(json.dumps(process.describe()), flush=True)  # noqa: WPS421
    process.stop_requested.wait()
    logger.info('stopping')
    process.stop()
    return 0


def _tune_garbage_collector() -> None:
    """Exclude objects that live as long as the process from garbage collection.

    A full collection over all imported modules holds the interpreter lock for
    some tens of milliseconds, a visible gap in every open stream.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG, GC_MIDDLE, GC_OLD)


def stop_on_signals(stop: threading.Event) -> None:
    """Set an event on SIGTERM and SIGINT."""

    def request_stop(number: int, frame: FrameType | None) -> None:
        stop.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)


if __name__ == '__main__':
    sys.exit(main())
