//! The `explain` command, which shows where a search's sub-requests would be sent.

use crate::client::Client;
use crate::outcome::Outcome;
use crate::response::SearchExplanation;

pub(crate) fn show(client: &Client, customer: &str, search: &str) -> Outcome {
    let response = client.get(&format!("/v1/explain/{customer}/{search}"));
    client.show(response, |explain| print(customer, search, explain))
}

fn print(customer: &str, search: &str, explain: SearchExplanation) {
    println!(
        "{customer}/{search} under configuration {}:",
        explain.config
    );
    for shard in explain.shards {
        let upstream = shard.upstream.as_deref().unwrap_or("no upstream");
        let owner = shard.owner.as_deref().unwrap_or("no owner");
        println!("  {}: {upstream} by {owner}, {}", shard.shard, shard.why);
        for other in shard.passed_over {
            println!("    not {}: {}", other.upstream, other.why);
        }
    }
}
