from pathlib import Path

import msgspec

from wigeonspan.catalog import CatalogObject
from wigeonspan.operators._fields import _STRUCT_BY_KIND
from wigeonspan.operators.generated import wigeonspan_pb2 as pb

PAGE = Path(__file__).resolve().parents[2] / "docs" / "operators.md"


def test_page_lists_every_default():
    """Guard against documented defaults that differ from those of the code."""
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    expected = []
    for kind, struct in _STRUCT_BY_KIND.items():
        for field in msgspec.structs.fields(struct):
            default = b"" if field.required else msgspec.json.encode(field.default)
            default_cell = f"`{default.decode()}`" if default else ""
            if field.name != "version":
                expected.append(f"| `{kind}` | `{field.name}` | {default_cell} |")
    assert [row for row in rows if row.count("|") == 4 and row in expected] == expected


def test_schema_has_the_fields_of_every_object():
    """Guard against a struct field missing from the schema, which loses its value."""
    for struct in CatalogObject.__args__:
        tag = str(struct.__struct_config__.tag)
        message = pb.CatalogObject.DESCRIPTOR.fields_by_name[tag].message_type
        names = {field.name for field in msgspec.structs.fields(struct)}
        assert set(message.fields_by_name) == names, tag
