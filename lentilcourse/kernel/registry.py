"""A registry in which plug-ins enter themselves when their module is imported.

Each kind of plug-in (process role, delivery, operators' command) is one `Registry`. The
kernel looks plug-ins up by name and never imports one itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from lentilcourse import error_texts
from lentilcourse.errors import RegistryError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named plug-ins of one kind."""

    def __init__(self, *, kind: str) -> None:
        self._kind = kind
        self._plugins: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that enters its argument under `name`."""

        def enter(plugin: T) -> T:
            if name in self._plugins:
                raise RegistryError(error_texts.PLUGIN_TWICE.format(kind=self._kind, name=name))
            self._plugins[name] = plugin
            return plugin

        return enter

    def get(self, name: str) -> T:
        """Return the plug-in entered under `name`."""
        try:
            return self._plugins[name]
        except KeyError:
            known = ", ".join(sorted(self._plugins))
            text = error_texts.PLUGIN_UNKNOWN.format(kind=self._kind, name=name, known=known)
            raise RegistryError(text) from None

    def names(self) -> Iterator[str]:
        """Yield the names of all plug-ins in order."""
        yield from sorted(self._plugins)
