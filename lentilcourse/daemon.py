"""Entry point of the daemon `lentilcoursed`; matched by `client` for operators.

Reads the settings, starts the role that they name and runs until a stop signal.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from lentilcourse.admin import AdminServer
from lentilcourse.errors import LentilcourseError, SettingsError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import configure_logging, flush_logs, get_logger, lines_dropped
from lentilcourse.metrics import Metrics
from lentilcourse.options import Settings
from lentilcourse.plugins import load_plugin
from lentilcourse.roles import ROLE_PLUGINS, ProcessContext
from lentilcourse.settings_file import load_settings
from lentilcourse.streams import TRAFFIC, start_heartbeats

if TYPE_CHECKING:
    from lentilcourse.settings_reload import SettingsReload

EXIT_FAILED: Final = 1
EXIT_SETTINGS: Final = 2
SWITCH_INTERVAL_S: Final = 0.001
LOG_DELAY_S: Final = 2.0
"""Time from the first log event until lines are rendered, in which a process comes to serve."""

_log = get_logger(__name__)


def run(*, settings: str) -> None:
    """Run one process of the load balancer until SIGTERM or SIGINT.

    :param settings: INI file with the settings of this process
    """
    try:
        cfg = load_settings(settings)
    except SettingsError as exc:
        print(f"lentilcoursed: {exc}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if cfg.process.role == "operator":
        print(f"lentilcoursed: {settings}: role operator is for lentilcourse", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    sys.exit(run_process(cfg))


def run_process(cfg: Settings) -> int:
    """Start the role, wait for the stop signal and return the exit status."""
    configure_logging(
        process=cfg.process.name,
        role=cfg.process.role,
        level=cfg.process.log_level,
        delay_s=LOG_DELAY_S,
    )
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    load_plugin(cfg.process.role)
    lifecycle = Lifecycle()
    lifecycle.install_signal_handlers()
    lifecycle.on_reload(settings_reloader(cfg))
    metrics = Metrics(process=cfg.process.name, role=cfg.process.role, domain=cfg.process.domain)
    try:
        admin = AdminServer(address=cfg.process.admin_address, lifecycle=lifecycle)
        admin.add_metrics(metrics)
        exporter = AdminServer(address=cfg.process.metrics_address, lifecycle=lifecycle)
        exporter.add_metrics(metrics)
        context = ProcessContext(settings=cfg, lifecycle=lifecycle, metrics=metrics, admin=admin)
        metrics.counter("lentilcourse.log_lines.dropped", lines_dropped)
        start_heartbeats(lifecycle)
        metrics.counters_of("lentilcourse.stream_bytes", TRAFFIC)
        ROLE_PLUGINS.get(cfg.process.role)(context)
        admin.start()
        exporter.start()
    except (LentilcourseError, OSError) as exc:
        _log.error("start_failed", error=str(exc))
        flush_logs()
        lifecycle.stopped.set()
        return EXIT_FAILED
    _keep_start_out_of_collections()
    lifecycle.run_until_stopped()
    flush_logs()
    return EXIT_FAILED if lifecycle.failed else 0


def settings_reloader(cfg: Settings) -> Callable[[], None]:
    """Return the step that takes changed settings in force."""
    reloads: list[SettingsReload] = []

    def reload() -> None:
        from lentilcourse.settings_reload import SettingsReload  # noqa: PLC0415 - rarely needed

        if not reloads:
            reloads.append(SettingsReload(cfg=cfg))
        reloads[0].run()

    return reload


def _keep_start_out_of_collections() -> None:
    """Let the garbage collector work from here on, on what is made from here on."""
    gc.freeze()
    gc.enable()


def main() -> None:
    """Parse the command line and run."""
    import defopt  # noqa: PLC0415 - not needed where a supervisor calls `run_process`

    defopt.run(run)


if __name__ == "__main__":
    main()
