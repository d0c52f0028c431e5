"""Tests of the replicated state of control hosts."""
