"""Randomized soak: real programs under random faults from outside, and checks."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
"""Folder of the repository."""

# The adapter and the stand-in are no packages of the product.
sys.path[:0] = [str(ROOT / "platform"), str(ROOT)]
