//! Plays of deployments side by side, which keep the logs of what they report as broken.

use std::cell::RefCell;
use std::path::PathBuf;

thread_local! {
    /// Directories of the deployments of the play on this thread, `None` outside a play
    static PLAY_DIRECTORIES: RefCell<Option<Vec<PathBuf>>> = const { RefCell::new(None) };
}

/// Leaves a directory to the play of this thread; returns it if there is none
pub fn keep(directory: PathBuf) -> Option<PathBuf> {
    PLAY_DIRECTORIES.with_borrow_mut(|directories| match directories {
        Some(directories) => {
            directories.push(directory);
            None
        }
        None => Some(directory),
    })
}

/// Runs a play and removes its directories unless it reports something as broken
fn run_play(play: impl Future<Output = Vec<String>>) -> Vec<String> {
    PLAY_DIRECTORIES.set(Some(Vec::new()));
    let mut broken = smol::block_on(play);
    for directory in PLAY_DIRECTORIES.take().unwrap_or_default() {
        if broken.is_empty() {
            let _ = std::fs::remove_dir_all(directory);
        } else {
            broken.push(format!("logs: {}", directory.display()));
        }
    }
    broken
}

/// Plays deployments side by side; panics with what they report as broken
pub fn play_all(plays: impl Iterator<Item = impl Future<Output = Vec<String>> + Send + 'static>) {
    let broken = collect(plays);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Plays deployments side by side; returns what they report as broken
pub fn collect(
    plays: impl Iterator<Item = impl Future<Output = Vec<String>> + Send + 'static>,
) -> Vec<String> {
    let plays: Vec<_> = plays
        .map(|play| std::thread::spawn(move || run_play(play)))
        .collect();
    plays
        .into_iter()
        .flat_map(|play| play.join().expect("the deployment runs"))
        .collect()
}
