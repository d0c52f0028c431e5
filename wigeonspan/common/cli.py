"""Shared functions of the command lines that are built with fire."""

import os
import sys
from typing import Any

import fire
from fire import decorators


def run_commands(commands: Any, name: str) -> None:
    """Run the command given by the arguments of the process.

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
        With code 2 for invalid usage and 0 when help was requested.
    """
    # Keep fire from starting a pager process to show its help.
    os.environ["PAGER"] = "-"
    arguments = sys.argv[1:]
    help_requested = "--help" in arguments or "-h" in arguments
    # fire lists the commands in its help of an instance, but not of a class.
    shows_overview = not arguments or arguments in (["--help"], ["-h"])
    component = commands() if shows_overview else commands
    try:
        fire.Fire(
            component, command=["--help"] if shows_overview else arguments, name=name
        )
    except SystemExit as exit_error:
        if help_requested and exit_error.code == 2:
            raise SystemExit(0) from None
        raise


def parse_as_strings(function: Any) -> Any:
    """Make fire pass all arguments of a function or class as strings.

    By default, fire converts a name such as ``7`` or ``a,b`` to a number or a tuple.
    """
    # fire stores this under a public name by default and would list it as a command.
    decorators.FIRE_METADATA = "_fire_metadata"
    return decorators.SetParseFn(str)(function)
