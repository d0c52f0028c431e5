"""Tests of tenants and their keys."""
