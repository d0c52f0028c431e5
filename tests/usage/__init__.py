"""Tests of metered use."""
