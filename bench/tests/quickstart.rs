//! The deployment to try out.

use primrosepin_bench::quickstart;

/// Guards against a deployment that does not answer each prompt length and plain calls in each
/// zone, and against processes that do not stop.
#[actix_rt::test]
async fn the_quickstart_answers_all() {
    let cluster = quickstart::start().await.expect("a deployment");
    let help = quickstart::help(&cluster);
    let entry = cluster.entries[0].callers.to_string();
    assert!(help.contains(&format!("curl -N http://{entry}/v1/chat/completions")));
    let result = quickstart::once(&cluster).await;
    assert!(result.all_answered, "{}", result.table);
    cluster.stop().await.expect("a graceful stop");
}
