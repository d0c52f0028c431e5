"""Randomized soak test: runs the real programs under random external faults.

The checks compare what callers, targets and operators saw with the guarantees.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
"""Folder of the repository."""

# ``adapter`` and ``standin`` are not part of the product's package; they are imported
# from the folder ``platform``.
sys.path[:0] = [str(ROOT / "platform"), str(ROOT)]
