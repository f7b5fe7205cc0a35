//! A second attempt for a call whose first token is late.

use std::time::Duration;

use policy::hedge::HedgeCase;
use policy::placement::TargetOutcome;

use super::{Driver, Event, Job};

impl Driver {
    /// Plans to look at an attempt again when its first token is late.
    pub fn plan_hedge(&mut self, now: Duration, index: usize) {
        let job = &self.jobs[index];
        if !self.setup.hedges || job.is_hedge {
            return;
        }
        let entry = &mut self.entries[job.call.entry];
        entry.hedges.note_sent();
        let predicted = job.choice.map_or(Duration::ZERO, |choice| choice.predicted);
        let attempt = job.attempts;
        let wait = entry.hedges.wait(predicted);
        self.plan(now + wait, Event::Hedge(index, attempt));
    }

    pub fn hedge(&mut self, now: Duration, index: usize, attempt: u32) {
        let job = &self.jobs[index];
        let number = job.call.entry;
        let pending = job.attempts == attempt && job.first.is_none() && job.twin.is_none();
        if !pending {
            return;
        }
        let case = HedgeCase {
            idempotent: true,
            free_slots: self.free(number),
            waiting: self.entries[number].queue.len(),
        };
        if !self.entries[number].hedges.take(&case) {
            return;
        }
        let mut twin = Job::new(&job.call, index);
        twin.is_hedge = true;
        twin.twin = Some(index);
        twin.arrived = job.arrived;
        self.jobs.push(twin);
        let twin = self.jobs.len() - 1;
        self.jobs[index].twin = Some(twin);
        self.send(now, twin);
    }

    /// The job that gave the first token goes on; the other is cancelled.
    pub fn settle_hedge(&mut self, now: Duration, index: usize) {
        let Some(twin) = self.jobs[index].twin else {
            return;
        };
        if self.jobs[index].is_hedge {
            self.jobs[twin].first_token = self.jobs[index].first_token;
        }
        let loser = &mut self.jobs[twin];
        if loser.first.is_some() {
            return;
        }
        let (number, engine) = (loser.call.entry, loser.engine);
        let ticket = (twin, loser.attempts);
        // No event of the cancelled attempt is meant any more.
        loser.attempts = u32::MAX;
        let stay = now.saturating_sub(loser.sent);
        let started = loser.started;
        let entry = &mut self.entries[number];
        let target = self.targets[engine];
        if let Some(choice) = &loser.choice {
            entry.pool.note_late(choice, now, stay);
        }
        entry
            .pool
            .note_ended(target, now, stay, TargetOutcome::Cancelled);
        entry.share.note_finished(now, stay);
        entry.since[engine] -= 1;
        self.engines[engine].running -= u32::from(started);
        self.engines[engine]
            .waiting
            .retain(|other| *other != ticket);
        self.fill(now, engine);
    }
}
