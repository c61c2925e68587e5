//! A buffer for the body of a request.
//!
//! Bodies of many clients grow beside each other and are dropped in any order. On the heap that leaves
//! holes which take as much memory as the bodies, so a body that is not small has a mapping of its own:
//! what has not been written to is not resident, and all of it is given back with the body.

use memmap2::MmapMut;

/// Largest body that is kept on the heap.
pub(crate) const SMALL_BODY_BYTES: usize = 64 << 10;
/// Steps in which the memory of a mapping is counted.
const STEP_BYTES: usize = 64 << 10;

/// Bytes of a body that have been received.
#[derive(Debug)]
pub(crate) enum BodyBuffer {
    /// On the heap.
    Small(Vec<u8>),
    /// In a mapping, of which so many bytes are used.
    Mapped(MmapMut, usize),
}

impl BodyBuffer {
    pub(crate) fn new() -> Self {
        Self::Small(Vec::new())
    }

    pub(crate) fn len(&self) -> usize {
        match self {
            Self::Small(bytes) => bytes.len(),
            Self::Mapped(_, length) => *length,
        }
    }

    /// Returns the memory of a buffer with this length.
    pub(crate) fn memory(length: usize) -> usize {
        if length > SMALL_BODY_BYTES { length.next_multiple_of(STEP_BYTES) } else { length * 2 }
    }

    /// Appends bytes. Where a mapping is needed, it is as long as the whole body can become.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the mapping.
    pub(crate) fn extend(&mut self, bytes: &[u8], most: usize) -> std::io::Result<()> {
        let length = self.len() + bytes.len();
        if let Self::Small(start) = self {
            if length <= SMALL_BODY_BYTES {
                start.extend_from_slice(bytes);
                return Ok(());
            }
            let mut mapping = MmapMut::map_anon(most.max(length))?;
            mapping[..start.len()].copy_from_slice(start);
            *self = Self::Mapped(mapping, start.len());
        }
        if let Self::Mapped(mapping, used) = self {
            mapping[*used..length].copy_from_slice(bytes);
            *used = length;
        }
        Ok(())
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Small(bytes) => bytes,
            Self::Mapped(mapping, length) => &mapping[..*length],
        }
    }
}
