//! The files of a run: settings of placers, the node list, configurations of nodes.

use std::fmt::Write as _;
use std::time::Duration;

use super::topology::NodeSpec;

/// Milliseconds after its start for which a node is cold; the same for nodes and placers.
pub const WARM_AFTER: Duration = Duration::from_secs(2);
/// Milliseconds after its start for which a node without memory votes for no plan.
const VOTE_AFTER: Duration = Duration::from_millis(500);

/// What the settings of all placers of a run share.
#[derive(Clone, Debug)]
pub struct SharedSettings {
    /// Placers.
    pub placers: usize,
    /// Teams, as tenants.
    pub teams: usize,
    /// How long a placer goes on without a word of a majority.
    pub lease: Duration,
}

/// One placer.
#[derive(Clone, Debug)]
pub struct PlacerSpec {
    /// Its name.
    pub name: String,
    /// Where it takes calls.
    pub listen: std::net::SocketAddr,
    /// It has a process of its own and keeps its state on disk.
    pub real: bool,
}

/// The settings of a placer whose file has the plan of this number. Plans differ in a price alone, so that each has
/// a digest of its own and none forbids what another allows.
pub fn placer_settings(placer: &PlacerSpec, shared: &SharedSettings, plan: u64) -> String {
    let mut text = format!(
        "[placer]\nname = {:?}\nlisten = \"{}\"\nnodes = \"nodes.toml\"\n\n",
        placer.name, placer.listen
    );
    let _ = write!(
        text,
        "[plan]\nnumber = {plan}\nlease = \"{}ms\"\n\n",
        shared.lease.as_millis()
    );
    if placer.real {
        let _ = write!(text, "[state]\nfolder = \"{}.state\"\n\n", placer.name);
    }
    let _ = write!(
        text,
        "[site]\nplacers = {}\nprice_fleet = {:?}\n",
        shared.placers,
        price(plan)
    );
    let _ = writeln!(text, "warm_after = \"{}ms\"", WARM_AFTER.as_millis());
    text.push_str(SITE);
    for team in 0..shared.teams {
        let _ = write!(text, "[[tenant]]\nname = \"team-{team:04}\"\n\n");
    }
    text
}

fn price(plan: u64) -> f64 {
    0.1 + plan as f64 * 1e-6
}

const SITE: &str = r#"accepts_cores = 2.0
accepts_memory = 1.5
mean_cores = 0.1
mean_memory = 0.1
may_probe = true
drain_grace = "500ms"
cold_window = "1s"
cold_offers = 40.0

[[kind]]
name = "stand-in"
cores = 32.0
memory = 96.0

[[class]]
name = "play"
repeat = "safe"
aim = "700ms"
give_up = "8s"
again_after = "300ms"

[[class]]
name = "edition"
repeat = "unsafe"
aim = "1s"
give_up = "8s"

"#;

/// The node list of this revision.
pub fn node_list(nodes: &[NodeSpec], revision: u64) -> String {
    let mut text = format!("revision = {revision}\n");
    for node in nodes {
        let NodeSpec {
            name,
            address,
            region,
            zone,
            rack,
            control,
            ..
        } = node;
        let _ = write!(
            text,
            "\n[[node]]\nname = {name:?}\naddress = \"{address}\"\nhall = \"zone-{zone:02}\"\n"
        );
        let _ = write!(
            text,
            "rack = \"rack-{rack:03}\"\nattrs = {{ region = \"region-{region}\" }}\n"
        );
        if *control {
            text.push_str("control = true\n");
        }
    }
    text
}

/// The configuration of the nodes of one process.
pub fn node_configs(nodes: &[NodeSpec], seed: u64) -> String {
    let mut text = format!("seed = {seed}\n");
    for node in nodes {
        let NodeSpec {
            name,
            address,
            zone,
            rack,
            real,
            control,
            votes,
            ..
        } = node;
        let _ = write!(
            text,
            "\n[[node]]\nname = {name:?}\nlisten = \"{address}\"\nhall = \"zone-{zone:02}\"\n"
        );
        let _ = writeln!(
            text,
            "rack = \"rack-{rack:03}\"\nwarm_ms = {}",
            WARM_AFTER.as_millis()
        );
        let _ = writeln!(
            text,
            "cold_pace = 0.18\ncold_offers = 40\ncold_window_ms = 1000"
        );
        let _ = writeln!(text, "vote_after_ms = {}", VOTE_AFTER.as_millis());
        if !votes {
            text.push_str("votes = false\n");
        }
        if *votes && (*real || *control) {
            let _ = writeln!(text, "plan_dir = \"{name}.plans\"");
        }
    }
    text
}

#[cfg(test)]
mod tests;
