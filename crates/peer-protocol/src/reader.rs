//! Decoding of the fields of a received frame.

use crate::error::FrameError;

/// Reads fields from the bytes of a frame that follow its length.
pub(crate) struct Reader<'a> {
    remaining: &'a [u8],
}

impl<'a> Reader<'a> {
    pub(crate) fn new(content: &'a [u8]) -> Reader<'a> {
        Reader { remaining: content }
    }

    /// Reads the next `N` bytes.
    fn array<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let (head, remaining) = self
            .remaining
            .split_first_chunk::<N>()
            .ok_or(FrameError::Truncated)?;
        self.remaining = remaining;
        Ok(*head)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, FrameError> {
        self.array().map(u8::from_be_bytes)
    }

    fn u16(&mut self) -> Result<u16, FrameError> {
        self.array().map(u16::from_be_bytes)
    }

    pub(crate) fn u32(&mut self) -> Result<u32, FrameError> {
        self.array().map(u32::from_be_bytes)
    }

    pub(crate) fn u64(&mut self) -> Result<u64, FrameError> {
        self.array().map(u64::from_be_bytes)
    }

    pub(crate) fn f64(&mut self) -> Result<f64, FrameError> {
        let number = f64::from_bits(self.u64()?);
        number
            .is_finite()
            .then_some(number)
            .ok_or(FrameError::NonFiniteNumber)
    }

    pub(crate) fn flag(&mut self) -> Result<bool, FrameError> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(FrameError::InvalidFlag),
        }
    }

    pub(crate) fn string(&mut self) -> Result<String, FrameError> {
        let length = usize::from(self.u16()?);
        let (string, remaining) = self
            .remaining
            .split_at_checked(length)
            .ok_or(FrameError::Truncated)?;
        self.remaining = remaining;
        String::from_utf8(string.to_vec()).map_err(|_| FrameError::InvalidUtf8)
    }

    /// Reads a list of at most `limit` elements. `decode` reads one element.
    pub(crate) fn list<T>(
        &mut self,
        limit: usize,
        decode: impl Fn(&mut Reader<'a>) -> Result<T, FrameError>,
    ) -> Result<Vec<T>, FrameError> {
        let count = usize::from(self.u16()?);
        if count > limit {
            return Err(FrameError::TooLong(count));
        }
        let mut elements = Vec::with_capacity(count);
        for _ in 0..count {
            elements.push(decode(self)?);
        }
        Ok(elements)
    }

    /// Returns an error if there are unread bytes.
    pub(crate) fn expect_end(self) -> Result<(), FrameError> {
        if self.remaining.is_empty() {
            Ok(())
        } else {
            Err(FrameError::TrailingBytes)
        }
    }
}
