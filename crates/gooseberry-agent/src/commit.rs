//! Carries a proposal to the platform.

use base::prelude::*;
use profiles::change::{Proposal, Revision};
use profiles::commit::{Commit, Outcome, Seen, Step, Written};
use profiles::document::Document;
use profiles::held::News;
use store::config::HeadRow;

use crate::shared::{Agent, SharedAgent};
use crate::spread::{adopt, read_store};

/// How long a proposal is tried.
const LIMIT: Millis = Millis(5_000);

/// The pause after a call without a usable answer.
const PAUSE: Millis = Millis(200);

/// Carries a proposal out, or says what became of it.
pub async fn commit(agent: &SharedAgent, proposal: Proposal) -> Outcome {
    let base = proposal.base;
    let mut commit = Commit::new(proposal, agent.timer.now() + LIMIT);
    let mut head = HeadRow::default();
    let mut step = Step::Look;
    loop {
        step = match step {
            Step::Look => {
                let seen = look(agent, base, &mut head).await;
                commit.looked(agent.timer.now(), seen.as_ref())
            }
            Step::LookLater => {
                agent.timer.after(PAUSE).await;
                Step::Look
            }
            Step::Write(document, revision) => {
                let written = write(agent, &head, document, revision).await;
                commit.wrote(agent.timer.now(), written)
            }
            Step::End(outcome) => return outcome,
        };
    }
}

/// Reads the head and what goes with it; `None` if that cannot be done now.
async fn look(agent: &Agent, base: Version, head: &mut HeadRow) -> Option<Seen> {
    *head = agent.platform.head().await.ok()?;
    read_store(agent).await.ok()?;
    let document = agent.read(|k| k.held.document().clone());
    // The head has moved on since it was read.
    if document.version != head.version {
        return None;
    }
    let next = if head.version > base {
        agent.platform.revision(base.next()).await.ok()?
    } else {
        None
    };
    Some(Seen { document, next })
}

/// Writes a revision; once accepted it is in force here and spreads.
async fn write(
    agent: &SharedAgent,
    head: &HeadRow,
    document: Document,
    revision: Revision,
) -> Written {
    let written = agent.platform.commit(head, &revision).await;
    if written != Written::Committed {
        return written;
    }
    adopt(agent, News::Changes(vec![revision]));
    let agent = agent.clone();
    tokio::spawn(async move {
        if let Err(e) = agent.platform.write_snapshot(&document).await {
            let host = &agent.settings.host;
            log::warn!("snapshot not kept host={host} cause=\"{e}\"");
        }
    });
    written
}
