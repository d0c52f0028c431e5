"""Simulations that play load patterns against the placement decisions of the entries.

An entry is a process that accepts requests and chooses engines for them. Its real
decision code runs on a manual clock against a model of the engines.
"""
