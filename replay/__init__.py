"""Replays of load against the decisions of the entries, on a manual clock."""
