//! The quickstart deployment.

use primrosepin_bench::quickstart;

/// Guards against a deployment that fails to answer a prompt length or a plain call in a zone, and
/// against processes that do not stop.
#[actix_rt::test]
async fn the_quickstart_answers_all() {
    let cluster = quickstart::start().await.expect("deployment starts");
    let help = quickstart::help(&cluster);
    let entry = cluster.entries[0].callers.to_string();
    assert!(help.contains(&format!("curl -N http://{entry}/v1/chat/completions")));
    let result = quickstart::once(&cluster).await;
    assert!(result.all_answered, "{}", result.table);
    cluster.stop().await.expect("deployment stops");
}
