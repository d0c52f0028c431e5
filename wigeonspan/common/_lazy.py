"""Lazy loading of the modules behind a package's public names."""

import sys
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


def load_on_use(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a ``__getattr__`` that imports a package's modules at their first use.

    Hundreds of entry processes start at the same time after a power loss, so a process
    should not spend time or memory on modules that it does not use.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping
        Private module that defines each public name.

    Returns
    -------
    callable
        Function to assign to ``__getattr__`` in the package's ``__init__`` module.
    """

    def load(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return load
