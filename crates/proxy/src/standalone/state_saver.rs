//! Saving of the learned state for the next process.

use std::rc::Rc;

use tokio::task::{spawn_local, JoinHandle};

use super::CurrentSnapshot;
use crate::learned_state::{SavedState, StateWriter};

/// Saves the learned state periodically and at shutdown.
pub(super) struct StateSaver {
    writer: Rc<StateWriter>,
    periodic: JoinHandle<()>,
}

impl StateSaver {
    /// Imports the state saved by an earlier process and starts saving; `None` if the configuration does not
    /// enable this.
    pub fn start(current: &CurrentSnapshot) -> Option<StateSaver> {
        let snapshot = Rc::clone(&current.borrow());
        let settings = snapshot.config.learned_state.as_ref()?;
        if let Some(saved) = SavedState::read(&settings.folder) {
            snapshot.import_learned_state(&saved);
        }
        let writer = Rc::new(StateWriter::start(settings));
        let (periodic_writer, current) = (Rc::clone(&writer), Rc::clone(current));
        let periodic = spawn_local(async move {
            periodic_writer.write_periodically(async || learned_state(&current).await).await
        });
        Some(StateSaver { writer, periodic })
    }

    /// Stops periodic saving and saves the state for the last time.
    pub async fn finish(self, current: &CurrentSnapshot) {
        self.periodic.abort();
        self.writer.write_last(learned_state(current).await).await;
    }
}

async fn learned_state(current: &CurrentSnapshot) -> learned_state::LearnedSnapshot {
    let snapshot = Rc::clone(&current.borrow());
    snapshot.learned_state().await
}
