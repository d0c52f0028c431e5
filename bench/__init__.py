"""Measurements: each module prints a table and runs with ``python -m bench.NAME``."""
