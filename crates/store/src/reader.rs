//! Reads the segments of the log when a folder is opened.

use prost::Message;
use wire::store::Batch;

use crate::disk::Disk;
use crate::error::Damage;
use crate::error::Operation;
use crate::error::StoreError;
use crate::frame;
use crate::frame::ReadResult;
use crate::replay::Replay;
use crate::segment;
use crate::segment::Segment;
use crate::snapshot;
use crate::snapshot::with_context;

/// Reads the log's segments in order.
pub struct LogReader<'a> {
    disk: &'a mut dyn Disk,
    snapshot_index: Option<u64>,
    /// The log of the segments read so far.
    pub replay: Replay,
    /// The segments of the log.
    pub segments: Vec<Segment>,
    /// Segments that the snapshot covers and that aren't followed by the next one, to be removed.
    pub discarded: Vec<Segment>,
    /// The number of bytes of an incomplete last write.
    pub torn_bytes: u64,
}

impl<'a> LogReader<'a> {
    /// Reads the log after the snapshot up to `snapshot_index`, if there is one.
    pub fn new(disk: &'a mut dyn Disk, snapshot_index: Option<u64>) -> Self {
        Self {
            disk,
            snapshot_index,
            replay: Replay::new(snapshot_index.unwrap_or_default()),
            segments: Vec::new(),
            discarded: Vec::new(),
            torn_bytes: 0,
        }
    }

    /// Reads all segments among the files `names`. The folder has to be synced after that, before
    /// anything is removed or written.
    ///
    /// # Errors
    ///
    /// Fails on I/O errors and on damage other than an incomplete write at the end of the log.
    pub fn read_all(&mut self, names: &[String]) -> Result<(), StoreError> {
        let mut numbers: Vec<u64> = names
            .iter()
            .filter_map(|n| segment::parse_number(n))
            .collect();
        numbers.sort_unstable();
        let newest = numbers.last().copied().unwrap_or_default();
        for number in numbers {
            let segment = Segment::new(number);
            if self.segments.last().is_some_and(|s| s.number + 1 != number) {
                self.discard_covered(&segment)?;
            }
            self.read_segment(segment, number == newest)?;
        }
        match self.segments.first() {
            // The hard state was in a segment that is missing.
            Some(first) if !self.discarded.is_empty() && !self.replay.has_state => {
                Err(damaged(first, 0, Damage::Segment))
            }
            _ => Ok(()),
        }
    }

    /// Discards what was read before `next`, whose preceding segment is missing.
    ///
    /// A loss of power may undo some of the removals of covered segments. What the others
    /// contained is unknown, truncations included, so none of the segments before `next` counts.
    fn discard_covered(&mut self, next: &Segment) -> Result<(), StoreError> {
        let Some(snapshot_index) = self.snapshot_index else {
            return Err(damaged(next, 0, Damage::Segment));
        };
        if self
            .segments
            .iter()
            .any(|s| s.highest_index > snapshot_index)
        {
            return Err(damaged(next, 0, Damage::Segment));
        }
        self.discarded.append(&mut self.segments);
        self.replay = Replay::new(snapshot_index);
        Ok(())
    }

    fn read_segment(&mut self, mut segment: Segment, newest: bool) -> Result<(), StoreError> {
        let name = segment.name();
        let mut bytes = with_context(Operation::Read, &name, self.disk.read(&name))?;
        let mut offset = 0;
        let mut is_marked = true;
        loop {
            match frame::read(&bytes, segment.number, offset) {
                ReadResult::Frame(payload, next) => {
                    is_marked = payload.is_empty();
                    let batch = Batch::decode(payload)
                        .map_err(|_| damaged(&segment, offset, Damage::Message))?;
                    let highest_index = batch.entries.iter().map(|e| e.index).max();
                    segment.highest_index =
                        segment.highest_index.max(highest_index.unwrap_or_default());
                    self.replay
                        .apply(batch)
                        .map_err(|damage| damaged(&segment, offset, damage))?;
                    offset = next;
                }
                ReadResult::End => break,
                ReadResult::Invalid
                    if newest
                        && !is_marked
                        && frame::is_marker_lost(&bytes, segment.number, offset) =>
                {
                    let mut marker = Vec::new();
                    frame::write(&mut marker, segment.number, offset as u64, &[]);
                    bytes.splice(offset..offset + frame::HEADER_BYTES, marker);
                }
                ReadResult::Invalid
                    if newest && !frame::has_frame_after(&bytes, segment.number, offset) =>
                {
                    break;
                }
                ReadResult::Invalid => return Err(damaged(&segment, offset, Damage::Frame)),
            }
        }
        if newest {
            self.rewrite_segment(&name, &bytes[..offset], bytes.len())?;
        }
        segment.length = offset as u64;
        self.segments.push(segment);
        Ok(())
    }

    /// Rewrites the valid part of the newest segment.
    ///
    /// This removes an incomplete last write. It also makes durable what an earlier
    /// process wrote but couldn't sync, which may be readable from the page cache
    /// without being on the disk.
    fn rewrite_segment(
        &mut self,
        name: &str,
        valid: &[u8],
        length: usize,
    ) -> Result<(), StoreError> {
        self.torn_bytes = (length - valid.len()) as u64;
        if length > 0 {
            snapshot::replace(self.disk, name, valid)?;
        }
        Ok(())
    }
}

fn damaged(segment: &Segment, offset: usize, damage: Damage) -> StoreError {
    StoreError::Damaged(segment.name(), offset as u64, damage)
}
