//! Content of the next segment, out of the machine's state.

use model::Request;

use crate::Accepted;
use crate::Entry;
use crate::FORMAT;
use crate::Machine;
use crate::Placed;
use crate::Record;
use crate::Segment;
use crate::Seq;

impl Machine {
    /// A segment that covers all batches up to `seq`. The state may be newer
    /// than that batch; replaying the later rows on it changes nothing.
    #[must_use]
    pub fn make_segment(&mut self, seq: Seq) -> Segment {
        let mut open = Vec::new();
        let wanted = |entry: &Entry| entry.recorded && entry.answer().is_none();
        for (key, entry) in self.ledger.iter().filter(|(_, entry)| wanted(entry)) {
            open.push(accept_record(&entry.request, entry.until_millis));
            // An attempt that is over has no members left. Without its intent
            // the next owner would say "not run" of what ran in part.
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

    /// Puts the ends of a segment back that could not be stored.
    pub fn return_segment(&mut self, segment: Segment) {
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
    let place = |member: &crate::Member| Placed {
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
