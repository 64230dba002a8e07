"""MessagePack as far as the protocol needs it: maps, lists, text, numbers, booleans, null."""
import struct


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(v, out):
    if v is None:
        out.append(0xC0)
    elif v is True:
        out.append(0xC3)
    elif v is False:
        out.append(0xC2)
    elif isinstance(v, int):
        if 0 <= v < 128:
            out.append(v)
        elif -32 <= v < 0:
            out += struct.pack("b", v)
        elif v >= 0:
            out += b"\xcf" + struct.pack(">Q", v)
        else:
            out += b"\xd3" + struct.pack(">q", v)
    elif isinstance(v, float):
        out += b"\xcb" + struct.pack(">d", v)
    elif isinstance(v, str):
        b = v.encode()
        n = len(b)
        if n < 32:
            out.append(0xA0 | n)
        elif n < 256:
            out += b"\xd9" + bytes([n])
        elif n < 65536:
            out += b"\xda" + struct.pack(">H", n)
        else:
            out += b"\xdb" + struct.pack(">I", n)
        out += b
    elif isinstance(v, (list, tuple)):
        n = len(v)
        if n < 16:
            out.append(0x90 | n)
        elif n < 65536:
            out += b"\xdc" + struct.pack(">H", n)
        else:
            out += b"\xdd" + struct.pack(">I", n)
        for item in v:
            _pack(item, out)
    elif isinstance(v, dict):
        n = len(v)
        if n < 16:
            out.append(0x80 | n)
        elif n < 65536:
            out += b"\xde" + struct.pack(">H", n)
        else:
            out += b"\xdf" + struct.pack(">I", n)
        for key, item in v.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(v))


def unpack(data):
    value, at = _unpack(data, 0)
    if at != len(data):
        raise ValueError("trailing bytes")
    return value


_FIXED = {
    0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
    0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q",
}


def _unpack(d, i):
    t = d[i]
    i += 1
    if t < 0x80:
        return t, i
    if t < 0x90:
        return _map(d, i, t & 15)
    if t < 0xA0:
        return _list(d, i, t & 15)
    if t < 0xC0:
        n = t & 31
        return d[i:i + n].decode(), i + n
    if t >= 0xE0:
        return t - 256, i
    if t == 0xC0:
        return None, i
    if t == 0xC2:
        return False, i
    if t == 0xC3:
        return True, i
    if t in _FIXED:
        form = _FIXED[t]
        n = struct.calcsize(form)
        return struct.unpack_from(form, d, i)[0], i + n
    if t in (0xD9, 0xDA, 0xDB):
        size = 1 << (t - 0xD9)
        n = int.from_bytes(d[i:i + size], "big")
        i += size
        return d[i:i + n].decode(), i + n
    if t in (0xDC, 0xDD):
        size = 2 if t == 0xDC else 4
        return _list(d, i + size, int.from_bytes(d[i:i + size], "big"))
    if t in (0xDE, 0xDF):
        size = 2 if t == 0xDE else 4
        return _map(d, i + size, int.from_bytes(d[i:i + size], "big"))
    raise ValueError("marker %x" % t)


def _list(d, i, n):
    out = []
    for _ in range(n):
        v, i = _unpack(d, i)
        out.append(v)
    return out, i


def _map(d, i, n):
    out = {}
    for _ in range(n):
        k, i = _unpack(d, i)
        out[k], i = _unpack(d, i)
    return out, i
