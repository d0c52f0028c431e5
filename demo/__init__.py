"""Demonstration that runs a small, complete deployment on this machine."""
