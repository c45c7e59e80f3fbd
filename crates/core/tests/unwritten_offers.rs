//! Offers that were never written to their connection. The shell reports them to the core after the link has ended.

mod world;

use reedring_core::Input;
use world::{MS, SECOND, World};

const ONLY_FIRST_NODE: &str = "constraint='require name = \"node-0\"'";

/// A site of two nodes in different halls. The first node is killed, and the placer makes it one offer before it is
/// notified that the link ended.
fn with_an_unwritten_offer(class: &str) -> World {
    let mut world = World::new(2, 1);
    world.run_for(50 * MS);
    world.kill_node(0);
    world.submit_as(class, "s", 1, 60_000, ONLY_FIRST_NODE);
    let until = world.now + SECOND;
    while world.unwritten.is_empty() && world.now < until {
        world.run_for(MS);
    }
    assert_eq!(world.unwritten.len(), 1);
    world
}

/// Reports the unwritten offers to the core.
fn report_unwritten(world: &mut World) {
    let unwritten = std::mem::take(&mut world.unwritten);
    world.input(Input::OffersUnwritten(unwritten));
}

/// The outcome of a non-idempotent task whose only offer was never written is `refused`, not `failed`: it can't have
/// run.
#[test]
fn a_non_idempotent_task_whose_only_offer_was_never_written_is_refused() {
    let mut world = with_an_unwritten_offer("unsafe");
    // The placer is notified first that the link has ended.
    world.run_for(20 * MS);
    report_unwritten(&mut world);
    world.wait_hundredths(1_000);
    let infos = world.reported.values().next().unwrap();
    assert_eq!(
        infos[0].usage("reedring.outcome"),
        Some("refused"),
        "{infos:?}"
    );
}

/// An abandoned offer counts as a copy until it is known that its node does not have the task. If the unwritten offer
/// still counted as a copy in its hall, an even spread would allow one copy too many in the other hall.
#[test]
fn an_offer_that_was_never_written_does_not_count_as_a_copy_for_a_spread() {
    let mut world = with_an_unwritten_offer("safe");
    world.run_for(1_500 * MS);
    report_unwritten(&mut world);
    let before = world.offers_to_others("s.1.1").len();
    world.submit_as(
        "safe",
        "s",
        3,
        60_000,
        "constraint='require spread by hall within 1'",
    );
    world.run_for(SECOND);
    let offers: Vec<usize> = world.offers_to_others("s.1.1").split_off(before);
    assert_eq!(
        offers.iter().filter(|node| **node == 1).count(),
        1,
        "{offers:?}"
    );
}
