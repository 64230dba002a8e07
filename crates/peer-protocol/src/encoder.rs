//! Writes the fields of a frame.

/// The bytes of the length field that stands before each frame.
const LENGTH_BYTES: usize = 4;

/// A frame that is being written. Its length is filled in at the end.
pub(crate) struct Encoder {
    bytes: Vec<u8>,
}

impl Encoder {
    /// A frame of this version, with room for its length.
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

    /// A text, cut at the last whole character that fits into 65535 bytes.
    pub(crate) fn text(&mut self, text: &str) {
        let text = &text[..text.floor_char_boundary(usize::from(u16::MAX))];
        self.u16(saturating_u16(text.len()));
        self.bytes.extend_from_slice(text.as_bytes());
    }

    /// A list, cut at `limit`, with `write` for each element.
    pub(crate) fn list<T>(
        &mut self,
        elements: &[T],
        limit: usize,
        write: impl Fn(&mut Encoder, &T),
    ) {
        let elements = &elements[..elements.len().min(limit)];
        self.u16(saturating_u16(elements.len()));
        for element in elements {
            write(self, element);
        }
    }

    /// The whole frame with its length.
    pub(crate) fn finish(mut self) -> Vec<u8> {
        let length = u32::try_from(self.bytes.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        self.bytes
    }
}

/// A length that its caller has bounded to what fits.
fn saturating_u16(length: usize) -> u16 {
    u16::try_from(length).unwrap_or(u16::MAX)
}
