"""Randomized soak: real programs as processes, faults from outside, and checks."""
