//! Handshake proofs and frame authentication codes, derived from the cluster key.

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use hollowbarrow_schema::{DaemonId, PROTOCOL_VERSION, PeerMessage};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::pack::{UnpackBodyError, pack_body, unpack_body};

/// Length of a frame's authentication code in bytes.
const CODE_BYTES: usize = 16;
const NUMBER_BYTES: usize = 8;
/// Length of a nonce in bytes.
pub(crate) const NONCE_BYTES: usize = 16;

/// Why a frame is not the next one that the peer sealed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OpenFrameError {
    /// The frame is too short.
    #[error("the frame has {0} bytes")]
    TooShort(usize),
    /// A frame was lost, repeated or reordered.
    #[error("received frame {found} where frame {expected} was expected")]
    WrongNumber {
        /// Expected sequence number.
        expected: u64,
        /// Received sequence number.
        found: u64,
    },
    /// The frame was modified or sealed with another key.
    #[error("the frame's authentication code is wrong")]
    WrongCode,
    /// The frame's body cannot be unpacked.
    #[error("{0}")]
    Unpack(#[from] UnpackBodyError),
    /// The frame's body cannot be decoded as a message of this version.
    #[error("the frame holds no valid message")]
    NoMessage,
}

/// Data of a handshake that both ends have after the exchange of nonces.
pub(crate) struct HandshakeTranscript<'a> {
    pub(crate) from: &'a DaemonId,
    pub(crate) to: &'a DaemonId,
    pub(crate) accept_nonce: &'a [u8],
    pub(crate) dial_nonce: &'a [u8],
}

impl HandshakeTranscript<'_> {
    /// Computes an authentication code over the handshake data, for one purpose.
    pub(crate) fn code(&self, key: &str, purpose: &str) -> Vec<u8> {
        let mut mac = new_mac(key.as_bytes());
        for part in [
            purpose.as_bytes(),
            &PROTOCOL_VERSION.to_le_bytes(),
            self.from.as_bytes(),
            self.to.as_bytes(),
            self.accept_nonce,
            self.dial_nonce,
        ] {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().to_vec()
    }
}

pub(crate) fn same_code(left: &[u8], right: &[u8]) -> bool {
    bool::from(left.ct_eq(right))
}

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length")
}

fn frame_code(key: &[u8], number: u64, body: &[u8]) -> Vec<u8> {
    let mut mac = new_mac(key);
    mac.update(&number.to_le_bytes());
    mac.update(body);
    mac.finalize().into_bytes()[..CODE_BYTES].to_vec()
}

/// A message in its wire encoding, encoded once for all receivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedMessage(Bytes);

impl EncodedMessage {
    /// Encodes a message.
    pub fn new(message: &PeerMessage) -> Self {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("writing to memory does not fail");
        Self(pack_body(&bytes).into())
    }

    /// Returns the size of the message in bytes, without the frame's header.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Seals the frames of one connection.
#[derive(Debug)]
pub struct FrameSealer {
    key: Vec<u8>,
    next: u64,
}

impl FrameSealer {
    /// Creates a sealer with the session key of a connection.
    pub fn new(key: Vec<u8>) -> Self {
        Self { key, next: 0 }
    }

    /// Encodes a message as the next frame.
    pub fn seal(&mut self, message: &PeerMessage) -> Vec<u8> {
        self.seal_encoded(&EncodedMessage::new(message))
    }

    /// Seals an encoded message as the next frame.
    pub fn seal_encoded(&mut self, message: &EncodedMessage) -> Vec<u8> {
        let body = &message.0;
        let mut frame = Vec::with_capacity(NUMBER_BYTES + CODE_BYTES + body.len());
        frame.extend(self.next.to_le_bytes());
        frame.extend(frame_code(&self.key, self.next, body));
        frame.extend(body);
        self.next += 1;
        frame
    }
}

/// Opens the frames of one connection.
#[derive(Debug)]
pub struct FrameOpener {
    key: Vec<u8>,
    next: u64,
}

impl FrameOpener {
    /// Creates an opener with the session key of a connection.
    pub fn new(key: Vec<u8>) -> Self {
        Self { key, next: 0 }
    }

    /// Checks and decodes the next frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is not the next one that the peer sealed; the connection
    /// must then be closed.
    pub fn open(&mut self, frame: &[u8]) -> Result<PeerMessage, OpenFrameError> {
        let head = NUMBER_BYTES + CODE_BYTES;
        if frame.len() < head {
            return Err(OpenFrameError::TooShort(frame.len()));
        }
        let number = frame[..NUMBER_BYTES].iter().rev().fold(0, |n, b| n << 8 | u64::from(*b));
        if !same_code(&frame_code(&self.key, number, &frame[head..]), &frame[NUMBER_BYTES..head]) {
            return Err(OpenFrameError::WrongCode);
        }
        if number != self.next {
            return Err(OpenFrameError::WrongNumber { expected: self.next, found: number });
        }
        self.next += 1;
        let body = unpack_body(&frame[head..])?;
        ciborium::from_reader(&body[..]).map_err(|_| OpenFrameError::NoMessage)
    }
}
