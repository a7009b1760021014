"""MessagePack, as far as the platform's messages need it."""

import struct


def encode(value):
    if value is None:
        return b"\xc0"
    if value is True:
        return b"\xc3"
    if value is False:
        return b"\xc2"
    if isinstance(value, int):
        if 0 <= value < 0x80:
            return bytes([value])
        if value >= 0:
            return b"\xcf" + struct.pack(">Q", value)
        return b"\xd3" + struct.pack(">q", value)
    if isinstance(value, float):
        return b"\xcb" + struct.pack(">d", value)
    if isinstance(value, str):
        data = value.encode()
        return b"\xdb" + struct.pack(">I", len(data)) + data
    if isinstance(value, (bytes, bytearray)):
        return b"\xc6" + struct.pack(">I", len(value)) + bytes(value)
    if isinstance(value, (list, tuple)):
        return b"\xdd" + struct.pack(">I", len(value)) + b"".join(map(encode, value))
    if isinstance(value, dict):
        items = b"".join(encode(key) + encode(item) for key, item in value.items())
        return b"\xdf" + struct.pack(">I", len(value)) + items
    raise TypeError(type(value))


def decode(data):
    value, end = _read(data, 0)
    if end != len(data):
        raise ValueError("bytes after the value")
    return value


_NUMBERS = {
    0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
    0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q",
}
_SIZES = {0xC4: ">B", 0xC5: ">H", 0xC6: ">I", 0xD9: ">B", 0xDA: ">H", 0xDB: ">I",
          0xDC: ">H", 0xDD: ">I", 0xDE: ">H", 0xDF: ">I"}


def _read(data, at):
    tag = data[at]
    at += 1
    if tag < 0x80:
        return tag, at
    if tag >= 0xE0:
        return tag - 0x100, at
    if tag in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[tag], at
    if tag in _NUMBERS:
        size = struct.calcsize(_NUMBERS[tag])
        return struct.unpack(_NUMBERS[tag], data[at:at + size])[0], at + size
    if tag < 0x90:
        kind, size = "map", tag & 0x0F
    elif tag < 0xA0:
        kind, size = "list", tag & 0x0F
    elif tag < 0xC0:
        kind, size = "text", tag & 0x1F
    else:
        form = _SIZES[tag]
        size = struct.unpack(form, data[at:at + struct.calcsize(form)])[0]
        at += struct.calcsize(form)
        kind = "bytes" if tag < 0xC7 else "text" if tag < 0xDC else "list" if tag < 0xDE else "map"
    if kind in ("bytes", "text"):
        part = bytes(data[at:at + size])
        return (part if kind == "bytes" else part.decode()), at + size
    if kind == "list":
        values = []
        for _ in range(size):
            value, at = _read(data, at)
            values.append(value)
        return values, at
    values = {}
    for _ in range(size):
        key, at = _read(data, at)
        values[key], at = _read(data, at)
    return values, at
