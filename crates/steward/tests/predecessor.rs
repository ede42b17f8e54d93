//! Tests that a restarted steward, which has the address of its previous incarnation but not its
//! claims, does not answer for it.

use std::path::Path;
use std::sync::Arc;

use googletest::prelude::*;
use tarpc::context;
use thistle_model::{Change, MemberId, Offset, Record, RecordId, Revision};
use thistle_request::claim::{AttemptId, Claim, ClaimReply};
use thistle_request::key::ClaimKey;
use thistle_steward::peer_server::PeerServer;
use thistle_steward::shared::Shared;
use thistle_wire::peer::{ClaimRequest, Peer};
use tokio::sync::mpsc;

/// Returns a steward that is the only voter, with its ID and the revision of the voters.
fn voter() -> (PeerServer, MemberId, Revision) {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/steward.yaml");
    let settings = thistle_settings::load(&sample).unwrap();
    let (tx, _rx) = mpsc::channel(1);
    let shared = Arc::new(Shared::new(settings, tx));
    let facts = shared.facts();
    let mut core = shared.core();
    let me = core.me;
    let changes = [
        Change::MemberJoin { member: me, facts },
        Change::VotersProposed { base: Revision::NONE, voters: vec![me] },
    ];
    for (seq, change) in (1..).zip(changes) {
        let record = Record { id: RecordId { writer: 1, seq }, at_ms: 0, change };
        core.state.apply(Offset(0), &record).result.unwrap();
    }
    let revision = core.state.voters.revision;
    drop(core);
    (PeerServer::new(shared), me, revision)
}

fn request(to: MemberId, voters: Revision) -> ClaimRequest {
    let claim = Claim { attempt: AttemptId(1), fingerprint: 1, answer: None };
    ClaimRequest { to, key: ClaimKey(1), claim, voters }
}

#[tokio::test]
async fn voter_answers_for_itself_and_not_for_its_predecessor() {
    let (server, me, revision) = voter();
    let predecessor = MemberId(me.0.wrapping_add(1));
    let to_predecessor = request(predecessor, revision);
    let for_other = server.clone().claim(context::current(), to_predecessor).await;
    assert_that!(for_other, eq(&ClaimReply::WrongRevision(revision)));
    let reply = server.clone().claims(context::current(), predecessor, revision, None).await;
    assert_that!(reply, none());
    let own = server.clone().claim(context::current(), request(me, revision)).await;
    assert_that!(own, eq(&ClaimReply::Accepted(revision)));
    let reply = server.claims(context::current(), me, revision, None).await;
    assert_that!(reply.map(|page| page.len()), some(eq(1)));
}
