//! Encoding of the fields of a frame.

/// Size of the length field at the start of each frame.
const LENGTH_BYTES: usize = 4;

/// A frame under construction. [`Encoder::finish`] fills in its length.
pub(crate) struct Encoder {
    bytes: Vec<u8>,
}

impl Encoder {
    /// Starts a frame of this version, with space for its length.
    pub(crate) fn new(version: u8) -> Encoder {
        Encoder {
            bytes: vec![0, 0, 0, 0, version],
        }
    }

    pub(crate) fn u8(&mut self, number: u8) {
        self.bytes.push(number);
    }

    fn u16(&mut self, number: u16) {
        self.bytes.extend_from_slice(&number.to_be_bytes());
    }

    pub(crate) fn u32(&mut self, number: u32) {
        self.bytes.extend_from_slice(&number.to_be_bytes());
    }

    pub(crate) fn u64(&mut self, number: u64) {
        self.bytes.extend_from_slice(&number.to_be_bytes());
    }

    pub(crate) fn f64(&mut self, number: f64) {
        self.u64(number.to_bits());
    }

    pub(crate) fn flag(&mut self, flag: bool) {
        self.u8(u8::from(flag));
    }

    /// Appends a string, truncated at the last character boundary within 65535 bytes.
    pub(crate) fn string(&mut self, string: &str) {
        let string = &string[..string.floor_char_boundary(usize::from(u16::MAX))];
        self.u16(saturating_u16(string.len()));
        self.bytes.extend_from_slice(string.as_bytes());
    }

    /// Appends a list, truncated to `limit` elements. `encode` appends one element.
    pub(crate) fn list<T>(
        &mut self,
        elements: &[T],
        limit: usize,
        encode: impl Fn(&mut Encoder, &T),
    ) {
        let elements = &elements[..elements.len().min(limit)];
        self.u16(saturating_u16(elements.len()));
        for element in elements {
            encode(self, element);
        }
    }

    /// Returns the complete frame with its length.
    pub(crate) fn finish(mut self) -> Vec<u8> {
        let length = u32::try_from(self.bytes.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        self.bytes
    }
}

/// Converts a length that the caller has limited to [`u16::MAX`].
fn saturating_u16(length: usize) -> u16 {
    u16::try_from(length).unwrap_or(u16::MAX)
}
