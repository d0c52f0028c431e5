"""Benchmarks. Run one that prints results with ``python -m bench.NAME``."""
