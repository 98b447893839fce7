//! Simulated callers: they submit and cancel requests, and remember the
//! answers.

use model::Family;
use shard::Input;
use shard::ShardAsk;
use shard::ShardReply;
use shard::Submission;
use shard::WaiterKey;

use super::Simulation;
use super::fixtures::TEAM;
use super::fixtures::request;

impl Simulation {
    pub(super) fn submit(&mut self, number: u8) {
        let mut request = request(number);
        let sent = self
            .first_sent
            .entry(number)
            .or_insert(self.times.wall_millis);
        request.sent_millis = *sent;
        let key = model::request_key(&request.team, &request.id);
        if request.idempotent {
            // An unrecorded request may be submitted again after "not run":
            // that answer covers only the earlier submissions.
            self.not_run.remove(&key);
        }
        let waiter = self.waiters.insert(key);
        let submission = Submission {
            request,
            waited_millis: 0,
            wait: true,
        };
        self.feed(Input::Ask(ShardAsk::Submit(submission), waiter));
    }

    pub(super) fn cancel(&mut self, number: u8) {
        let key = model::request_key(TEAM, &request(number).id);
        let waiter = self.waiters.insert(String::new());
        let filter = shard::CancelFilter::One(key);
        self.feed(Input::Ask(ShardAsk::Cancel(filter), waiter));
    }

    pub(super) fn on_reply(&mut self, waiter: WaiterKey, reply: &ShardReply) {
        let key = self.waiters.remove(waiter);
        let key = key.expect("a second reply to one call");
        // `IdReused` is about the refused submission, not about the request that
        // has the id.
        if let ShardReply::Answer(answer) = reply
            && answer.code.family() == Family::NotRun
            && answer.code != model::Code::IdReused
        {
            self.not_run.insert(key);
        }
    }
}
