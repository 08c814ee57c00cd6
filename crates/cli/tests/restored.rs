//! Changes when the platform is restored from an older copy of its tables.

use std::sync::{Arc, Mutex};

use base::{Config, Position};
use cli::{
    error::CliError,
    versions::{read_latest, write_version},
};
use platform::{Call, Platform, Precondition, Reply, Row, Store, StoreEra};

/// Returns a platform whose era is `era`, and which knows it from its answers.
fn platform(store: Arc<Mutex<(Store, u32)>>) -> Platform {
    let known = StoreEra::default();
    let tracked = known.clone();
    let platform = Platform::spawn(move || {
        let (store, known) = (store.clone(), known.clone());
        move |mut call, _| {
            let (store, known) = (store.clone(), known.clone());
            async move {
                let named = store.lock().unwrap().1.to_string();
                let ask = || async { Some(named.clone()) };
                known.on_answer(Some(&named), ask).await?;
                let (store, era) = &mut *store.lock().unwrap();
                if let Call::Write { writes } = &mut call {
                    for write in writes {
                        if let Precondition::Version(at) = &mut write.expect {
                            *at = at.in_era(0);
                        }
                    }
                }
                Ok(match store.apply(call)? {
                    Reply::Row(Some(Row { version, value })) => Reply::Row(Some(Row {
                        version: version.in_era(*era),
                        value,
                    })),
                    other => other,
                })
            }
        }
    });
    platform.tracking(tracked)
}

/// Guards against a change that overwrites another one: its base's number was given out again with other content.
#[tokio::test]
async fn base_of_an_earlier_era_is_a_conflict() {
    let state = Arc::new(Mutex::new((Store::default(), 1)));
    let platform = platform(state.clone());
    let config = Config::default();
    write_version(&platform, Position::ZERO, &config, "a", "first")
        .await
        .unwrap();
    let copy = state.lock().unwrap().0.clone();
    let first = read_latest(&platform).await.unwrap();
    write_version(&platform, first.head, &config, "a", "lost")
        .await
        .unwrap();
    let lost = read_latest(&platform).await.unwrap();
    *state.lock().unwrap() = (copy, 2);
    let first = read_latest(&platform).await.unwrap();
    write_version(&platform, first.head, &config, "b", "other")
        .await
        .unwrap();
    let written = write_version(&platform, lost.head, &config, "a", "on the lost one").await;
    assert!(
        matches!(written, Err(CliError::Conflict { base: 2, .. })),
        "{written:?}"
    );
}
