//! Offers that their link never wrote: the shell tells of them once the link has ended.

mod world;

use reedring_core::Input;
use world::{MS, SECOND, World};

const FIRST_NODE_ALONE: &str = "constraint='require name = \"node-0\"'";

/// Two nodes, each in a hall of its own. The first dies, and one offer is made to it before the placer hears of that.
fn with_an_unwritten_offer(class: &str) -> World {
    let mut world = World::new(2, 1);
    world.run_for(50 * MS);
    world.kill_node(0);
    world.submit_as(class, "s", 1, 60_000, FIRST_NODE_ALONE);
    let until = world.now + SECOND;
    while world.unwritten.is_empty() && world.now < until {
        world.run_for(MS);
    }
    assert_eq!(world.unwritten.len(), 1);
    world
}

fn tell(world: &mut World) {
    let unwritten = std::mem::take(&mut world.unwritten);
    world.input(Input::OffersUnwritten(unwritten));
}

/// A task that must not start twice is refused and not failed: it can't have run.
#[test]
fn a_task_whose_only_offer_was_never_written_has_not_run() {
    let mut world = with_an_unwritten_offer("unsafe");
    // The placer hears first that the link has ended.
    world.run_for(20 * MS);
    tell(&mut world);
    world.wait_for(1_000);
    let infos = world.told.values().next().unwrap();
    assert_eq!(
        infos[0].usage("reedring.outcome"),
        Some("refused"),
        "{infos:?}"
    );
}

/// Rule 5: an offer that was given up without a word counts as a copy until it is known that none stands. Counted in a
/// hall where there is none, it would let one more into the other under an even spread.
#[test]
fn an_offer_that_was_never_written_is_no_copy_for_an_even_spread() {
    let mut world = with_an_unwritten_offer("safe");
    world.run_for(1_500 * MS);
    tell(&mut world);
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
