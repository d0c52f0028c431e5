"""Launcher that runs a whole small deployment on this machine."""
