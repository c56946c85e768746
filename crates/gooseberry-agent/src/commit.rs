//! Commits an operator's proposal to the platform: the I/O for [`profiles::commit`].

use base::prelude::*;
use profiles::cache::Update;
use profiles::change::{Proposal, Revision};
use profiles::commit::{Commit, Outcome, Step, StoreState, WriteResult};
use profiles::document::Document;
use store::config::HeadRow;

use crate::distribution::{adopt, sync_platform};
use crate::shared::{Agent, SharedAgent};

/// Time after which a proposal is abandoned.
const COMMIT_TIMEOUT: Millis = Millis(5_000);

/// Pause before the platform is read again after a call without a usable response.
const RETRY_PAUSE: Millis = Millis(200);

/// Commits a proposal and returns its outcome.
pub async fn commit(agent: &SharedAgent, proposal: Proposal) -> Outcome {
    let base = proposal.base;
    let mut commit = Commit::new(proposal, agent.timer.now() + COMMIT_TIMEOUT);
    let mut head = HeadRow::default();
    let mut step = Step::Read;
    loop {
        step = match step {
            Step::Read => {
                let state = read_state(agent, base, &mut head).await;
                commit.on_read(agent.timer.now(), state.as_ref())
            }
            Step::ReadLater => {
                agent.timer.after(RETRY_PAUSE).await;
                Step::Read
            }
            Step::Write(document, revision) => {
                let written = write(agent, &head, document, revision).await;
                commit.on_write(agent.timer.now(), written)
            }
            Step::Finish(outcome) => return outcome,
        };
    }
}

/// Reads the head, the document of its version and the revision after `base`.
///
/// Returns `None` if the platform cannot be read or the head changes meanwhile.
async fn read_state(agent: &Agent, base: Version, head: &mut HeadRow) -> Option<StoreState> {
    *head = agent.platform.head().await.ok()?;
    sync_platform(agent).await.ok()?;
    let document = agent.read(|s| s.config.document().clone());
    // The head has changed since it was read.
    if document.version != head.version {
        return None;
    }
    let next = if head.version > base {
        agent.platform.revision(base.next()).await.ok()?
    } else {
        None
    };
    Some(StoreState { document, next })
}

/// Writes a revision; a committed one is put in force at this agent, and its followers fetch it.
async fn write(
    agent: &SharedAgent,
    head: &HeadRow,
    document: Document,
    revision: Revision,
) -> WriteResult {
    let written = agent.platform.commit(head, &revision).await;
    if written != WriteResult::Committed {
        return written;
    }
    adopt(agent, Update::Changes(vec![revision]));
    let agent = agent.clone();
    tokio::spawn(async move {
        if let Err(e) = agent.platform.write_snapshot(&document).await {
            let host = &agent.settings.host;
            log::warn!("configuration snapshot not written host={host} cause=\"{e}\"");
        }
    });
    written
}
