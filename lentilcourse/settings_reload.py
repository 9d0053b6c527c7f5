"""Takes changed settings in force on SIGHUP, or says which ones need a restart.

A settings file that is refused changes nothing: the process goes on with the settings in force.
"""

from __future__ import annotations

from typing import Any, Final

import attrs

from lentilcourse.errors import SettingsError
from lentilcourse.logs import get_logger, set_log_level
from lentilcourse.options import Settings
from lentilcourse.settings_file import load_settings

RELOADABLE: Final = frozenset({"discovery.seeds", "process.log_level"})
"""Settings that take effect while the process runs; the seeds are read anew at each use."""

_log = get_logger(__name__)


@attrs.frozen(kw_only=True)
class ReloadResult:
    """Outcome of a reload.

    Attributes:
        taken: changed settings that are in force now, as SECTION.KEY.
        need_restart: changed settings that take effect at the next start.
        error: why the file was refused; empty if it was not.
    """

    taken: tuple[str, ...] = ()
    need_restart: tuple[str, ...] = ()
    error: str = ""


class SettingsReload:
    """Compares the settings file with the settings that a process was started with."""

    def __init__(self, *, cfg: Settings) -> None:
        self._started = cfg
        self._current = cfg

    def run(self) -> ReloadResult:
        """Read the file again and apply what can be applied."""
        try:
            cfg = load_settings(self._started.file)
        except SettingsError as exc:
            _log.error("settings_refused", error=str(exc))
            return ReloadResult(error=str(exc))
        taken = changed_settings(self._current, cfg) & RELOADABLE
        need_restart = changed_settings(self._started, cfg) - RELOADABLE
        self._current = cfg
        set_log_level(cfg.process.log_level)
        result = ReloadResult(taken=tuple(sorted(taken)), need_restart=tuple(sorted(need_restart)))
        _log.info("settings_reloaded", taken=result.taken, need_restart=result.need_restart)
        return result


def changed_settings(before: Settings, after: Settings) -> set[str]:
    """Return the settings that differ, as SECTION.KEY; values are not told, some are keys."""
    old, new = _flat(attrs.asdict(before)), _flat(attrs.asdict(after))
    return {name for name in old.keys() | new.keys() if old.get(name) != new.get(name)}


def _flat(sections: dict[str, Any]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for section, value in sections.items():
        if isinstance(value, dict):
            found.update({f"{section}.{key}": each for key, each in value.items()})
        else:
            found[section] = value
    return found
