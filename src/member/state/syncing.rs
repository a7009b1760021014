//! Anti-entropy: two daemons compare the digests of their records and exchange those that differ.

use {
    super::{MemberEffect, MemberState},
    crate::{
        clock::TimePoint,
        member::{
            digest::{bucket_digests, bucket_of},
            message::{SyncReply, SyncRequest},
            record::MemberRecord,
        },
    },
    indexmap::IndexMap,
    std::sync::Arc,
};

impl MemberState {
    /// Creates an anti-entropy request that delivers `records` to the peer.
    pub fn sync_request(&self, records: Vec<MemberRecord>) -> SyncRequest {
        SyncRequest {
            own: self.own.clone(),
            digests: self.digests(),
            records,
        }
    }

    /// Answers an anti-entropy request with the records of the differing buckets, and merges the records of the request.
    /// The records are those before the merge, from which the sender learns what is missing here. If the request
    /// delivers that already, they are those after the merge: what is still newer here.
    pub fn answer_sync(&mut self, request: SyncRequest, now: TimePoint) -> (SyncReply, Vec<MemberEffect>) {
        let is_delivery = !request.records.is_empty();
        for record in request.records {
            self.merge_record(record, now);
        }
        if is_delivery {
            self.merge_record(request.own.clone(), now);
        }
        let digests = self.digests();
        let differs = |name: &str| {
            let bucket = bucket_of(name);
            request.digests.get(bucket) != Some(&digests[bucket])
        };
        let known = std::iter::once(&self.own).chain(self.others());
        let records = known.filter(|record| differs(&record.name)).cloned().collect();
        if !is_delivery {
            self.merge_record(request.own, now);
        }
        (
            SyncReply {
                records,
                applied: self.own.applied,
            },
            std::mem::take(&mut self.effects),
        )
    }

    /// Merges the records of a peer's reply. Returns the records in the same buckets that the peer lacks or has in an
    /// older state.
    pub fn finish_sync(
        &mut self,
        reply: SyncReply,
        now: TimePoint,
    ) -> (Vec<MemberRecord>, Vec<MemberEffect>) {
        let buckets: Vec<usize> = reply
            .records
            .iter()
            .map(|record| bucket_of(&record.name))
            .collect();
        let theirs: IndexMap<Arc<str>, MemberRecord> = reply
            .records
            .iter()
            .map(|record| (Arc::clone(&record.name), record.clone()))
            .collect();
        let queued = self.updates.clone();
        for record in reply.records {
            self.merge_record(record, now);
        }
        // Other daemons have the records that arrive by anti-entropy already, so these are not disseminated again.
        let own = Arc::clone(&self.own.name);
        self.updates
            .retain(|name, _| *name == own || queued.contains_key(name));
        let known = std::iter::once(&self.own).chain(self.others());
        let in_buckets = known.filter(|record| buckets.contains(&bucket_of(&record.name)));
        let newer = in_buckets.filter(|record| {
            theirs
                .get(&record.name)
                .is_none_or(|theirs| record.supersedes(theirs))
        });
        let newer = newer.cloned().collect();
        (newer, std::mem::take(&mut self.effects))
    }

    fn digests(&self) -> Vec<u64> {
        bucket_digests(std::iter::once(&self.own).chain(self.others()))
    }
}
