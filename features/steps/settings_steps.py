"""Steps on settings files."""

from __future__ import annotations

import configparser
import subprocess
import sys

from behave import given, then, when

from lentilcourse.errors import SettingsError
from lentilcourse.lab.shapes import SAMAHAN, Layout, write_files
from lentilcourse.settings_file import load_settings
from lentilcourse.settings_reload import ReloadResult, SettingsReload


@given('the settings of "{process}"')
def settings_of(context, process):
    """Write the settings of one process."""
    layout = Layout(shape=SAMAHAN, prefix=context.prefix, folder=str(context.folder / "data"))
    write_files(layout, context.folder)
    context.file = context.folder / f"{process}.ini"
    load_settings(str(context.file))


def rewrite(context, edit):
    """Change the settings file in place."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(context.file)
    edit(parser)
    with open(context.file, "w", encoding="utf-8") as handle:
        parser.write(handle)


@when('"{section}" "{key}" is set to "{value}"')
def set_value(context, section, key, value):
    """Set one key."""

    def edit(parser):
        if not parser.has_section(section):
            parser.add_section(section)
        parser.set(section, key, value)

    rewrite(context, edit)


@when('"{section}" loses "{key}"')
def lose_value(context, section, key):
    """Remove a key, or the whole section for "*"."""

    def edit(parser):
        if key == "*":
            parser.remove_section(section)
        else:
            parser.remove_option(section, key)

    rewrite(context, edit)


@then('the settings are refused naming "{section}", "{key}" and "{text}"')
def settings_refused(context, section, key, text):
    """Check the one error."""
    try:
        load_settings(str(context.file))
    except SettingsError as exc:
        line = str(exc)
    else:
        raise AssertionError("the settings were taken")
    wanted = [str(context.file), f"[{section}]", "" if key == "*" else key, text]
    for part in wanted:
        assert part in line, (part, line)


@then('the settings are refused naming "{section}", "" and "{text}"')
def section_refused(context, section, text):
    """Check an error that names no key."""
    settings_refused(context, section, "", text)


@then("the daemon exits with status 2 and one line that names the file")
def daemon_exits(context):
    """Run the daemon on the wrong settings."""
    command = [sys.executable, "-m", "lentilcourse.daemon", "--settings", str(context.file)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    assert done.returncode == 2, done
    lines = done.stderr.strip().splitlines()
    assert len(lines) == 1 and str(context.file) in lines[0], done.stderr
    assert not (context.folder / "data").exists()


@given("the process was started with them")
def started(context):
    """Keep the settings as a process that runs has them."""
    context.reload = SettingsReload(cfg=load_settings(str(context.file)))
    context.unchanged = context.file.read_text(encoding="utf-8")


@then('a reload takes "{taken}" and names "{restart}" for a restart')
def reloads(context, taken, restart):
    """Reload twice: what was taken is in force then, what needs a restart is named again."""
    first, second = context.reload.run(), context.reload.run()
    assert first.taken == tuple(filter(None, [taken])), first
    assert first.need_restart == tuple(filter(None, [restart])), first
    assert second.taken == () and second.need_restart == first.need_restart, second


@then('a reload takes "" and names "{restart}" for a restart')
def reloads_nothing(context, restart):
    """Reload a file of which nothing can be taken."""
    reloads(context, "", restart)


@then('a reload takes "{taken}" and names "" for a restart')
def reloads_all(context, taken):
    """Reload a file of which everything is taken."""
    reloads(context, taken, "")


@then('a reload is refused naming "{section}" and "{key}", and the next one takes nothing')
def reload_refused(context, section, key):
    """Reload a wrong file, then the one that the process was started with."""
    refused = context.reload.run()
    assert section in refused.error and key in refused.error, refused
    assert (refused.taken, refused.need_restart) == ((), ())
    context.file.write_text(context.unchanged, encoding="utf-8")
    assert context.reload.run() == ReloadResult()
