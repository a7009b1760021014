"""MessagePack, as far as the bodies of the platform's messages need it."""

import struct


def encode(value):
    """Encodes None, bool, int, float, str, bytes, list and dict."""
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        if 0 <= value < 128:
            return struct.pack("B", value)
        return struct.pack(">BQ", 0xCF, value) if value >= 0 else struct.pack(">Bq", 0xD3, value)
    if isinstance(value, float):
        return struct.pack(">Bd", 0xCB, value)
    if isinstance(value, str):
        data = value.encode()
        return struct.pack(">BI", 0xDB, len(data)) + data
    if isinstance(value, (bytes, bytearray)):
        return struct.pack(">BI", 0xC6, len(value)) + bytes(value)
    if isinstance(value, (list, tuple)):
        return struct.pack(">BI", 0xDD, len(value)) + b"".join(encode(item) for item in value)
    pairs = b"".join(encode(key) + encode(item) for key, item in value.items())
    return struct.pack(">BI", 0xDF, len(value)) + pairs


def decode(data):
    """Decodes one value."""
    value, _ = _decode(memoryview(bytes(data)), 0)
    return value


_SIZED = {0xC4: ("B", bytes), 0xC5: ("H", bytes), 0xC6: ("I", bytes), 0xD9: ("B", str), 0xDA: ("H", str), 0xDB: ("I", str)}
_NUMBERS = {0xCA: "f", 0xCB: "d", 0xCC: "B", 0xCD: "H", 0xCE: "I", 0xCF: "Q", 0xD0: "b", 0xD1: "h", 0xD2: "i", 0xD3: "q"}
_COUNTED = {0xDC: ("H", list), 0xDD: ("I", list), 0xDE: ("H", dict), 0xDF: ("I", dict)}


def _decode(data, at):
    tag = data[at]
    at += 1
    if tag < 0x80:
        return tag, at
    if tag < 0x90:
        return _decode_items(data, at, tag & 0x0F, dict)
    if tag < 0xA0:
        return _decode_items(data, at, tag & 0x0F, list)
    if tag < 0xC0:
        return _decode_bytes(data, at, tag & 0x1F, str)
    if tag >= 0xE0:
        return tag - 256, at
    if tag in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[tag], at
    if tag in _NUMBERS:
        return _decode_number(data, at, _NUMBERS[tag])
    if tag in _SIZED:
        form, kind = _SIZED[tag]
        size, at = _decode_number(data, at, form)
        return _decode_bytes(data, at, size, kind)
    form, kind = _COUNTED[tag]
    count, at = _decode_number(data, at, form)
    return _decode_items(data, at, count, kind)


def _decode_number(data, at, form):
    size = struct.calcsize(form)
    return struct.unpack(">" + form, data[at : at + size])[0], at + size


def _decode_bytes(data, at, size, kind):
    content = bytes(data[at : at + size])
    return (content.decode() if kind is str else content), at + size


def _decode_items(data, at, count, kind):
    items = []
    for _ in range(count * (2 if kind is dict else 1)):
        item, at = _decode(data, at)
        items.append(item)
    if kind is list:
        return items, at
    return dict(zip(items[::2], items[1::2])), at
