//! Bodies whose bytes are claimed from the account of the connection that they are held for.
//!
//! The claim lives as long as the bytes: it is part of what owns them, so all copies of a handle
//! share it and no call has to give it back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;

use crate::account::{AccountFull, ByteClaim};
use crate::body_error::BodyError;
use crate::connection_record::ConnectionRecord;
use crate::response_account::response_account;

/// Bytes of each body that need no claim; the number of connections bounds them.
const FREE_BYTES: usize = 4 << 10;
/// Largest frame that a connection hands over; a larger one is not a part of its read buffer.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Connections that are closed at most to make room for one body.
const MAX_EVICTIONS: usize = 16;
/// Longest wait for the bytes of a connection that is being closed.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(50);

/// What happens to a body for which there is no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WhenFull {
    /// It is refused as soon as no connection can be closed for it.
    Refuse,
    /// It waits until there is room; the caller of the function sets a time limit.
    Wait,
}

/// A growing body with the claim for its buffer.
struct HeldBuffer {
    bytes: Vec<u8>,
    claim: Option<HeldClaim>,
    when_full: WhenFull,
}

/// A claim that the record of its connection counts, if it is for one.
struct HeldClaim {
    claim: ByteClaim,
    record: Option<Arc<ConnectionRecord>>,
}

/// Bytes and the claim for them.
struct HeldBytes<B> {
    bytes: B,
    _claim: HeldClaim,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl HeldClaim {
    /// Opens a claim for the connection that the current task serves; `None` if it serves none.
    fn open() -> Option<Self> {
        let record = ConnectionRecord::current()?;
        let claim = record.account().open_claim();
        Some(Self {
            claim,
            record: Some(record),
        })
    }

    /// Opens a claim for a response that the process reads for itself.
    fn open_for_process() -> Self {
        Self {
            claim: response_account().open_claim(),
            record: None,
        }
    }

    /// Takes the claim out and leaves one for no bytes.
    fn take(&mut self) -> Self {
        let rest = Self {
            claim: self.claim.account().open_claim(),
            record: self.record.clone(),
        };
        std::mem::replace(self, rest)
    }

    fn count(&self, before: usize, after: usize) {
        if let Some(record) = &self.record {
            record.count_claimed(before, after);
        }
    }

    fn close_longest_stalled(&self) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.close_longest_stalled())
    }

    fn resize(&mut self, capacity: usize) -> Result<(), AccountFull> {
        let before = self.claim.bytes();
        self.claim.resize(capacity.saturating_sub(FREE_BYTES))?;
        self.count(before, self.claim.bytes());
        Ok(())
    }

    /// Returns the bytes that are claimed; the claim lives as long as they do.
    fn own<B>(self, bytes: B) -> Bytes
    where
        B: AsRef<[u8]> + Into<Bytes> + Send + 'static,
    {
        if self.claim.bytes() == 0 {
            return bytes.into();
        }
        Bytes::from_owner(HeldBytes {
            bytes,
            _claim: self,
        })
    }

    async fn make_room(&mut self, capacity: usize, when_full: WhenFull) -> Result<(), AccountFull> {
        let mut evictions = 0;
        while self.resize(capacity).is_err() {
            let has_closed = self.close_longest_stalled();
            evictions += usize::from(has_closed);
            let may_wait = has_closed && evictions <= MAX_EVICTIONS;
            if when_full == WhenFull::Refuse && !may_wait {
                return Err(AccountFull);
            }
            let account = self.claim.account().clone();
            account.wait_for_release(RELEASE_TIMEOUT).await;
        }
        Ok(())
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        self.count(self.claim.bytes(), 0);
    }
}

impl HeldBuffer {
    fn new(claim: Option<HeldClaim>, when_full: WhenFull) -> Self {
        Self {
            bytes: Vec::new(),
            claim,
            when_full,
        }
    }

    /// Makes room for `additional` bytes; `expected` is the size that the whole body is said to have.
    ///
    /// The buffer doubles up to that size, so that a sender pays for what it has sent.
    async fn reserve(&mut self, additional: usize, expected: usize) -> Result<(), AccountFull> {
        let needed = self.bytes.len() + additional;
        if needed <= self.bytes.capacity() {
            return Ok(());
        }
        let doubled = (self.bytes.capacity() * 2).min(expected);
        self.reserve_exact(needed.max(doubled)).await
    }

    async fn reserve_exact(&mut self, capacity: usize) -> Result<(), AccountFull> {
        if let Some(claim) = &mut self.claim {
            claim.make_room(capacity, self.when_full).await?;
        }
        let additional = capacity.saturating_sub(self.bytes.len());
        self.bytes.reserve_exact(additional);
        Ok(())
    }

