"""Generates the Cap'n Proto schema from the message classes.

Run as `python -m hickorylead.wire.schema`; the schema file is committed.
"""

from __future__ import annotations

import pathlib
import sys
import typing
from typing import Any

import attrs

from hickorylead.wire import catalogue

SCHEMA_FILE = pathlib.Path(__file__).with_name("messages.capnp")
_FILE_ID = "@0xd1c6a54be0f27a93"
_SCALARS = {
    int: "Int64",
    float: "Float64",
    bool: "Bool",
    str: "Text",
    bytes: "Data",
}


def name_field(attribute: str) -> str:
    """Returns the name of an attribute in the schema."""
    first, *rest = attribute.split("_")
    return first + "".join(part.capitalize() for part in rest)


def name_variant(name: str) -> str:
    """Returns the name of a class as a variant of a union."""
    return name[0].lower() + name[1:]


def find_union(hint: Any) -> tuple[str, tuple[catalogue.Variant, ...]]:
    """Returns the name and variants of a union annotation."""
    names = {cls.__name__ for cls in typing.get_args(hint)}
    for name, variants in catalogue.UNIONS:
        if names == {variant.name for variant in variants}:
            return name, variants
    raise LookupError(f"the catalogue has no union {hint}")


def get_hints(cls: type) -> dict[str, Any]:
    """Returns the type of each attribute of a message class, in order."""
    hints = typing.get_type_hints(cls)
    return {
        field.name: hints[field.name]
        for field in attrs.fields(typing.cast("Any", cls))
    }


def render_schema() -> str:
    """Returns the text of the schema."""
    writer = _Writer()
    for name, variants in catalogue.ROOTS:
        writer.add_union(name, variants)
    lines = [
        f"{_FILE_ID};",
        "# Made by `python -m hickorylead.wire.schema`; edit the classes.",
        "",
        *writer.render(),
        "struct Envelope {",
        "  sender @0 :Text;",
        "  address @1 :Text;",
        "  message @2 :Message;",
        "}",
    ]
    return "\n".join(lines) + "\n"


class _Writer:
    """Collects the structs that a schema needs."""

    def __init__(self) -> None:
        self._structs: dict[str, list[str]] = {}

    def render(self) -> list[str]:
        """Returns the lines of all structs, sorted by name."""
        lines: list[str] = []
        for _, body in sorted(self._structs.items()):
            lines += [*body, ""]
        return lines

    def add_union(
        self, name: str, variants: tuple[catalogue.Variant, ...]
    ) -> None:
        """Adds a struct that is a union of several message classes."""
        body = [f"struct {name} {{", "  union {"]
        for number, variant in enumerate(variants):
            cls = variant.load()
            field = name_variant(variant.name)
            body.append(f"    {field} @{number} :{cls.__name__};")
            self.add_struct(cls)
        self._structs[name] = [*body, "  }", "}"]

    def add_struct(self, cls: type) -> None:
        """Adds the struct of a message class, once."""
        name = cls.__name__
        if name in self._structs:
            return
        body = self._structs[name] = [f"struct {name} {{"]
        for number, (attribute, hint) in enumerate(get_hints(cls).items()):
            kind = self._name_type(hint)
            body.append(f"  {name_field(attribute)} @{number} :{kind};")
        body.append("}")

    def _name_type(self, hint: Any) -> str:
        if hint in _SCALARS:
            return _SCALARS[hint]
        if catalogue.is_union(hint):
            name, variants = find_union(hint)
            self.add_union(name, variants)
            return name
        if typing.get_origin(hint) is tuple:
            return f"List({self._name_type(typing.get_args(hint)[0])})"
        self.add_struct(hint)
        return hint.__name__


if __name__ == "__main__":
    SCHEMA_FILE.write_text(render_schema(), encoding="utf-8")
    sys.stdout.write(f"wrote {SCHEMA_FILE.name}\n")
