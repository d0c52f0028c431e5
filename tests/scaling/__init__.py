"""Tests of the number of replicas."""
