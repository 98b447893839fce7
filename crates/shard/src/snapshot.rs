//! Builds the next segment from the state of the machine.

use model::Request;

use crate::Accepted;
use crate::Entry;
use crate::FORMAT;
use crate::Machine;
use crate::Placement;
use crate::Record;
use crate::Segment;
use crate::Seq;

impl Machine {
    /// Builds a segment that covers all batches up to `seq`. The state may be
    /// newer than that batch; replaying the later rows on top of it changes
    /// nothing.
    #[must_use]
    pub fn build_segment(&mut self, seq: Seq) -> Segment {
        let mut open = Vec::new();
        let is_open = |entry: &Entry| entry.recorded && entry.answer().is_none();
        for (key, entry) in self.ledger.iter().filter(|(_, entry)| is_open(entry)) {
            open.push(accept_record(&entry.request, entry.until_millis));
            // An attempt that has ended has no members left. Its intent is kept
            // all the same: without it, the next owner would answer "not run"
            // for a request that had partly run.
            if !entry.members.is_empty() || entry.may_have_run() {
                open.push(intent_record(key, entry));
            }
        }
        Segment {
            format: FORMAT,
            seq,
            ended: std::mem::take(&mut self.ended),
            open,
        }
    }

    /// Restores the end records of a segment that could not be stored.
    pub fn restore_ended(&mut self, segment: Segment) {
        let mut ended = segment.ended;
        ended.append(&mut self.ended);
        self.ended = ended;
    }
}

fn accept_record(request: &Request, until_millis: u64) -> Record {
    Record::Accept(Accepted {
        request: request.clone(),
        until_millis,
    })
}

fn intent_record(key: &str, entry: &Entry) -> Record {
    let place = |member: &crate::Member| Placement {
        worker: member.worker.clone(),
        run: member.incarnation.clone(),
    };
    Record::Intent {
        key: key.to_owned(),
        epoch: entry.epoch,
        attempt: entry.attempt,
        placed: entry.members.iter().map(place).collect(),
    }
}
