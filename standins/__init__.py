"""Stand-ins for the systems around wigeonspan, for tests, demo and benchmarks.

They implement the published protocols and are not part of the serving system.
"""
