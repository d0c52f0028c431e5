"""Set-up of the command lines over fire."""

import os
import sys
from typing import Any

import fire
from fire import decorators


def run_commands(commands: Any, name: str) -> None:
    """Run the command that the arguments of the process name.

    Parameters
    ----------
    commands : type
        Class whose public methods are the commands; it must be callable without
        arguments.
    name : str
        Name of the program.

    Raises
    ------
    SystemExit
        With 2 on wrong usage and 0 when help was asked for.
    """
    # fire would start a pager for its help; a process of the system starts no other.
    os.environ["PAGER"] = "-"
    arguments = sys.argv[1:]
    asks_help = "--help" in arguments or "-h" in arguments
    # fire's help of a class leaves out its commands; that of an instance has them.
    plain = not arguments or arguments in (["--help"], ["-h"])
    component = commands() if plain else commands
    try:
        fire.Fire(component, command=["--help"] if plain else arguments, name=name)
    except SystemExit as end:
        if asks_help and end.code == 2:
            raise SystemExit(0) from None
        raise


def take_text(function: Any) -> Any:
    """Make fire pass all arguments of a function or class as they were typed.

    Without this, fire turns a name such as ``7`` or ``a,b`` into a number or a tuple.
    """
    # fire keeps this under a public name and would list it as a command.
    decorators.FIRE_METADATA = "_fire_metadata"
    return decorators.SetParseFn(str)(function)
