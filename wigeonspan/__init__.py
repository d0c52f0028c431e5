"""Serve language models on a fixed fleet of engines while the mix shifts."""
