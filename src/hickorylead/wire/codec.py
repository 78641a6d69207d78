"""Encodes messages as packed Cap'n Proto bytes and decodes them.

The library decodes lazily: damage may only be found when a field is read. So
all fields of a message are read here, and any damage is reported as one error.

Truncation in a later segment may go unnoticed until the library's reader is
freed, which then ends the process. So a checksum is verified first, and the
library sees only bytes that an encoder made. (Records have a checksum in the
journal.)
"""

from __future__ import annotations

import functools
import struct
import typing
from typing import TYPE_CHECKING, Any
import zlib

import attrs
import capnp
from returns import result

from hickorylead.wire import catalogue, schema

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.consensus import messages as consensus
    from hickorylead.roles import interface

# Maximum unpacked size of a message, in words. The unpacked size may be much
# larger than the packed size.
MAX_TRAVERSED_WORDS = 8 * 1024 * 1024
# Structs of messages that are kept in the library's form: a table of servers
# is sent to many nodes while few of the servers change, and copying a struct is
# much cheaper than setting its fields.
MAX_BUILT_STRUCTS = 4096
# Size of the first segment of such a struct, in words.
_BUILT_STRUCT_WORDS = 64
_MAX_NESTING = 32
_CHECKSUM = struct.Struct(">I")
_SCALARS = (int, float, bool, str, bytes)


@attrs.frozen
class Envelope:
    """A message with its sender.

    Attributes:
        sender: Node name of the sender.
        address: `ip:port` on which the sender accepts messages.
        message: The message.
    """

    sender: str
    address: str
    message: interface.Message


@functools.cache
def _load_schema() -> Any:
    capnp.remove_import_hook()
    return capnp.load(str(schema.SCHEMA_FILE))


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the bytes of an envelope."""
    message = _pack_variant(envelope.message)
    builder = _load_schema().Envelope.new_message(
        sender=envelope.sender, address=envelope.address, message=message
    )
    data = builder.to_bytes_packed()
    return _CHECKSUM.pack(zlib.crc32(data)) + data


def decode_envelope(data: bytes) -> result.Result[Envelope, str]:
    """Returns the decoded envelope, or why the bytes are invalid."""
    checksum, data = data[: _CHECKSUM.size], data[_CHECKSUM.size :]
    if checksum != _CHECKSUM.pack(zlib.crc32(data)):
        return result.Failure("not a message: wrong checksum")

    def unpack_envelope(reader: Any) -> Envelope:
        unpack = _unpack_root("Message")
        return Envelope(reader.sender, reader.address, unpack(reader.message))

    return _decode(_load_schema().Envelope, data, unpack_envelope)


def encode_record(record: consensus.Record) -> bytes:
    """Returns the bytes of a journal record."""
    fields = _pack_variant(record)
    return _load_schema().Record.new_message(**fields).to_bytes_packed()


def decode_record(data: bytes) -> result.Result[consensus.Record, str]:
    """Returns the decoded journal record, or why the bytes are invalid."""
    unpack = _unpack_root("Record")
    return _decode(_load_schema().Record, data, unpack)


def _decode(
    kind: Any, data: bytes, unpack: Callable[[Any], Any]
) -> result.Result[Any, str]:
    try:
        reader = kind.from_bytes_packed(
            data,
            traversal_limit_in_words=MAX_TRAVERSED_WORDS,
            nesting_limit=_MAX_NESTING,
        )
        return result.Success(unpack(reader))
    except (
        capnp.KjException,
        UnicodeDecodeError,
        ValueError,
        MemoryError,
        AttributeError,
        KeyError,
    ) as error:
        reason = (str(error) or type(error).__name__).splitlines()[0]
        return result.Failure(f"not a message: {reason}")


def _pack_repeated(values: tuple[Any, ...]) -> list[Any]:
    return [_build_struct(value) for value in values]


@functools.lru_cache(maxsize=MAX_BUILT_STRUCTS)
def _build_struct(value: Any) -> Any:
    """Returns a struct in the library's form, which copies it fast."""
    cls = type(value)
    kind = getattr(_load_schema(), cls.__name__)
    fields = _pack_struct(typing.cast("Any", cls))(value)
    return kind.new_message(_BUILT_STRUCT_WORDS, **fields)


# The converters of each class are built once, from its attributes' types.


@functools.cache
def _pack_struct(cls: type) -> Callable[[Any], dict[str, Any]]:
    fields = [
        (name, schema.name_field(name), _pack_type(hint))
        for name, hint in schema.get_hints(cls).items()
    ]

    def pack(value: Any) -> dict[str, Any]:
        return {
            wire_name: convert(getattr(value, name))
            for name, wire_name, convert in fields
        }

    return pack


def _pack_variant(value: Any) -> dict[str, Any]:
    cls = type(value)
    pack = _pack_struct(typing.cast("Any", cls))
    return {schema.name_variant(cls.__name__): pack(value)}


def _pack_type(hint: Any) -> Callable[[Any], Any]:
    if hint in _SCALARS:
        return _return_unchanged
    if catalogue.is_union(hint):
        return _pack_variant
    if typing.get_origin(hint) is tuple:
        element = typing.get_args(hint)[0]
        if element.__name__ in catalogue.REPEATED:
            return _pack_repeated
        convert = _pack_type(element)
        if convert is _return_unchanged:
            return list
        return lambda values: [convert(value) for value in values]
    return _pack_struct(hint)


@functools.cache
def _unpack_struct(cls: type) -> Callable[[Any], Any]:
    fields = [
        (schema.name_field(name), _unpack_type(hint))
        for name, hint in schema.get_hints(cls).items()
    ]

    def unpack(reader: Any) -> Any:
        return cls(
            *[convert(getattr(reader, name)) for name, convert in fields]
        )

    return unpack


@functools.cache
def _unpack_root(name: str) -> Callable[[Any], Any]:
    return _unpack_union(dict(catalogue.ROOTS)[name])


def _unpack_union(
    variants: tuple[catalogue.Variant, ...],
) -> Callable[[Any], Any]:
    by_name = {schema.name_variant(v.name): v for v in variants}

    def unpack(reader: Any) -> Any:
        name = str(reader.which())
        return _unpack_struct(by_name[name].load())(getattr(reader, name))

    return unpack


def _unpack_type(hint: Any) -> Callable[[Any], Any]:
    if hint in _SCALARS:
        return _return_unchanged
    if catalogue.is_union(hint):
        return _unpack_union(schema.find_union(hint)[1])
    if typing.get_origin(hint) is tuple:
        convert = _unpack_type(typing.get_args(hint)[0])
        if convert is _return_unchanged:
            return tuple
        return lambda values: tuple(convert(value) for value in values)
    return _unpack_struct(hint)


def _return_unchanged(value: Any) -> Any:
    return value
