//! Names of headers that are not understood.

use crate::gateway::statement::Names;

// Each name is a series of the counter, and endpoints may state any number of them.
#[test]
fn names_of_unknown_headers_fill_the_memory() {
    let mut names = Names::default();
    assert_eq!(names.label("Server-Quota"), ("server-quota".into(), true));
    assert_eq!(names.label("SERVER-QUOTA"), ("server-quota".into(), false));
    let long = format!("Server-{}", "x".repeat(8000));
    assert_eq!(names.label(&long), ("other".into(), false));
    let labels: std::collections::BTreeSet<_> = (0..1000)
        .map(|number| names.label(&format!("Server-{number}")).0)
        .collect();
    assert_eq!(
        labels.len(),
        16,
        "15 further ones and the label of all others"
    );
    assert_eq!(names.label("Server-Quota"), ("server-quota".into(), false));
}
