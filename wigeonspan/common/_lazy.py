"""Names of a package whose modules are loaded when they are used first."""

import sys
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


def load_on_use(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a ``__getattr__`` for a package.

    Hundreds of entries start at the same time after a loss of power; what a program
    does not use should cost it neither time nor memory.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping
        Private module of each name.
    """

    def load(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return load