    fn into_bytes(self) -> Bytes {
        match self.claim {
            Some(claim) => claim.own(self.bytes),
            None => Bytes::from(self.bytes),
        }
    }
}

/// Reads a complete body of at most `limit` bytes that a caller sends.
///
/// A body that is in memory already keeps its claim and is not copied.
///
/// # Errors
///
/// Returns [`BodyError`] if the body is too large or incomplete, or if there is no room for it.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let buffer = HeldBuffer::new(HeldClaim::open(), WhenFull::Refuse);
    read_into(buffer, body, limit).await
}

/// Reads a complete body of at most `limit` bytes that the process reads for itself.
///
/// A body that finds no room is given up at once: unread, its bytes would fill the buffers of its connection.
///
/// # Errors
///
/// Returns [`BodyError`] if the body is too large or incomplete, or if there is no room for it.
pub(crate) async fn read_for_process<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let claim = HeldClaim::open_for_process();
    let buffer = HeldBuffer::new(Some(claim), WhenFull::Refuse);
    read_into(buffer, body, limit).await
}

/// Reads a complete body of at most `limit` bytes that a target sends, once there is room for it.
///
/// The room for a body of a known length is claimed at once: answers that hold a part each and wait
/// for the rest would wait for each other.
///
/// # Errors
///
/// Returns [`BodyError`] if the body is too large or incomplete.
pub(crate) async fn read_answer<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let claim = HeldClaim::open().unwrap_or_else(HeldClaim::open_for_process);
    let mut buffer = HeldBuffer::new(Some(claim), WhenFull::Wait);
    let length = body.size_hint().exact();
    let length = length.and_then(|length| usize::try_from(length).ok());
    if let Some(length) = length.filter(|length| *length <= limit) {
        buffer.reserve_exact(length).await?;
    }
    read_into(buffer, body, limit).await
}

/// Room for bytes that grow and shrink while they are held for the connection that the current task serves.
///
/// ```
/// use briarswitch_http::HeldRoom;
///
/// // Outside of a connection there is no account to claim from.
/// assert!(HeldRoom::open().resize(1 << 30).is_ok());
/// ```
pub struct HeldRoom {
    claim: Option<HeldClaim>,
}

impl HeldRoom {
    /// Opens room for no bytes.
    pub fn open() -> Self {
        Self {
            claim: HeldClaim::open(),
        }
    }

    /// Opens room for no bytes of what the process reads for itself.
    pub fn for_process() -> Self {
        Self {
            claim: Some(HeldClaim::open_for_process()),
        }
    }

    /// Claims room for `bytes` in place of what was claimed so far.
    ///
    /// # Errors
    ///
    /// Returns [`AccountFull`] if there is no room for them.
    pub fn resize(&mut self, bytes: usize) -> Result<(), AccountFull> {
        self.claim
            .as_mut()
            .map_or(Ok(()), |claim| claim.resize(bytes))
    }

    /// Returns bytes with the room claimed for them, which is given back once nobody holds them any more; none is left here.
    ///
    /// ```
    /// use briarswitch_http::HeldRoom;
    ///
    /// let events = HeldRoom::open().pass_on("data: a\n\n".into());
    /// assert_eq!(&events[..], b"data: a\n\n");
    /// ```
    pub fn pass_on(&mut self, bytes: Bytes) -> Bytes {
        match self.claim.as_mut() {
            Some(claim) => claim.take().own(bytes),
            None => bytes,
        }
    }
}

/// Claims room for bytes that are held for the connection that the current task serves.
///
/// # Errors
///
/// Returns [`AccountFull`] if there is no room for them.
pub fn hold_bytes(bytes: Vec<u8>) -> Result<Bytes, AccountFull> {
    let Some(mut claim) = HeldClaim::open() else {
        return Ok(Bytes::from(bytes));
    };
    claim.resize(bytes.capacity())?;
    Ok(claim.own(bytes))
}

async fn read_into<B>(mut buffer: HeldBuffer, mut body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(BodyError::TooLarge { limit });
    }
    let expected = hint.exact().map_or(limit, |length| length as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.bytes.len() + data.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        if data.len() > MAX_FRAME_BYTES && hint.exact() == Some(data.len() as u64) {
            return Ok(data);
        }
        buffer.reserve(data.len(), expected).await?;
        buffer.bytes.extend_from_slice(&data);
    }
    Ok(buffer.into_bytes())
}
